/** \file
 * An owner gives an executor no work before it knows what runs there, frees a slot only when the run surely ended, and
 * keeps work from executors that fail everything, but never from more than half of a service's executors.
 */

#include "ExecutorHealth.h"
#include "support/FakeOwnership.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

/** Executors that answer probes at once, as the test says. */
class FakeProbe final : public ExecutorProbe {
public:
    void probe(const BackEnd& executor, uint64_t epoch, absl::AnyInvocable<void(ProbeReply)> done) override
    {
        if (m_hangs)
            return;
        ProbeReply reply;
        reply.reached = m_reachable;
        reply.fenced = epoch >= m_epoch;
        m_epoch = std::max(m_epoch, epoch);
        reply.running = m_running[executor.name];
        done(reply);
    }
    void stopUnstarted(const BackEnd&, absl::string_view requestId, absl::AnyInvocable<void(StopReply)> done) override
    {
        m_stopped.emplace_back(requestId);
        done(m_stopReply);
    }

    bool m_hangs = false;
    bool m_reachable = true;
    uint64_t m_epoch = 0;
    StopReply m_stopReply = StopReply::Stopped;
    absl::flat_hash_map<std::string, std::vector<std::string>> m_running;
    std::vector<std::string> m_stopped;
};

constexpr uint32_t slots = 2;
constexpr int executorCount = 4;

} // namespace

TEST_GROUP(ExecutorHealth)
{
    ManualClock clock;
    BackEnds backEnds;
    Testing::FakeOwnership ownership;
    FakeProbe probe;
    SlotLedger ledger { backEnds, ownership, clock };
    bool planned = false;
    ExecutorHealth health { { backEnds, ownership, ledger, probe, clock, [this](const BackEnd&) { return planned; },
        [] {} } };

    void setup() override
    {
        std::vector<BackEnd> list;
        for (int i = 0; i < executorCount; ++i) {
            BackEnd executor;
            executor.name = absl::StrCat("e", i);
            executor.service = "desk";
            executor.slots = slots;
            list.push_back(executor);
        }
        backEnds.update(list);
    }

    void gainAll(uint64_t epoch)
    {
        for (int i = 0; i < executorCount; ++i)
            ownership.gain(absl::StrCat("executor/e", i), epoch);
    }

    void pass(absl::Duration time)
    {
        for (absl::Duration passed; passed < time; passed += absl::Milliseconds(100)) {
            clock.advance(absl::Milliseconds(100));
            health.tick(clock.now());
        }
    }

    SlotGrant take()
    {
        const auto grant = ledger.take("desk", "id", "self");
        CHECK(grant.has_value());
        return *grant;
    }

    /** Fills all slots again and again; the runs on `executor`, or all when it is empty, fail. */
    void failEverything(const std::string& executor)
    {
        constexpr int rounds = 20;
        for (int round = 0; round < rounds; ++round) {
            std::vector<SlotGrant> grants;
            while (const auto grant = ledger.take("desk", absl::StrCat("f", grants.size()), "self"))
                grants.push_back(*grant);
            for (const SlotGrant& grant : grants) {
                const bool fails = executor.empty() || grant.executor == executor;
                ledger.finish(grant.id, { fails ? RunVerdict::Failed : RunVerdict::Succeeded, {} });
            }
        }
    }
};

TEST(ExecutorHealth, noWorkBeforeTheExecutorWasAsked)
{
    probe.m_hangs = true;
    gainAll(1);
    pass(absl::Seconds(1));
    LONGS_EQUAL(0, ledger.freeSlots("desk"));
}

TEST(ExecutorHealth, whatRunsAtTheTakeOverHoldsItsSlot)
{
    probe.m_running["e0"] = { "old-1", "old-2" };
    gainAll(2);
    pass(absl::Seconds(1));
    LONGS_EQUAL(slots, ledger.inUse("e0"));
    LONGS_EQUAL(slots * (executorCount - 1), ledger.freeSlots("desk"));
    probe.m_running["e0"] = { "old-2" };
    pass(absl::Seconds(3));
    LONGS_EQUAL(1, ledger.inUse("e0"));
}

