/** \file
 * What the adapter's HTTP client says of calls whose connection breaks: whether they can have been received.
 */

#include "HttpClient.h"
#include "WorkerLink.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <optional>
#include <thread>

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::platform;
using boost::asio::ip::tcp;
using boost::system::error_code;

TEST_GROUP(HttpCalls)
{
    SystemClock clock;
    boost::asio::io_context io { 1 };
    HttpClient client { io, clock };
    tcp::acceptor acceptor { io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    tcp::socket served { io };
    std::string input;
    int requests = 0;

    /** Answers the first request; reads the second one, then resets the connection and is gone. */
    void serveOnceThenVanish()
    {
        acceptor.async_accept(served, [this](error_code) { readNext(); });
    }
    void readNext()
    {
        boost::asio::async_read_until(
            served, boost::asio::dynamic_buffer(input), "\r\n\r\n", [this](error_code error, size_t size) {
                if (error)
                    return;
                input.erase(0, size);
                if (++requests == 2)
                    return vanish();
                boost::asio::write(
                    served, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")));
                readNext();
            });
    }
    void vanish()
    {
        acceptor.close();
        served.set_option(boost::asio::socket_base::linger(true, 0));
        served.close();
    }
    /** Answers one request, on a thread of its own, after a delay. */
    void serveAfter(std::chrono::milliseconds delay)
    {
        boost::asio::io_context own;
        tcp::socket peer = acceptor.accept(own);
        std::string request;
        error_code ignored;
        boost::asio::read_until(peer, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        std::this_thread::sleep_for(delay);
        boost::asio::write(
            peer, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")), ignored);
    }
    HttpResult call(uint16_t port, bool mayRetry = true)
    {
        HttpResult answer;
        client.send({ { "127.0.0.1", port }, "GET", "/", "", {}, absl::Seconds(2), mayRetry },
            [&answer](HttpResult got) { answer = std::move(got); });
        io.restart();
        io.run_for(std::chrono::milliseconds(500));
        return answer;
    }
};

TEST(HttpCalls, aCallThatWasReceivedBeforeItsConnectionBrokeIsNotSaidToBeUnsent)
{
    const uint16_t port = acceptor.local_endpoint().port();
    serveOnceThenVanish();
    CHECK(call(port).outcome == HttpOutcome::ResponseReceived);
    const HttpResult second = call(port);
    LONGS_EQUAL(2, requests);
    CHECK(second.outcome == HttpOutcome::NoReply);
}

TEST(HttpCalls, aCallThatMayNotBeRepeatedIsSentOnce)
{
    const uint16_t port = acceptor.local_endpoint().port();
    serveOnceThenVanish();
    CHECK(call(port).outcome == HttpOutcome::ResponseReceived);
    CHECK(call(port, false).outcome == HttpOutcome::NoReply);
    LONGS_EQUAL(2, requests);
    LONGS_EQUAL(1, client.connectionsOpened());
}

TEST(HttpCalls, anAcknowledgementIsNotSentAgainToAWorkerThatMayHaveRestarted)
{
    EventLog log("test", -1);
    Metrics metrics;
    WorkerLink link(client, log, metrics);
    const WorkerIncarnation worker { "w", { "127.0.0.1", acceptor.local_endpoint().port() } };
    serveOnceThenVanish();
    for (const uint64_t acknowledged : { 0, 3 }) {
        SyncOrder order;
        order.acknowledgedThrough = acknowledged;
        link.sync(worker, order, [](const SyncReply&) {});
        io.restart();
        io.run_for(std::chrono::milliseconds(200));
    }
    LONGS_EQUAL(2, requests);
    LONGS_EQUAL(1, client.connectionsOpened());
}

TEST(HttpCalls, aCallThatNobodyAcceptsIsUnsent)
{
    const uint16_t port = acceptor.local_endpoint().port();
    acceptor.close();
    CHECK(call(port).outcome == HttpOutcome::NotSent);
}

TEST(HttpCalls, aLargeResponseIsReadInFewTurnsOfABusyLoop)
{
    constexpr size_t bodyBytes = 400 << 10;
    constexpr int maxTurns = 40;
    const uint16_t port = acceptor.local_endpoint().port();
    std::thread server([this] {
        boost::asio::io_context own;
        tcp::socket peer = acceptor.accept(own);
        std::string request;
        boost::asio::read_until(peer, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        error_code ignored;
        boost::asio::write(peer,
            boost::asio::buffer(absl::StrCat(
                "HTTP/1.1 200 OK\r\nContent-Length: ", bodyBytes, "\r\n\r\n", std::string(bodyBytes, 'x'))),
            ignored);
    });
    std::optional<HttpResult> answer;
    client.send({ { "127.0.0.1", port }, "GET", "/", "", {}, absl::Seconds(5) },
        [&answer](HttpResult got) { answer = std::move(got); });
    int turns = 0;
    std::function<void()> work = [&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        ++turns;
        if (!answer)
            boost::asio::post(io, work);
    };
    boost::asio::post(io, work);
    io.run();
    LONGS_EQUAL(bodyBytes, answer->body.size());
    server.join();
    CHECK(turns <= maxTurns);
}

TEST(HttpCalls, anAnswerThatStandsReadyWhenTheLoopIsLateIsNoTimeout)
{
    constexpr absl::Duration timeout = absl::Milliseconds(200);
    constexpr auto lateBy = std::chrono::milliseconds(400);
    const uint16_t port = acceptor.local_endpoint().port();
    std::thread server([this] { serveAfter(std::chrono::milliseconds(50)); });
    std::optional<HttpResult> answer;
    client.send(
        { { "127.0.0.1", port }, "GET", "/", "", {}, timeout }, [&answer](HttpResult got) { answer = std::move(got); });
    io.run_for(std::chrono::milliseconds(20));
    boost::asio::post(io, [&] { std::this_thread::sleep_for(lateBy); });
    io.run();
    server.join();
    CHECK(answer->outcome == HttpOutcome::ResponseReceived);
}

TEST(HttpCalls, aCallThatTheLateLoopHeldBackStillWaitsForItsAnswer)
{
    constexpr absl::Duration timeout = absl::Milliseconds(200);
    constexpr auto lateBy = std::chrono::milliseconds(400);
    const uint16_t port = acceptor.local_endpoint().port();
    std::thread server([this] { serveAfter(std::chrono::milliseconds(50)); });
    std::optional<HttpResult> answer;
    // The connection is open, and nothing has been sent on it yet, when the loop stops.
    client.send(
        { { "127.0.0.1", port }, "GET", "/", "", {}, timeout }, [&answer](HttpResult got) { answer = std::move(got); });
    boost::asio::post(io, [&] { std::this_thread::sleep_for(lateBy); });
    io.run();
    server.join();
    CHECK(answer->outcome == HttpOutcome::ResponseReceived);
}

TEST(HttpCalls, aCallThatIsNotAnsweredEndsInTimeAlsoWhenTheLoopWasLate)
{
    constexpr absl::Duration timeout = absl::Milliseconds(200);
    constexpr auto lateBy = std::chrono::milliseconds(400);
    const uint16_t port = acceptor.local_endpoint().port();
    std::optional<HttpResult> answer;
    client.send(
        { { "127.0.0.1", port }, "GET", "/", "", {}, timeout }, [&answer](HttpResult got) { answer = std::move(got); });
    boost::asio::post(io, [&] { std::this_thread::sleep_for(lateBy); });
    const Instant startedAt = clock.now();
    io.run();
    CHECK(answer->outcome == HttpOutcome::NoReply);
    CHECK(clock.now() - startedAt < absl::FromChrono(lateBy) + timeout + absl::Milliseconds(100));
}
