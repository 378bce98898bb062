/** \file
 * Orders to workers that take few connections, as owners that lost power have left theirs open there.
 */

#include "WorkerLink.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::platform;
using boost::asio::ip::tcp;
using boost::system::error_code;
namespace http = boost::beast::http;

namespace {

/** An executor that resets connections beyond a number. It answers each order after a moment, and a list when its
 * wait is over. */
class FewConnections {
public:
    FewConnections(boost::asio::io_context& io, size_t maxConnections)
        : m_io(io)
        , m_acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_max(maxConnections)
    {
        accept();
    }
    WorkerIncarnation worker() const { return { "w", { "127.0.0.1", m_acceptor.local_endpoint().port() } }; }
    /** The callers lose power: their connections stay open here. */
    void loseCallers() { m_lost += std::exchange(m_open, 0); }
    size_t starts() const { return m_starts; }
    size_t open() const { return m_open; }
    size_t maxOpen() const { return m_maxOpen; }
    size_t refused() const { return m_refused; }

private:
    struct Session {
        explicit Session(tcp::socket s)
            : socket(std::move(s))
            , timer(socket.get_executor())
        {
        }
        tcp::socket socket;
        boost::asio::steady_timer timer;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::response<http::string_body> response;
        size_t lostBefore = 0;
    };
    using SessionPtr = std::shared_ptr<Session>;

    void accept()
    {
        m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (error)
                return;
            if (m_open + m_lost < m_max)
                open(std::move(socket));
            else
                refuse(std::move(socket));
            accept();
        });
    }
    void refuse(tcp::socket socket)
    {
        ++m_refused;
        socket.set_option(boost::asio::socket_base::linger(true, 0));
    }
    void open(tcp::socket socket)
    {
        auto session = std::make_shared<Session>(std::move(socket));
        session->lostBefore = m_lost;
        m_maxOpen = std::max(m_maxOpen, ++m_open);
        read(session);
    }
    void read(const SessionPtr& session)
    {
        session->request = {};
        http::async_read(session->socket, session->buffer, session->request, [this, session](error_code error, size_t) {
            if (!error)
                return answerLater(session);
            // A connection of a caller without power is not seen to end.
            m_open -= session->lostBefore == m_lost ? 1 : 0;
        });
    }
    void answerLater(const SessionPtr& session)
    {
        const bool isList = session->request.target() == "/cicadaspread/hold";
        const bool waits = session->request.body().find("waitMs\":1500") != std::string::npos;
        m_starts += session->request.target() == "/cicadaspread/run-start" ? 1 : 0;
        session->timer.expires_after(std::chrono::milliseconds(isList && waits ? 1500 : 20));
        session->timer.async_wait([this, session](error_code) {
            session->response = { http::status::ok, 11 };
            session->response.body() = R"({"clockMs":1,"born":1,"running":[],"finished":[]})";
            session->response.prepare_payload();
            http::async_write(session->socket, session->response, [this, session](error_code error, size_t) {
                if (!error)
                    read(session);
            });
        });
    }

    boost::asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    const size_t m_max;
    size_t m_open = 0;
    size_t m_lost = 0;
    size_t m_maxOpen = 0;
    size_t m_starts = 0;
    size_t m_refused = 0;
};

/** One owner with what it has heard from the worker. */
struct Owner {
    Owner(boost::asio::io_context& io, const Clock& clock)
        : http(io, clock, WorkerLink::connectionBounds())
        , link(http, log, metrics)
    {
    }
    void sync(const WorkerIncarnation& worker)
    {
        SyncOrder order;
        order.wait = absl::Milliseconds(1500);
        link.sync(worker, order, [this, worker](const SyncReply& reply) {
            lists += reply.status == OrderStatus::Done ? 1 : 0;
            if (reply.status == OrderStatus::Done)
                sync(worker);
        });
    }
    void start(const WorkerIncarnation& worker, uint32_t count)
    {
        for (uint32_t i = 0; i < count; ++i) {
            StartOrder order;
            order.run = { { "job", 0, 0, i }, 1 };
            link.start(worker, order,
                [this](const OrderReply& reply) { ++(reply.status == OrderStatus::Done ? done : notDone); });
        }
    }
    EventLog log { "test", -1 };
    Metrics metrics;
    HttpClient http;
    WorkerLink link;
    size_t lists = 0;
    size_t done = 0;
    size_t notDone = 0;
};

} // namespace

TEST_GROUP(WorkerConnections)
{
    SystemClock clock;
    boost::asio::io_context io { 1 };

    void run(absl::Duration duration)
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(absl::ToInt64Milliseconds(duration)));
    }
    /** As run(), while idle connections are closed as they are by the process. */
    void runClosingIdle(Owner & owner, absl::Duration duration)
    {
        for (absl::Duration passed; passed < duration; passed += absl::Milliseconds(500)) {
            run(absl::Milliseconds(500));
            owner.http.closeIdleConnections();
        }
    }
};

TEST(WorkerConnections, anOwnerReachesAWorkerWhereManyOwnersHaveLostPower)
{
    constexpr int losses = 14;
    FewConnections executor(io, 64);
    for (int i = 0; i < losses; ++i) {
        Owner lost(io, clock);
        lost.sync(executor.worker());
        lost.start(executor.worker(), 20);
        run(absl::Milliseconds(300));
        LONGS_EQUAL(20, lost.done);
        executor.loseCallers();
    }
    Owner last(io, clock);
    last.sync(executor.worker());
    last.start(executor.worker(), 20);
    run(absl::Milliseconds(500));
    LONGS_EQUAL(20, last.done);
    LONGS_EQUAL(0, executor.refused());
}