TEST(ExecutorHealth, anExecutorThatSawAHigherEpochGetsNothing)
{
    probe.m_epoch = 7;
    gainAll(6);
    pass(absl::Seconds(2));
    LONGS_EQUAL(0, ledger.freeSlots("desk"));
}

TEST(ExecutorHealth, aLostEndFreesTheSlotOnlyOnceTheExecutorRefusesTheStart)
{
    gainAll(1);
    pass(absl::Seconds(1));
    const SlotGrant grant = take();
    probe.m_stopReply = StopReply::Unreachable;
    pass(absl::Seconds(5));
    LONGS_EQUAL(1, ledger.inUse(grant.executor));
    probe.m_stopReply = StopReply::Stopped;
    pass(absl::Seconds(5));
    LONGS_EQUAL(0, ledger.inUse(grant.executor));
    CHECK(probe.m_stopped.back() == "id");
}

TEST(ExecutorHealth, aRunningStartKeepsItsSlotHoweverLongItTakes)
{
    gainAll(1);
    pass(absl::Seconds(1));
    const SlotGrant grant = take();
    probe.m_running[grant.executor] = { "id" };
    pass(absl::Minutes(10));
    LONGS_EQUAL(1, ledger.inUse(grant.executor));
    CHECK(probe.m_stopped.empty());
}

TEST(ExecutorHealth, anUnsettledRunKeepsItsSlot)
{
    gainAll(1);
    pass(absl::Seconds(1));
    const SlotGrant grant = take();
    probe.m_running[grant.executor] = { "id" };
    ledger.finish(grant.id, { RunVerdict::Unsettled, {} });
    LONGS_EQUAL(1, ledger.inUse(grant.executor));
}

TEST(ExecutorHealth, anUnreachableExecutorGetsNothingUntilItAnswersAgain)
{
    gainAll(1);
    pass(absl::Seconds(1));
    probe.m_reachable = false;
    pass(absl::Seconds(6));
    LONGS_EQUAL(0, ledger.freeSlots("desk"));
    probe.m_reachable = true;
    pass(absl::Seconds(2));
    LONGS_EQUAL(slots * executorCount, ledger.freeSlots("desk"));
}

TEST(ExecutorHealth, anExecutorThatFailsEverythingIsSetAsideAndComesBack)
{
    gainAll(1);
    pass(absl::Seconds(1));
    failEverything("e1");
    CHECK(health.phase("e1") == ExecutorPhase::SetAside);
    LONGS_EQUAL(slots * (executorCount - 1), ledger.freeSlots("desk"));
    pass(ExecutorHealth::initialSetAsideDuration + absl::Seconds(1));
    CHECK(health.phase("e1") == ExecutorPhase::OnTrial);
    failEverything("none");
    CHECK(health.phase("e1") == ExecutorPhase::Live);
}

TEST(ExecutorHealth, neverMoreThanHalfAreSetAside)
{
    gainAll(1);
    pass(absl::Seconds(1));
    failEverything("");
    LONGS_EQUAL(slots * executorCount / 2, ledger.freeSlots("desk"));
}

TEST(ExecutorHealth, aPlannedStopGivesNoNewWork)
{
    gainAll(1);
    pass(absl::Seconds(1));
    planned = true;
    LONGS_EQUAL(0, ledger.freeSlots("desk"));
}

TEST(ExecutorHealth, aLostExecutorIsForgotten)
{
    gainAll(1);
    pass(absl::Seconds(1));
    take();
    for (int i = 0; i < executorCount; ++i)
        ownership.lose(absl::StrCat("executor/e", i));
    LONGS_EQUAL(0, ledger.grants().size());
    LONGS_EQUAL(0, ledger.freeSlots("desk"));
}
