/** \file
 * How requests to the policy service are distributed over the entries' slots.
 */

#include "Advisor.h"
#include "Pack.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

/** Calls the policy service of this machine; never answered. */
class SilentAdvisor final : public Advisor {
public:
    void request(const AdviceRequest&, absl::Duration, absl::AnyInvocable<void(AdviceReply)>) override { }
};

/** Records what is sent to peers. */
class RecordingBus final : public PeerBus {
public:
    std::vector<std::string> peers { "a", "b", "c" };
    std::vector<std::string> sentTo;

    void handle(absl::string_view, Handler) override { }
    bool send(absl::string_view peer, absl::string_view, std::string) override
    {
        sentTo.emplace_back(peer);
        return true;
    }
    void setPeers(absl::Span<const PeerAddress>) override { }
    std::vector<std::string> peerNames() const override { return peers; }
    PeerTraffic traffic() const override { return {}; }
};

} // namespace

TEST_GROUP(AdvisorSlots)
{
    ManualClock clock;
    TimerQueue timers { clock };
    EventLog log { "self", -1 };
    SilentAdvisor advisor;
    RecordingBus bus;
    AdvisorSlots slots { "self", advisor, bus, timers, log };

    void request(absl::AnyInvocable<void(AdviceReply)> callback)
    {
        AdviceRequest adviceRequest;
        adviceRequest.step.job = "job";
        adviceRequest.workers = { "w" };
        slots.request(std::move(adviceRequest), absl::Seconds(1), std::move(callback));
    }
};

TEST(AdvisorSlots, aRequestOnALostLinkFailsAtOnce)
{
    size_t failed = 0;
    const auto countFailed = [&](const AdviceReply& reply) { failed += reply.isValid ? 0 : 1; };
    for (int i = 0; i < 4; ++i)
        request(countFailed);
    LONGS_EQUAL(3, bus.sentTo.size());
    slots.handleLinkLost("b");
    LONGS_EQUAL(1, failed);
}

TEST(AdvisorSlots, slotsThatAreFilteredOutAreNotUsed)
{
    slots.setSlotFilter([](const std::string& entry) { return entry != "b"; });
    for (int i = 0; i < 8; ++i)
        request([](const AdviceReply&) {});
    for (const std::string& peer : bus.sentTo)
        CHECK(peer != "b");
}
