#include "FaultProxy.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>

namespace cicada::test {

namespace {

    using boost::asio::ip::tcp;
    using boost::system::error_code;

    tcp::endpoint toTcp(const Endpoint& address)
    {
        return { boost::asio::ip::make_address(address.host), address.port };
    }

} // namespace

struct FaultProxy::State : std::enable_shared_from_this<FaultProxy::State> {
    /** One way of a connection. */
    struct Pipe {
        std::array<char, 16384> input {};
        std::string held;
        std::string writing;
        bool isWriting = false;
        bool isEnded = false;
    };
    struct Connection {
        explicit Connection(boost::asio::io_context& io)
            : caller(io)
            , target(io)
        {
        }
        tcp::socket caller;
        tcp::socket target;
        Pipe fromCaller;
        Pipe toCaller;
        bool isSilent = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    State(boost::asio::io_context& context, Endpoint from, Endpoint to)
        : io(context)
        , acceptor(context)
        , listen(std::move(from))
        , target(std::move(to))
    {
    }

    void accept()
    {
        auto connection = std::make_shared<Connection>(io);
        acceptor.async_accept(connection->caller, [state = shared_from_this(), connection](error_code error) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error)
                state->connect(connection);
            state->accept();
        });
    }

    void connect(const ConnectionPtr& connection)
    {
        connection->target.async_connect(toTcp(target), [state = shared_from_this(), connection](error_code error) {
            if (error)
                return close(*connection, true);
            error_code ignored;
            connection->caller.set_option(tcp::no_delay(true), ignored);
            connection->target.set_option(tcp::no_delay(true), ignored);
            state->connections.insert(connection);
            state->read(connection, true);
            state->read(connection, false);
        });
    }

    static void close(Connection& connection, bool withReset)
    {
        error_code ignored;
        for (tcp::socket* socket : { &connection.caller, &connection.target }) {
            if (withReset)
                socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    static Pipe& pipeOf(Connection& connection, bool fromCaller)
    {
        return fromCaller ? connection.fromCaller : connection.toCaller;
    }

    void read(const ConnectionPtr& connection, bool fromCaller)
    {
        Pipe& pipe = pipeOf(*connection, fromCaller);
        tcp::socket& source = fromCaller ? connection->caller : connection->target;
        source.async_read_some(boost::asio::buffer(pipe.input),
            [state = shared_from_this(), connection, fromCaller](error_code error, size_t size) {
                Pipe& read = pipeOf(*connection, fromCaller);
                if (error) {
                    read.isEnded = true;
                    return state->pump(connection, fromCaller);
                }
                if (!connection->isSilent)
                    state->hold(connection, fromCaller, std::string(read.input.data(), size));
                state->read(connection, fromCaller);
            });
    }

    void hold(const ConnectionPtr& connection, bool fromCaller, const std::string& bytes)
    {
        if (delay == absl::ZeroDuration()) {
            pipeOf(*connection, fromCaller).held += bytes;
            return pump(connection, fromCaller);
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(
            io, std::chrono::milliseconds(absl::ToInt64Milliseconds(delay)));
        timer->async_wait([state = shared_from_this(), timer, connection, fromCaller, bytes](error_code) {
            pipeOf(*connection, fromCaller).held += bytes;
            state->pump(connection, fromCaller);
        });
    }

    void pump(const ConnectionPtr& connection, bool fromCaller)
    {
        Pipe& pipe = pipeOf(*connection, fromCaller);
        const bool isCut = fromCaller ? cutsFromCallers : cutsToCallers;
        if (isCut || pipe.isWriting || connection->isSilent)
            return;
        if (pipe.held.empty()) {
            if (!pipe.isEnded)
                return;
            connections.erase(connection);
            return close(*connection, false);
        }
        pipe.isWriting = true;
        pipe.writing = std::exchange(pipe.held, {});
        tcp::socket& sink = fromCaller ? connection->target : connection->caller;
        boost::asio::async_write(sink, boost::asio::buffer(pipe.writing),
            [state = shared_from_this(), connection, fromCaller](error_code error, size_t) {
                Pipe& written = pipeOf(*connection, fromCaller);
                written.isWriting = false;
                written.isEnded = written.isEnded || error;
                state->pump(connection, fromCaller);
            });
    }

    void pumpAll()
    {
        const auto open = connections;
        for (const ConnectionPtr& connection : open) {
            pump(connection, true);
            pump(connection, false);
        }
    }

    boost::asio::io_context& io;
    tcp::acceptor acceptor;
    const Endpoint listen;
    const Endpoint target;
    std::set<ConnectionPtr> connections;
    absl::Duration delay;
    bool cutsFromCallers = false;
    bool cutsToCallers = false;
};

FaultProxy::FaultProxy(boost::asio::io_context& io, Endpoint listen, Endpoint target)
    : m_state(std::make_shared<State>(io, std::move(listen), std::move(target)))
{
}

FaultProxy::~FaultProxy()
{
    error_code ignored;
    m_state->acceptor.close(ignored);
    reset();
}

Result<void> FaultProxy::start()
{
    error_code error;
    m_state->acceptor.open(tcp::v4(), error);
    m_state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_state->acceptor.bind(toTcp(m_state->listen), error);
    if (!error)
        m_state->acceptor.listen(128, error);
    if (error)
        return Error { ErrorKind::InvalidSettings,
            absl::StrCat("The proxy can't listen at port ", m_state->listen.port, ": ", error.message(), "."),
            "Choose other ports." };
    m_state->accept();
    return success();
}

void FaultProxy::cut(bool fromCallers, bool toCallers)
{
    m_state->cutsFromCallers = fromCallers;
    m_state->cutsToCallers = toCallers;
}

void FaultProxy::setDelay(absl::Duration delay) { m_state->delay = delay; }

void FaultProxy::heal()
{
    m_state->cutsFromCallers = false;
    m_state->cutsToCallers = false;
    m_state->delay = absl::ZeroDuration();
    m_state->pumpAll();
}

void FaultProxy::reset()
{
    for (const auto& connection : m_state->connections)
        State::close(*connection, true);
    m_state->connections.clear();
}

void FaultProxy::silence()
{
    for (const auto& connection : m_state->connections)
        connection->isSilent = true;
}

} // namespace cicada::test
