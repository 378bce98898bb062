/** \file
 * Measured run times beside declared estimates: when they contradict them, and what a cell then decides otherwise.
 */

#include "RunTimeEstimates.h"
#include "CellWorld.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

namespace {

/** Jobs of one task whose declared estimates are wrong, each with what a run takes. */
struct Kind {
    std::string name;
    absl::Duration declared;
    absl::Duration actual;
    absl::Duration target;
    int perBurst;
};

const Kind correct { "right", absl::Seconds(1), absl::Seconds(1), absl::Seconds(4.5), 60 };

/** A cell that gets bursts of jobs. Where jobs share no queue, no queue ever has enough ends to learn from. */
struct BurstWorld {
    CellWorld world { 1, 8, 1 };
    std::vector<std::pair<std::string, Instant>> objectives;

    explicit BurstWorld(const std::vector<Kind>& kinds, bool sharesQueues, int bursts, absl::Duration interval)
    {
        world.setListsProgress(true);
        world.setWork([kinds](const Submission& job, const TaskName&, size_t) {
            for (const Kind& kind : kinds) {
                if (absl::StartsWith(job.id, kind.name))
                    return kind.actual;
            }
            return absl::Seconds(1);
        });
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
        for (int burst = 0; burst < bursts; ++burst) {
            submit(kinds, burst, sharesQueues);
            world.run(interval);
        }
        world.run(absl::Seconds(20));
    }

    void submit(const std::vector<Kind>& kinds, int burst, bool sharesQueues)
    {
        for (int i = 0; i < 60; ++i) {
            for (const Kind& kind : kinds) {
                if (i >= kind.perBurst)
                    continue;
                const std::string id = absl::StrCat(kind.name, "-", burst, "-", i);
                QueuePolicy policy = world.policy();
                policy.latencyTarget = kind.target;
                world.setSharedQueueOf(id, sharesQueues ? kind.name : id, policy);
                world.submitOnce(0, makeJob(id, 1, 1000, kind.declared));
                objectives.emplace_back(id, world.now() + policy.stretch * kind.declared + kind.target);
            }
        }
    }

    size_t onTime(const std::string& prefix) const
    {
        return static_cast<size_t>(std::count_if(objectives.begin(), objectives.end(), [&](const auto& job) {
            const auto end = world.lastFinishOf(job.first);
            return absl::StartsWith(job.first, prefix) && end && *end <= job.second;
        }));
    }
};

} // namespace

TEST_GROUP(RunTimeEstimates)
{
    RunTimeEstimates estimates;
    Instant now = absl::Seconds(100);

    EstimateChange add(double ratio, WorkerSpeed* speed = nullptr)
    {
        now += absl::Milliseconds(10);
        return estimates.record({ "q", absl::Seconds(1), absl::Seconds(ratio) }, speed, now);
    }
    EstimateCorrection correction() { return estimates.correctionOf("q", now); }
};

TEST(RunTimeEstimates, aTailOfStragglersDoesNotMoveTheFactor)
{
    for (const double scale : { 1.0, 4.0 }) {
        for (int i = 0; i < 800; ++i)
            add(scale * (i % 33 == 0 ? 7 : 0.7 + 0.02 * (i % 31)));
        CHECK_EQUAL(scale > 1, correction().isContradicted);
        DOUBLES_EQUAL(scale, correction().median, 0.3 * (scale - 1));
    }
}

TEST(RunTimeEstimates, fewOldRestoredOrCutRunsAreNoKnowledge)
{
    for (int i = 0; i < 200; ++i) {
        estimates.record({ "q", absl::Seconds(1), absl::Seconds(9), true }, nullptr, now);
        estimates.record({ "q", absl::Seconds(1), absl::Seconds(9), false, true }, nullptr, now);
    }
    for (int i = 0; i < 49; ++i)
        add(9);
    CHECK(!correction().isContradicted);
    for (int i = 0; i < 16; ++i)
        add(9);
    CHECK(correction().isContradicted);
    now += RunTimeEstimates::window + absl::Seconds(1);
    CHECK(!correction().isContradicted);
    for (int i = 0; i < 2000; ++i)
        estimates.record({ absl::StrCat(i), absl::Seconds(1), absl::Seconds(9) }, nullptr, now);
    CHECK(estimates.queues() <= RunTimeEstimates::maxQueues);
}

TEST(RunTimeEstimates, changesAreToldOnce)
{
    int contradicted = 0;
    int holding = 0;
    for (int i = 0; i < 4000; ++i) {
        const EstimateChange change = add(i < 2000 ? 3 : 1);
        contradicted += change == EstimateChange::Contradicted ? 1 : 0;
        holding += change == EstimateChange::HoldAgain ? 1 : 0;
    }
    LONGS_EQUAL(1, contradicted);
    LONGS_EQUAL(1, holding);
}

TEST(RunTimeEstimates, aSlowWorkerIsToldFromLongWork)
{
    WorkerSpeed slow;
    WorkerSpeed fast;
    for (int i = 0; i < 400; ++i)
        i % 8 == 0 ? add(8, &slow) : add(2, &fast);
    DOUBLES_EQUAL(0.25, slow.value(), 0.05);
    DOUBLES_EQUAL(1, fast.value(), 0.05);
    DOUBLES_EQUAL(1.9, correction().high, 0.05);
}

TEST(RunTimeEstimates, whereEstimatesHoldAllStartsAreAsWithoutMeasurement)
{
    const BurstWorld declared({ correct }, false, 4, absl::Seconds(1));
    const BurstWorld measured({ correct }, true, 4, absl::Seconds(1));
    LONGS_EQUAL(240, declared.world.startOrder().size());
    CHECK(declared.world.startOrder() == measured.world.startOrder());
}

TEST(RunTimeEstimates, aSlowWorkerIsLeftAlsoByWronglyEstimatedWork)
{
    const auto startsOnSlow = [](bool sharesQueue) {
        CellWorld world { 1, 8, 1 };
        size_t onSlow = 0;
        world.setListsProgress(true);
        world.setWork([&](const Submission&, const TaskName&, size_t worker) {
            onSlow += worker == 0 ? 1 : 0;
            return absl::Seconds(worker == 0 ? 6 : 1.5);
        });
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
        for (int i = 0; i < 400; ++i) {
            const std::string id = absl::StrCat("job", i);
            onSlow = i == 200 ? 0 : onSlow;
            world.setSharedQueueOf(id, sharesQueue ? "jobs" : id, world.policy());
            world.submitOnce(0, makeJob(id, 1, 1000, absl::Seconds(0.3)));
            world.run(absl::Milliseconds(120));
        }
        return onSlow;
    };
    CHECK(startsOnSlow(true) * 4 < startsOnSlow(false));
}