TEST(WorkerConnections, allStartsOfAWideGangReachOneWorker)
{
    FewConnections executor(io, 64);
    Owner owner(io, clock);
    owner.sync(executor.worker());
    owner.start(executor.worker(), 200);
    run(absl::Milliseconds(2000));
    LONGS_EQUAL(200, owner.done);
    CHECK(executor.maxOpen() <= 16);
}

TEST(WorkerConnections, startsAndListsShareTheOnlyConnectionThatAWorkerHasRoomFor)
{
    FewConnections executor(io, 1);
    Owner owner(io, clock);
    owner.sync(executor.worker());
    run(absl::Milliseconds(50));
    // What was sent on a connection that was reset may have been received.
    owner.start(executor.worker(), 1);
    run(absl::Milliseconds(1600));
    LONGS_EQUAL(1, owner.notDone);
    for (int i = 0; i < 5; ++i) {
        owner.start(executor.worker(), 4);
        run(absl::Milliseconds(600));
    }
    LONGS_EQUAL(20, owner.done);
    LONGS_EQUAL(1, owner.notDone);
    CHECK(owner.lists >= 10);
    STRCMP_CONTAINS("cicada_worker_connections_refused", owner.metrics.text().c_str());
}

TEST(WorkerConnections, aStopThatWasRefusedAConnectionIsSentOnAnother)
{
    FewConnections executor(io, 1);
    Owner owner(io, clock);
    owner.sync(executor.worker());
    run(absl::Milliseconds(50));
    OrderStatus status = OrderStatus::NotSent;
    owner.link.stop(
        executor.worker(), { { "job", 0, 0, 0 }, 1 }, 1, [&](const OrderReply& reply) { status = reply.status; });
    run(absl::Milliseconds(1800));
    CHECK(status == OrderStatus::Done);
}

TEST(WorkerConnections, moreConnectionsAreUsedAgainWhenAWorkerHasRoomForThem)
{
    ConnectionLimit limit({ 4, 16, absl::Seconds(1) });
    const Instant now = absl::Seconds(100);
    limit.recordRefusal(1, now);
    CHECK(limit.isSingle());
    CHECK(limit.allowsAnother(0, absl::ZeroDuration(), false, now));
    CHECK(!limit.allowsAnother(1, absl::Seconds(1), true, now + absl::Seconds(1)));
    CHECK(limit.allowsAnother(1, absl::ZeroDuration(), true, now + ConnectionLimit::refusalPause));
    // A call that can't be sent again is not used to find out.
    CHECK(!limit.allowsAnother(1, absl::Seconds(1), false, now + ConnectionLimit::refusalPause));
    limit.recordAccepted(2);
    CHECK(!limit.isSingle());
    CHECK(limit.allowsAnother(1, absl::ZeroDuration(), false, now + ConnectionLimit::refusalPause));
    limit.recordAccepted(4);
    CHECK(limit.allowsAnother(3, absl::ZeroDuration(), false, now));
    CHECK(!limit.allowsAnother(4, absl::ZeroDuration(), false, now));
    CHECK(limit.allowsAnother(4, ConnectionLimit::growthDelay, false, now));
    CHECK(!limit.allowsAnother(5, ConnectionLimit::growthDelay, false, now));
    CHECK(!limit.allowsAnother(16, absl::Hours(1), true, now));
}

TEST(WorkerConnections, callsToAServerWithoutALimitDoNotWaitForEachOtherAfterARefusal)
{
    ConnectionLimit limit({});
    limit.recordRefusal(1, absl::ZeroDuration());
    CHECK(limit.allowsAnother(5, absl::ZeroDuration(), false, absl::ZeroDuration()));
    CHECK(!limit.isTryDue(5, absl::Hours(1)));
    CHECK(!limit.isSingle());
}

TEST(WorkerConnections, idleConnectionsAreClosed)
{
    FewConnections executor(io, 64);
    Owner owner(io, clock);
    owner.start(executor.worker(), 40);
    run(absl::Milliseconds(400));
    CHECK(executor.open() > 1);
    runClosingIdle(owner, absl::Milliseconds(1500));
    LONGS_EQUAL(1, executor.open());
    runClosingIdle(owner, absl::Milliseconds(4500));
    LONGS_EQUAL(0, executor.open());
    LONGS_EQUAL(0, owner.http.openConnections());
}

TEST(WorkerConnections, anEntryThatOwnsNothingAnyMoreClosesItsConnectionsAtOnce)
{
    FewConnections executor(io, 64);
    Owner owner(io, clock);
    owner.start(executor.worker(), 10);
    run(absl::Milliseconds(400));
    owner.http.closeIdleConnections(absl::ZeroDuration());
    run(absl::Milliseconds(50));
    LONGS_EQUAL(0, executor.open());
}

TEST(WorkerConnections, anOrderThatWaitsTooLongForItsTurnIsSaidNotToBeSent)
{
    FewConnections executor(io, 64);
    Owner owner(io, clock);
    owner.start(executor.worker(), 4000);
    run(absl::Seconds(6));
    CHECK(owner.notDone > 0);
    LONGS_EQUAL(4000, owner.done + owner.notDone);
    LONGS_EQUAL(owner.done, executor.starts());
    STRCMP_CONTAINS("cicada_worker_orders_congested", owner.metrics.text().c_str());
}
