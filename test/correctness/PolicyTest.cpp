/** \file
 * The parts of the policy: learnt run times, the order of the queue, the reserve, admission, the choice of peers, the
 * gate between regions, the budget of digests, and that every baseline can be chosen by name.
 */

#include "CrossRegionGate.h"
#include "LoadReporter.h"
#include "PolicyOptions.h"
#include "RunTimes.h"
#include "support/FakeWorld.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

const auto any = [](bool) { return true; };

QueuedRequest request(uint64_t ticket, const std::string& profile, int urgency, absl::Duration deadline)
{
    return { ticket, profile, urgency, 1, deadline, absl::Milliseconds(100), false };
}

} // namespace

TEST_GROUP(Policy) {};

TEST(Policy, runTimesAreLearntAndStragglersAreToldApart)
{
    RunTimes times;
    const auto declared = absl::Seconds(10);
    CHECK(times.estimate("desk", "check", declared).typical == declared);
    for (int i = 0; i < 200; ++i)
        times.recordRun("desk", "check", i % 50 == 0 ? absl::Seconds(5) : absl::Milliseconds(100), {});
    const RunEstimate observed = times.estimate("desk", "check", declared);
    CHECK(observed.typical > absl::Milliseconds(90) && observed.typical < absl::Milliseconds(110));
    CHECK(observed.suspectAfter < absl::Milliseconds(300));
    CHECK(times.estimate("desk", "other", declared).typical == declared);
}

TEST(Policy, theNumberOfLearntKindsIsBounded)
{
    RunTimes times;
    for (size_t i = 0; i < 2 * RunTimes::maxKinds; ++i)
        times.recordRun("desk", absl::StrCat(i), absl::Seconds(1), absl::Seconds(static_cast<int64_t>(i)));
    LONGS_EQUAL(RunTimes::maxKinds, times.kinds());
}

TEST(Policy, withinAClassTheEarliestDeadlineComesFirst)
{
    FairDeadlineQueue queue;
    queue.push(request(1, "slow", 5, absl::Seconds(9)));
    queue.push(request(2, "fast", 5, absl::Seconds(1)));
    queue.push(request(3, "urgent", 8, absl::Seconds(99)));
    LONGS_EQUAL(3, *queue.next(any));
    queue.start(3);
    LONGS_EQUAL(2, *queue.next(any));
    queue.start(2);
    LONGS_EQUAL(1, *queue.next(any));
}

TEST(Policy, profilesOfOneClassGetTheirShares)
{
    FairDeadlineQueue queue;
    for (uint64_t i = 0; i < 4000; ++i) {
        // The first profile's deadlines are all earlier, so that only the share can hold it back.
        QueuedRequest next = request(i, i % 2 ? "small" : "large", 5, absl::Seconds(i % 2 ? 60 : 30));
        next.share = i % 2 ? 1 : 3;
        queue.push(next);
    }
    int large = 0;
    for (int i = 0; i < 1000; ++i) {
        const uint64_t ticket = *queue.next(any);
        large += ticket % 2 == 0;
        queue.start(ticket);
    }
    CHECK_TEXT(large > 700 && large < 830, absl::StrCat(large, " of 1000").c_str());
}

TEST(Policy, noClassStarvesAndTheMostUrgentKeepsMost)
{
    FairDeadlineQueue queue;
    for (uint64_t i = 0; i < 3000; ++i)
        queue.push(request(i, absl::StrCat("p", i % 3), static_cast<int>(i % 3) * 4, absl::Seconds(60)));
    std::array<int, 3> starts {};
    for (int i = 0; i < 1000; ++i) {
        const uint64_t ticket = *queue.next(any);
        ++starts[ticket % 3];
        queue.start(ticket);
    }
    CHECK(starts[2] >= 780);
    CHECK(starts[0] >= 90);
    CHECK(starts[1] >= 90);
}

TEST(Policy, longWorkThatMayNotStartDoesNotBlockShortWork)
{
    FairDeadlineQueue queue;
    QueuedRequest render = request(1, "render", 9, absl::Seconds(1));
    render.isLong = true;
    queue.push(render);
    queue.push(request(2, "proof", 1, absl::Seconds(9)));
    LONGS_EQUAL(2, *queue.next([](bool isLong) { return !isLong; }));
    CHECK(queue.workAhead(request(3, "proof", 0, absl::Seconds(9)), true) == absl::Milliseconds(100));
}

