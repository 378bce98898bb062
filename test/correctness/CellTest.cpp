/** \file
 * What a cell does when nothing fails.
 */

#include "CellWorld.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP(Cell)
{
    CellWorld world { 3, 8, 1 };
    Instant lastSeen;

    void setup() override
    {
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
        lastSeen = world.now();
    }
    void teardown() override { STRCMP_EQUAL("", world.report().c_str()); }

    /** Lets time pass; the longest time since the last sight of a run of the job, also from earlier calls. */
    absl::Duration absenceOf(const std::string& job, absl::Duration duration)
    {
        absl::Duration longest;
        for (const Instant until = world.now() + duration; world.now() < until;) {
            world.run(absl::Milliseconds(20));
            const bool isRunning = std::any_of(world.workers().begin(), world.workers().end(), [&](const auto& worker) {
                return std::any_of(
                    worker.runs.begin(), worker.runs.end(), [&](const auto& run) { return run.first.task.job == job; });
            });
            if (isRunning)
                lastSeen = world.now();
            longest = std::max(longest, world.now() - lastSeen);
        }
        return longest;
    }
    bool ends(const std::string& job, JobPhase phase, absl::Duration limit = absl::Seconds(20))
    {
        return world.runUntil([&] { return world.ask(0, job) == phase; }, limit);
    }
};

TEST(Cell, aJobRunsAndIsShownAsFinished)
{
    world.submit(0, makeJob("a", 5));
    CHECK(ends("a", JobPhase::Finished));
    LONGS_EQUAL(5, world.startsOf("a"));
}

TEST(Cell, oneIdAtTwoEntriesAtOnceIsOneJob)
{
    world.submitOnce(0, makeJob("a", 3));
    world.submitOnce(1, makeJob("a", 3));
    CHECK(ends("a", JobPhase::Finished));
    world.submitOnce(2, makeJob("a", 3));
    world.run(absl::Seconds(3));
    LONGS_EQUAL(3, world.startsOf("a"));
    LONGS_EQUAL(3, world.answersTo("a").size());
    for (const GatewayStatus status : world.answersTo("a"))
        CHECK(status == GatewayStatus::Accepted);
}

TEST(Cell, stepsRunAfterThoseTheyWaitFor)
{
    Submission job = makeJob("a", 3);
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = { 0 };
    world.submit(0, job);
    CHECK(ends("a", JobPhase::Finished));
    const auto& order = world.startOrder();
    LONGS_EQUAL(6, order.size());
    for (size_t i = 0; i < order.size(); ++i)
        LONGS_EQUAL(i < 3 ? 0 : 1, order[i].task.step);
}

TEST(Cell, aGangStartsWhole)
{
    Submission small = makeJob("small", 30, 1000, absl::Seconds(2));
    world.submit(0, small);
    world.run(absl::Milliseconds(500));
    Submission gang = makeJob("gang", 20);
    gang.steps[0].isGang = true;
    world.submit(1, gang);
    CHECK(ends("gang", JobPhase::Finished));
    LONGS_EQUAL(20, world.startsOf("gang"));
}

TEST(Cell, aLimitForEachWorkerHolds)
{
    Submission job = makeJob("a", 16);
    job.steps[0].maxPerWorker = 2;
    world.submit(0, job);
    CHECK(ends("a", JobPhase::Finished));
    LONGS_EQUAL(2, world.maxOnOneWorker("a"));
}

TEST(Cell, aCancelledJobStopsAndStaysCancelled)
{
    world.submit(0, makeJob("a", 40, 1000, absl::Seconds(3)));
    world.run(absl::Seconds(1));
    world.cancel(1, "a");
    CHECK(ends("a", JobPhase::Cancelled));
    world.run(absl::Seconds(1));
    for (const WorldWorker& worker : world.workers())
        CHECK(worker.runs.empty());
}

TEST(Cell, anUnknownJobIsSaidNotToExist) { CHECK(!world.ask(0, "unknown").has_value()); }

TEST(Cell, aTaskThatAlwaysFailsFailsItsJobAfterItsAttempts)
{
    for (WorldWorker& worker : world.workers())
        worker.fails = true;
    world.submit(0, makeJob("a", 1));
    CHECK(ends("a", JobPhase::Failed));
    LONGS_EQUAL(3, world.startsOf("a"));
}

