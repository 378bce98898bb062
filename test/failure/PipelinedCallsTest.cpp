/** \file
 * Calls that share a connection: which of them may be sent before others have their responses, and what is said of each
 * when the connection breaks.
 */

#include "HttpClient.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::platform;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/** A server that responds when it is told to, with the number of the request as the body. */
class SlowServer {
public:
    explicit SlowServer(boost::asio::io_context& io)
        : m_acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_socket(io)
    {
        accept();
    }
    uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    int requests() const { return m_requests; }
    int connections() const { return m_connections; }
    /** Responds to all requests that were read and have no response. */
    void respond()
    {
        while (m_responses < m_requests) {
            const std::string body = absl::StrCat(++m_responses);
            const std::string text = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
            boost::asio::write(m_socket, boost::asio::buffer(text));
        }
    }
    /** Resets the connection; the next one is accepted. */
    void reset()
    {
        m_responses = m_requests;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
        m_input.clear();
        accept();
    }

private:
    void accept()
    {
        m_acceptor.async_accept(m_socket, [this](error_code error) {
            if (error)
                return;
            ++m_connections;
            m_socket.set_option(tcp::no_delay(true));
            read();
        });
    }
    void read()
    {
        boost::asio::async_read_until(
            m_socket, boost::asio::dynamic_buffer(m_input), "\r\n\r\n", [this](error_code error, size_t size) {
                if (error)
                    return;
                m_input.erase(0, size);
                ++m_requests;
                read();
            });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::string m_input;
    int m_requests = 0;
    int m_responses = 0;
    int m_connections = 0;
};

} // namespace

TEST_GROUP(PipelinedCalls)
{
    SystemClock clock;
    boost::asio::io_context io { 1 };
    SlowServer server { io };
    HttpClient client { io, clock, { 1, 1 } };
    std::vector<HttpResult> results;

    void setup() override
    {
        // Calls share a connection only once the server has responded there.
        send(false, false);
        respond();
        results.clear();
    }
    void runLoop()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(30));
    }
    void send(bool mayPipeline, bool mayRetry = false) { sendTo(server, client, mayPipeline, mayRetry); }
    void sendTo(const SlowServer& to, HttpClient& by, bool mayPipeline, bool mayRetry = false)
    {
        HttpCall call { { "127.0.0.1", to.port() }, "GET", "/", "", {}, absl::Seconds(2), mayRetry };
        call.mayPipeline = mayPipeline;
        by.send(std::move(call), [this](HttpResult result) { results.push_back(std::move(result)); });
        runLoop();
    }
    void respond()
    {
        server.respond();
        runLoop();
    }
};

TEST(PipelinedCalls, callsThatAreAnsweredAtOnceDoNotWaitForEachOther)
{
    for (int i = 0; i < 3; ++i)
        send(true);
    LONGS_EQUAL(4, server.requests());
    respond();
    LONGS_EQUAL(3, results.size());
    for (int i = 0; i < 3; ++i)
        STRCMP_EQUAL(absl::StrCat(i + 2).c_str(), results[i].body.c_str());
    LONGS_EQUAL(1, server.connections());
}

TEST(PipelinedCalls, aCallGoesBehindAFewOthersRatherThanOverANewConnection)
{
    SlowServer other(io);
    HttpClient many(io, clock, { 3, 3 });
    sendTo(other, many, false);
    other.respond();
    runLoop();
    for (int i = 0; i < 4; ++i)
        sendTo(other, many, true);
    LONGS_EQUAL(1, many.openConnections());
    sendTo(other, many, true);
    LONGS_EQUAL(2, many.openConnections());
}

TEST(PipelinedCalls, noCallIsSentBehindOneWhoseResponseMayTakeLong)
{
    send(false);
    send(true);
    LONGS_EQUAL(2, server.requests());
    respond();
    LONGS_EQUAL(3, server.requests());
}

TEST(PipelinedCalls, aCallWhoseResponseMayTakeLongIsNotSentBehindOthers)
{
    send(true);
    send(false);
    LONGS_EQUAL(2, server.requests());
    respond();
    LONGS_EQUAL(3, server.requests());
}

TEST(PipelinedCalls, whenTheirConnectionBreaksOnlyThoseThatMayBeRepeatedAreSentAgain)
{
    send(true, false);
    send(true, true);
    send(true, false);
    server.reset();
    runLoop();
    LONGS_EQUAL(2, results.size());
    for (const HttpResult& result : results)
        CHECK(result.outcome == HttpOutcome::NoReply);
    LONGS_EQUAL(2, server.connections());
    respond();
    LONGS_EQUAL(3, results.size());
    CHECK(results.back().outcome == HttpOutcome::ResponseReceived);
}

TEST(PipelinedCalls, aCallThatWasNotSentBeforeTheConnectionBrokeIsSentOnTheNextOne)
{
    constexpr int sent = 8;
    for (int i = 0; i < sent + 1; ++i)
        send(true);
    LONGS_EQUAL(1 + sent, server.requests());
    server.reset();
    runLoop();
    LONGS_EQUAL(sent, results.size());
    respond();
    LONGS_EQUAL(sent + 1, results.size());
    CHECK(results.back().outcome == HttpOutcome::ResponseReceived);
}

TEST(PipelinedCalls, afterACallWithoutAResponseNoneIsSentBehindAnother)
{
    send(true);
    io.restart();
    io.run_for(std::chrono::milliseconds(2200));
    LONGS_EQUAL(1, results.size());
    server.reset();
    send(true);
    respond();
    send(true);
    send(true);
    LONGS_EQUAL(4, server.requests());
    respond();
    LONGS_EQUAL(5, server.requests());
}

TEST(PipelinedCalls, aCallWithoutAResponseEndsInTimeTogetherWithThoseBehindIt)
{
    send(true);
    send(true);
    io.restart();
    io.run_for(std::chrono::milliseconds(2200));
    LONGS_EQUAL(2, results.size());
    for (const HttpResult& result : results)
        CHECK(result.outcome == HttpOutcome::NoReply);
    LONGS_EQUAL(0, client.openConnections());
}