TEST(Policy, theReserveFollowsShortWorkAndLeavesSomethingToLongWork)
{
    AdaptiveReserve reserve;
    LONGS_EQUAL(50, reserve.maxLongSlots(50, {}));
    Instant now = absl::Seconds(1);
    for (int i = 0; i < 5000; ++i, now += absl::Milliseconds(1))
        reserve.recordShortRequest(absl::Milliseconds(10), now);
    // Ten slots are busy with short work on average, and the margin is two deviations.
    const uint32_t limit = reserve.maxLongSlots(50, now);
    CHECK(limit >= 31 && limit <= 34);
    for (int i = 0; i < 5000; ++i, now += absl::Milliseconds(1))
        reserve.recordShortRequest(absl::Milliseconds(500), now);
    LONGS_EQUAL(5, reserve.maxLongSlots(50, now));
    LONGS_EQUAL(50, NoReserve().maxLongSlots(50, now));
}

TEST(Policy, onlyWorkThatMayBeShedIsRefusedOnArrival)
{
    Profile profile;
    profile.whenShort = ShortageAction::Shed;
    const AdmissionInput late { absl::Seconds(2), absl::Seconds(1), false };
    CHECK_FALSE(AdmitInTime().admit(profile, late));
    CHECK(AdmitInTime().admit(profile, { absl::Seconds(2), absl::Seconds(1), true }));
    CHECK(AdmitInTime().admit(profile, { absl::Milliseconds(500), absl::Seconds(1), false }));
    CHECK(AdmitAll().admit(profile, late));
    profile.whenShort = ShortageAction::Wait;
    CHECK(AdmitInTime().admit(profile, late));
}

TEST(Policy, theGateBetweenRegionsNeedsLastingPressure)
{
    CrossRegionGate gate;
    Instant now = absl::Seconds(1);
    const auto pass = [&](double pressure, int windows) {
        for (int i = 0; i < windows; ++i, now += CrossRegionGate::window) {
            gate.recordPressure(pressure);
            gate.tick(now, false);
        }
    };
    pass(0.9, 1);
    pass(0.3, 1);
    CHECK_FALSE(gate.isOpen());
    pass(0.9, 2);
    CHECK(gate.isOpen());
    pass(0.3, 5);
    CHECK(gate.isOpen());
    pass(0.1, 1);
    CHECK_FALSE(gate.isOpen());
}

TEST(Policy, staleLoadsSayNothing)
{
    PeerLoads loads("here");
    loads.update("peer", { "here", true, { { "desk", 4, 2, 0 } } }, absl::Seconds(1));
    LONGS_EQUAL(4, loads.freeSlots("desk", false, false, absl::Seconds(2)));
    LONGS_EQUAL(2, loads.freeSlots("desk", true, false, absl::Seconds(2)));
    LONGS_EQUAL(0, loads.freeSlots("desk", false, true, absl::Seconds(2)));
    LONGS_EQUAL(0, loads.freeSlots("desk", false, false, absl::Seconds(1) + 2 * PeerLoads::maxAge));
}

TEST(Policy, digestsKeepToTheirBudgetWhateverChanges)
{
    Testing::FakeWorld world(1);
    Testing::Node& node = world.addNode("self");
    std::vector<PeerAddress> peers;
    peers.reserve(300);
    for (int i = 0; i < 300; ++i)
        peers.push_back({ absl::StrCat("peer-", i), "", "" });
    node.setPeers(peers);
    PeerLoads loads("here");
    for (int i = 0; i < 100; ++i)
        loads.update(absl::StrCat("peer-", i), { "here", true, {} }, {});
    std::mt19937_64 random(1);
    LoadReporter reporter("here", node, loads, random);
    constexpr int seconds = 60;
    for (int i = 0; i < seconds * 200; ++i) {
        std::vector<ServiceLoad> changing;
        changing.reserve(50);
        for (int service = 0; service < 50; ++service)
            changing.push_back({ absl::StrCat("service-", service), i % 2 ? 0U : 9U, 0, 0 });
        reporter.report(changing, absl::Milliseconds(5 * i));
    }
    CHECK(reporter.bytesSent() > 0);
    CHECK(reporter.bytesSent() <= LoadReporter::maxBurstBytes + seconds * LoadReporter::maxBytesPerSecond);
    CHECK(node.traffic().bytes <= reporter.bytesSent());
}

TEST(Policy, everyNamedPolicyExists)
{
    for (const absl::string_view name : policyNames())
        CHECK(policyOptions(name).has_value());
    CHECK_FALSE(policyOptions("none").has_value());
}