TEST(Cell, aGangFailsOnceARunWhicheverMemberFails)
{
    Submission gang = makeJob("gang", 8, 2000, absl::Milliseconds(600));
    gang.steps[0].isGang = true;
    world.submit(0, gang);
    // The first run fails at its first member, the second at its last.
    for (const uint32_t member : { 0u, 7u }) {
        const uint32_t run = member == 0 ? 1 : 2;
        const TaskRun failing { { "gang", 0, 0, member }, run };
        const auto workerOf = [&]() -> WorldWorker* {
            for (WorldWorker& worker : world.workers()) {
                if (worker.runs.contains(failing))
                    return &worker;
            }
            return nullptr;
        };
        CHECK(world.runUntil([&] { return workerOf() != nullptr; }, absl::Seconds(10)));
        WorldWorker* worker = workerOf();
        worker->fails = true;
        CHECK(world.runUntil([&] { return workerOf() == nullptr; }, absl::Seconds(10)));
        worker->fails = false;
    }
    CHECK(ends("gang", JobPhase::Finished));
    LONGS_EQUAL(3 * 8, world.startsOf("gang"));
}

TEST(Cell, jobsWhoseStartsAreRefusedStillWait)
{
    for (WorldWorker& worker : world.workers())
        worker.refuses = true;
    for (int i = 0; i < 3; ++i)
        world.submit(0, makeJob(absl::StrCat("a", i), 2));
    world.run(absl::Seconds(5));
    LONGS_EQUAL(3, world.pending(1));
    CHECK(world.ask(1, "a0") == JobPhase::Queued);
    for (WorldWorker& worker : world.workers())
        worker.refuses = false;
    CHECK(ends("a0", JobPhase::Finished));
    CHECK(ends("a1", JobPhase::Finished));
    CHECK(ends("a2", JobPhase::Finished));
    LONGS_EQUAL(0, world.pending(1));
}

TEST(Cell, occurrencesStartWhenTheyAreDue)
{
    Submission job = makeJob("a", 1);
    job.occurrences = 3;
    job.startUnixMillis = absl::ToInt64Milliseconds(world.now()) + 2000;
    job.intervalMillis = 1000;
    world.submit(0, job);
    world.run(absl::Milliseconds(1900));
    LONGS_EQUAL(0, world.startsOf("a"));
    world.run(absl::Milliseconds(600));
    LONGS_EQUAL(1, world.startsOf("a"));
    CHECK(ends("a", JobPhase::Finished));
    LONGS_EQUAL(3, world.startsOf("a"));
}

TEST(Cell, serviceTasksAreStartedAgain)
{
    Submission job = makeJob("a", 2);
    job.steps[0].isService = true;
    world.submit(0, job);
    world.run(absl::Seconds(5));
    CHECK(world.startsOf("a") > 6);
    CHECK(world.ask(0, "a") == JobPhase::Running);
    world.cancel(0, "a");
    CHECK(ends("a", JobPhase::Cancelled));
}

TEST(Cell, aServiceIsBackInTimeWhileMoreUrgentWorkArrivesThanFits)
{
    constexpr absl::Duration restartBound = absl::Seconds(6);
    Submission service = makeJob("service", 1, 4000);
    service.steps[0].isService = true;
    world.submit(0, service);
    CHECK(world.runUntil([&] { return world.startsOf("service") == 1; }, absl::Seconds(3)));
    // The service's own latest start is long past, that of each batch job is still to come.
    world.run(absl::Seconds(5));
    lastSeen = world.now();
    absl::Duration maxAbsence;
    for (int i = 0; i < 150; ++i) {
        world.submitOnce(i % 3, makeJob(absl::StrCat("batch", i), 8, 2000, absl::Seconds(1)));
        maxAbsence = std::max(maxAbsence, absenceOf("service", absl::Milliseconds(100)));
    }
    CHECK(maxAbsence < restartBound);
}

