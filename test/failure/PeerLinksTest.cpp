/** \file
 * Links between entries that are late, or that open a link to each other at the same moment.
 */

#include "AsioPeerLinks.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <random>

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

/** An entry's links, on a loop and with timers of its own. */
struct LinkedEntry {
    LinkedEntry(const Clock& clock, const std::string& name)
        : timers(clock)
        , log(name, -1)
        , links(io, name, timers, log, metrics)
    {
    }
    /** A turn of the loop: what has arrived, then what is due. */
    void turn()
    {
        pollSockets();
        timers.runDue();
    }
    void pollSockets()
    {
        io.restart();
        io.poll();
    }
    /** Handles one event. */
    void pollSocket()
    {
        io.restart();
        io.poll_one();
    }
    boost::asio::io_context io { 1 };
    TimerQueue timers;
    EventLog log;
    Metrics metrics;
    AsioPeerLinks links;
};

uint16_t freePort()
{
    boost::asio::io_context io { 1 };
    const boost::asio::ip::tcp::acceptor acceptor { io, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    return acceptor.local_endpoint().port();
}

} // namespace

TEST_GROUP(PeerLinksOfALateLoop)
{
    ManualClock clock;
    LinkedEntry a { clock, "a" };
    LinkedEntry b { clock, "b" };

    void setup() override
    {
        clock.advance(absl::Seconds(1000));
        const uint16_t port = freePort();
        CHECK(b.links.listen({ "127.0.0.1", port }).has_value());
        CHECK(a.links.listen({ "127.0.0.1", freePort() }).has_value());
        const PeerAddress address { "b", absl::StrCat("127.0.0.1:", port), "region", true };
        a.links.setPeers({ &address, 1 });
        for (int i = 0; i < 500 && !(a.links.isLinked("b") && b.links.isLinked("a")); ++i) {
            clock.advance(absl::Milliseconds(10));
            a.turn();
            b.turn();
        }
        CHECK(a.links.isLinked("b"));
        CHECK(b.links.isLinked("a"));
    }
};

TEST(PeerLinksOfALateLoop, aLinkWithUnreadMessagesIsNotClosedAsSilent)
{
    a.timers.after(absl::ZeroDuration(), [this] {
        for (int i = 0; i < 5; ++i) {
            clock.advance(absl::Milliseconds(300));
            b.links.send("a", "service", "message");
            b.pollSockets();
        }
    });
    a.timers.runDue();
    a.turn();
    CHECK(a.links.isLinked("b"));
}

TEST_GROUP(PeerLinksOpenedByBoth) {};

TEST(PeerLinksOpenedByBoth, oneOfTheTwoLinksStays)
{
    for (int attempt = 0; attempt < 20; ++attempt) {
        ManualClock clock;
        clock.advance(absl::Seconds(1000));
        LinkedEntry a { clock, "a" };
        LinkedEntry b { clock, "b" };
        const uint16_t portOfA = freePort();
        CHECK(a.links.listen({ "127.0.0.1", portOfA }).has_value());
        const uint16_t portOfB = freePort();
        CHECK(b.links.listen({ "127.0.0.1", portOfB }).has_value());
        int lost = 0;
        a.links.onLinkChange([&lost](const std::string&, bool isUp) { lost += isUp ? 0 : 1; });
        b.links.onLinkChange([&lost](const std::string&, bool isUp) { lost += isUp ? 0 : 1; });
        const PeerAddress toB { "b", absl::StrCat("127.0.0.1:", portOfB), "region", true };
        const PeerAddress toA { "a", absl::StrCat("127.0.0.1:", portOfA), "region", true };
        a.links.setPeers({ &toB, 1 });
        b.links.setPeers({ &toA, 1 });
        std::mt19937 random(attempt);
        for (int i = 0; i < 2000; ++i) {
            clock.advance(absl::Milliseconds(1));
            LinkedEntry& entry = random() % 2 == 0 ? a : b;
            entry.pollSocket();
            entry.timers.runDue();
        }
        CHECK(a.links.isLinked("b"));
        CHECK(b.links.isLinked("a"));
        LONGS_EQUAL(0, lost);
    }
}
