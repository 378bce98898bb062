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
    std::vector<std::string> sent;

    void handle(absl::string_view, Handler) override { }
    bool send(absl::string_view peer, absl::string_view, std::string bytes) override
    {
        sentTo.emplace_back(peer);
        sent.push_back(std::move(bytes));
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

    void request(absl::AnyInvocable<void(AdviceReply)> callback, absl::Duration expected = absl::Seconds(1))
    {
        AdviceRequest adviceRequest;
        adviceRequest.step.job = "job";
        adviceRequest.workers = { "w" };
        slots.request(std::move(adviceRequest), expected, std::move(callback));
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

TEST(AdvisorSlots, aRestartedEntryUsesOtherNumbersForItsRequests)
{
    const auto numberOf = [](const std::string& bytes) {
        uint64_t number = 0;
        std::string job;
        uint32_t occurrence = 0;
        uint32_t step = 0;
        std::vector<std::string> workers;
        int64_t timeoutMillis = 0;
        const auto read
            = Internal::unpackFields(bytes, "advice request", number, job, occurrence, step, workers, timeoutMillis);
        CHECK(read.has_value());
        return number;
    };
    AdvisorSlots restarted { "self", advisor, bus, timers, log };
    std::vector<uint64_t> first;
    for (AdvisorSlots* process : { &slots, &restarted }) {
        bus.sent.clear();
        for (int i = 0; i < 2; ++i)
            process->request({}, absl::Seconds(1), [](const AdviceReply&) {});
        CHECK(!bus.sent.empty());
        first.push_back(numberOf(bus.sent.front()));
    }
    CHECK(first[0] != first[1]);
}

TEST(AdvisorSlots, shortRequestsThatWaitDoNotHoldBackALongOne)
{
    constexpr absl::Duration shortTime = absl::Milliseconds(20);
    constexpr int shortRequests = 30;
    for (int i = 0; i < shortRequests; ++i)
        request([](const AdviceReply&) {}, shortTime);
    CHECK(slots.waitingBefore(shortTime) > 0);
    LONGS_EQUAL(0, slots.waitingBefore(absl::Seconds(1)));
}
