/** \file
 * Links between entries whose event loops are late, over real sockets and on paused clocks.
 */

#include "AsioPeerLinks.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace cicada;
using boost::asio::ip::tcp;

namespace {

/** One entry's links with their event loop. */
struct LinkedEntry {
    explicit LinkedEntry(const std::string& name)
        : log(name, -1)
        , links(io, name, timers, log, metrics)
    {
        links.onLinkChange([this](const std::string&, bool isUp) { isUp ? ++ups : ++downs; });
    }
    /** Handles what stands ready in the sockets. */
    void handleInput()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(5));
    }
    /** Time passes in which the event loop handles nothing, then the timers that are due run. */
    void beLate(absl::Duration by)
    {
        clock.advance(by);
        timers.runDue();
    }
    ManualClock clock;
    boost::asio::io_context io { 1 };
    TimerQueue timers { clock };
    EventLog log;
    Metrics metrics;
    AsioPeerLinks links;
    int ups = 0;
    int downs = 0;
};

} // namespace

TEST_GROUP(LinksOfLateLoops)
{
    LinkedEntry late { "late" };
    LinkedEntry prompt { "prompt" };
    const absl::Duration tooLong = AsioPeerLinks::linkTimeout + absl::Milliseconds(200);

    static uint16_t freePort()
    {
        boost::asio::io_context io;
        const tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        return acceptor.local_endpoint().port();
    }
    void handleAllInput()
    {
        for (int i = 0; i < 3; ++i) {
            late.handleInput();
            prompt.handleInput();
        }
    }
    void setup() override
    {
        const uint16_t port = freePort();
        CHECK(prompt.links.listen({ "127.0.0.1", port }).has_value());
        CHECK(late.links.listen({ "127.0.0.1", freePort() }).has_value());
        late.links.setPeers(std::vector<PeerAddress> { { "prompt", absl::StrCat("127.0.0.1:", port), "", true } });
        for (int i = 0; i < 100 && late.ups + prompt.ups < 2; ++i) {
            late.beLate(absl::Milliseconds(50));
            handleAllInput();
        }
        LONGS_EQUAL(1, late.ups);
        LONGS_EQUAL(1, prompt.ups);
    }
};

TEST(LinksOfLateLoops, aLinkWhoseHeartbeatsStandReadyIsNotLostWhenTheOwnLoopIsLate)
{
    for (int i = 0; i < 3; ++i) {
        handleAllInput();
        prompt.links.send("late", "test", "");
        prompt.handleInput();
        late.beLate(tooLong);
        LONGS_EQUAL(0, late.downs);
    }
    CHECK(late.links.isLinked("prompt"));
}

TEST(LinksOfLateLoops, aLinkOnWhichNothingStandsReadyIsLost)
{
    handleAllInput();
    late.beLate(tooLong);
    LONGS_EQUAL(1, late.downs);
    CHECK(!late.links.isLinked("prompt"));
}
