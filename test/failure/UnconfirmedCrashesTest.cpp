/** \file
 * Starts of which it is not known whether they reached their worker before it crashed: they fail no sound job, and save
 * no deadly task.
 */

#include "CrashVerdict.h"
#include "DeadlyWorld.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP_BASE(UnconfirmedCrashes, DeadlyWorld) {
    /** Hands in a job of one task that takes all of a worker while another one is idle and all others are at work for
     * long; returns the worker that runs it, then the idle one. */
    std::vector<size_t> runOnOneOfTwoWorkers(const std::string& job) {
        Submission busy = makeJob("busy", static_cast<uint32_t>(world.workers().size()) - 2, 1000, absl::Seconds(60));
busy.steps[0].maxPerWorker = 1;
world.submit(other(), busy);
CHECK(world.runUntil([&] { return world.startsOf("busy") == busy.steps[0].taskCount; }, absl::Seconds(5)));
world.submit(other(), makeJob(job, 1, 4000, absl::Seconds(8)));
CHECK(world.runUntil([&] { return world.startsOf(job) == 1; }, absl::Seconds(5)));
world.run(absl::Seconds(3));
std::vector<size_t> running;
std::vector<size_t> idle;
for (size_t i = 0; i < world.workers().size(); ++i) {
    const WorldWorker& worker = world.workers()[i];
    if (worker.runs.empty())
        idle.push_back(i);
    else if (worker.runs.begin()->first.task.job == job)
        running.push_back(i);
}
LONGS_EQUAL(1, running.size());
LONGS_EQUAL(1, idle.size());
return { running.front(), idle.front() };
}
}
;

TEST(UnconfirmedCrashes, aStartThatTheNextIncarnationRefusesIsNoCrashUnderItsTask)
{
    for (size_t i : runOnOneOfTwoWorkers("job")) {
        world.workers()[i].nextId = absl::StrCat("next", i);
        world.workers()[i].listingDelay = absl::Seconds(3);
        world.workers()[i].isDark = true;
        world.crashWorker(i, absl::Seconds(2));
    }
    expectFinished("job");
    LONGS_EQUAL(1, world.crashesUnder({ "job", 0, 0, 0 }));
}

TEST(UnconfirmedCrashes, aStartWithoutAReplyToAWorkerThatIsDownIsNoCrashUnderItsTask)
{
    // The idle worker is down when the start is sent, and back under its id before the platform's list drops it.
    const std::vector<size_t> two = runOnOneOfTwoWorkers("job");
    world.workers()[two.back()].isDark = true;
    world.crashWorker(two.back(), absl::Seconds(4));
    world.crashWorker(two.front(), absl::Milliseconds(500));
    expectFinished("job");
    LONGS_EQUAL(1, world.crashesUnder({ "job", 0, 0, 0 }));
}

TEST(UnconfirmedCrashes, anIntentWhoseOrderNeverArrivedIsNoCrashUnderItsTask)
{
    const std::vector<size_t> two = runOnOneOfTwoWorkers("job");
    world.crashWorker(two.front(), absl::Milliseconds(100));
    CHECK(world.runUntil([&] { return world.counter("cicada_worker_crashes") == 1; }, absl::Seconds(10)));
    // No order of the owner arrives any more; it ends, and so does the worker that it has chosen.
    const size_t former = owner();
    for (WorldWorker& worker : world.workers())
        worker.cutFrom.insert(absl::StrCat("e", former));
    world.run(absl::Milliseconds(100));
    world.kill(former);
    for (const size_t i : two)
        world.crashWorker(i, absl::Milliseconds(100));
    expectFinished("job");
    LONGS_EQUAL(1, world.crashesUnder({ "job", 0, 0, 0 }));
}

TEST(UnconfirmedCrashes, aStartThatItsWorkerOutlivedWithoutTheRunIsNoCrashUnderItsTask)
{
    Submission busy = makeJob("busy", static_cast<uint32_t>(world.workers().size()) - 1, 4000, absl::Seconds(100));
    world.submit(other(), busy);
    CHECK(world.runUntil([&] { return world.startsOf("busy") == busy.steps[0].taskCount; }, absl::Seconds(5)));
    size_t idle = 0;
    while (!world.workers()[idle].runs.empty())
        ++idle;
    // The worker answers no orders, only lists, which show no run until it goes down.
    world.submit(other(), makeJob("job", 1, 4000, absl::Seconds(8)));
    for (uint64_t order = 1; order <= 4; ++order) {
        const uint64_t ordered = world.counter("cicada_runs_ordered");
        world.workers()[idle].lateShare = 1;
        CHECK(world.runUntil([&] { return world.counter("cicada_runs_ordered") > ordered; }, absl::Seconds(20)));
        world.run(absl::Milliseconds(2000));
        world.crashWorker(idle, absl::Seconds(2));
        world.workers()[idle].lateShare = 0;
        world.run(absl::Milliseconds(2100));
    }
    expectFinished("job");
}

TEST(UnconfirmedCrashes, startsThatWereLostDoNotCountOnceARunOfTheTaskHasWorked)
{
    // Two workers go down before they reply to its start, the third one while it is at work.
    world.setCrashesBeforeReply();
    world.setDeadly([this](const TaskName&) { return world.startsOf("job") <= 2; });
    world.submit(other(), makeJob("job", 1, 4000, absl::Seconds(8)));
    CHECK(world.runUntil([&] { return world.startsOf("job") == 3; }, absl::Seconds(30)));
    world.run(absl::Seconds(4));
    for (size_t i = 0; i < world.workers().size(); ++i) {
        if (!world.workers()[i].runs.empty())
            world.crashWorker(i, absl::Seconds(2));
    }
    expectFinished("job");
    CHECK(world.counter("cicada_possible_crashes_refuted") > 0);
}

TEST(UnconfirmedCrashes, startsThatWereLostDoNotCountBesideACrashAfterMuchWork)
{
    // Two workers go down before they reply to its start, the third one before it lists the run a second time.
    world.setCrashesBeforeReply();
    world.setDeadly([this](const TaskName&) { return world.startsOf("job") <= 2; });
    world.submit(other(), makeJob("job", 1, 4000, absl::Seconds(8)));
    CHECK(world.runUntil([&] { return world.startsOf("job") == 3; }, absl::Seconds(30)));
    world.run(absl::Milliseconds(1300));
    for (size_t i = 0; i < world.workers().size(); ++i) {
        if (!world.workers()[i].runs.empty())
            world.crashWorker(i, absl::Seconds(2));
    }
    expectFinished("job");
}

TEST(UnconfirmedCrashes, startsThatWereLostDecideOnlyBesideCrashesThatNothingElseExplains)
{
    const WorkerCrash crash { false, false };
    CHECK(crashVerdict({ 1, 0, 2 }, crash, false, {}) == CrashVerdict::Suspect);
    CHECK(crashVerdict({ 1, 1, 2 }, crash, false, {}) == CrashVerdict::GiveUp);
    CHECK(crashVerdict({ 0, 0, 3 }, crash, false, {}) == CrashVerdict::GiveUp);
}

TEST(UnconfirmedCrashes, aTaskThatCrashesWorkersBeforeTheyReplyIsGivenUpByTheThirdCrash)
{
    makeDeadly("deadly");
    world.setCrashesBeforeReply();
    world.submit(other(), makeJob("deadly", 1));
    expectFailed("deadly", absl::Seconds(60));
    CHECK(world.crashesUnder(deadly) <= 3);
}