TEST(Cell, aServiceMovesBeforeItsDrainingWorkerLeaves)
{
    constexpr absl::Duration moveBound = absl::Seconds(2);
    Submission service = makeJob("service", 1, 1000, absl::Seconds(90));
    service.steps[0].isService = true;
    world.submit(0, service);
    CHECK(world.runUntil([&] { return world.startsOf("service") == 1; }, absl::Seconds(3)));
    const auto found = std::find_if(
        world.workers().begin(), world.workers().end(), [](const WorldWorker& worker) { return !worker.runs.empty(); });
    const auto index = static_cast<size_t>(found - world.workers().begin());
    world.drainWorker(index);
    absl::Duration absence = absenceOf("service", absl::Seconds(3));
    world.crashWorker(index, absl::Minutes(1));
    absence = std::max(absence, absenceOf("service", absl::Seconds(12)));
    CHECK(absence < moveBound);
    LONGS_EQUAL(2, world.startsOf("service"));
}

TEST(Cell, adviceIsFollowedAndTicketsAreCarried)
{
    world.policy().advice = { true, absl::Milliseconds(10), absl::Milliseconds(0.1), absl::Seconds(2) };
    for (int i = 0; i < 10; ++i)
        world.submit(i % 3, makeJob(absl::StrCat("a", i), 4));
    world.run(absl::Seconds(1));
    CHECK(world.runUntil([&] { return world.allEnded(0); }, absl::Seconds(30)));
    LONGS_EQUAL(40, world.startOrder().size());
}

TEST(Cell, adviceIsRequestedForWorkersBelowTheLimitOfTheStep)
{
    CellWorld wide { 3, 24, 1 };
    wide.policy().advice = { true, absl::Milliseconds(10), absl::Milliseconds(0.1), absl::Seconds(2) };
    for (size_t i = 0; i < wide.workers().size(); ++i)
        wide.workers()[i].capacity.cpuMillis = i < 12 ? 8000 : 1500;
    CHECK(wide.runUntil([&] { return wide.owner().has_value(); }, absl::Seconds(5)));
    // The small workers are in use until all advice about them has expired.
    for (int rack = 3; rack < 6; ++rack) {
        Submission filler = makeJob(absl::StrCat("filler", rack), 4, 1500, absl::Seconds(6));
        filler.steps[0].requiredLabel = absl::StrCat("rack", rack);
        wide.submit(0, filler);
    }
    wide.run(absl::Seconds(1));
    // The policy service allows 16 workers for each step, so every one of them is needed.
    Submission spread = makeJob("spread", 16, 1000, absl::Seconds(90));
    spread.steps[0].maxPerWorker = 1;
    wide.submit(0, spread);
    CHECK(wide.runUntil([&] { return wide.startsOf("spread") == 16; }, absl::Seconds(45)));
    LONGS_EQUAL(1, wide.maxOnOneWorker("spread"));
    STRCMP_EQUAL("", wide.report().c_str());
}

TEST(Cell, aDrainingWorkerGetsNothingNew)
{
    for (size_t i = 1; i < world.workers().size(); ++i)
        world.workers()[i].isDraining = true;
    world.kill(*world.owner());
    world.submit(world.owner().value_or(world.entryCount() - 1), makeJob("a", 8));
    CHECK(world.runUntil([&] { return world.startsOf("a") == 8; }, absl::Seconds(20)));
    for (size_t i = 1; i < world.workers().size(); ++i)
        CHECK(world.workers()[i].highestOver.empty() && world.workers()[i].runs.empty());
}

TEST(Cell, manyStepsThatCanNotStartKeepNoOthersFromIdleWorkers)
{
    constexpr absl::Duration idleBound = absl::Seconds(3);
    constexpr int stepsInFront = 600;
    constexpr absl::Duration allLateAfter = absl::Seconds(10);
    for (const bool areWide : { false, true }) {
        CellWorld busy { 3, 8, 1 };
        CHECK(busy.runUntil([&] { return busy.owner().has_value(); }, absl::Seconds(5)));
        for (size_t i = 0; i < busy.workers().size(); ++i)
            busy.crashWorker(i, allLateAfter);
        for (int i = 0; i < stepsInFront; ++i) {
            Submission front = makeJob(absl::StrCat("front", i), areWide ? 40 : 1);
            front.steps[0].isGang = areWide;
            front.steps[0].requiredLabel = areWide ? "" : "missing";
            busy.submit(static_cast<size_t>(i) % 3, front);
        }
        busy.run(absl::Seconds(2));
        busy.submit(0, makeJob("behind", 2));
        busy.run(allLateAfter);
        CHECK(busy.runUntil([&] { return busy.startsOf("behind") == 2; }, idleBound));
        STRCMP_EQUAL("", busy.report().c_str());
    }
}
