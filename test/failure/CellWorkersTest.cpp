/** \file
 * What a cell keeps when workers fail, restart under their ids or are heard late.
 */

#include "CellFailureWorld.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP_BASE(CellWorkerFailures, CellFailureWorld) {
    /** A worker restarts while it is idle, and a task of a job starts there before the list shows the restart. The last
     * worker takes tasks only after that. */
    void startOnRestartedWorker(CellWorld & idle, WorldWorker& restarted, absl::Duration listingDelay) {
        CHECK(idle.runUntil([&] { return idle.owner().has_value(); }, absl::Seconds(5)));
// An owner of long standing: when its term began says nothing of what the worker may hold.
idle.run(absl::Seconds(20));
WorldWorker& last = idle.workers().back();
last.refuses = true;
restarted.listingDelay = listingDelay;
idle.crashWorker(static_cast<size_t>(&restarted - idle.workers().data()), absl::Milliseconds(300));
idle.run(absl::Milliseconds(302));
Submission job = makeJob("job", 4, 1000, absl::Seconds(14));
job.steps[0].maxPerWorker = 1;
idle.submit(0, job);
CHECK(idle.runUntil([&] { return !restarted.runs.empty(); }, absl::Seconds(1)));
last.refuses = false;
}
WorldWorker& workerRunning(const std::string& job, uint32_t index)
{
    for (WorldWorker& worker : world.workers()) {
        for (const auto& [run, state] : worker.runs) {
            if (run.task.job == job && run.task.index == index)
                return worker;
        }
    }
    FAIL("no worker runs the task");
    return world.workers().front();
}
}
;

TEST(CellWorkerFailures, aWorkerIsRebornUnderItsId)
{
    submitSome(25, other());
    world.run(absl::Milliseconds(350));
    for (size_t i = 0; i < 6; ++i)
        world.crashWorker(i, absl::Milliseconds(100 + 300 * static_cast<int64_t>(i)));
    expectAllEnd();
}

TEST(CellWorkerFailures, aRunThatTheNextIncarnationConfirmedIsNotStartedAgain)
{
    for (const int64_t listedAfterMillis : { 100, 400, 1500, 8000 }) {
        CellWorld idle { 3, 4, 7 };
        CHECK(idle.runUntil([&] { return idle.owner().has_value(); }, absl::Seconds(5)));
        idle.run(absl::Seconds(1));
        idle.workers()[0].listingDelay = absl::Milliseconds(listedAfterMillis);
        idle.crashWorker(0, absl::Milliseconds(300));
        idle.run(absl::Milliseconds(310));
        Submission job = makeJob("job", 4, 1000, absl::Seconds(2));
        job.steps[0].maxPerWorker = 1;
        idle.submit(0, job);
        CHECK(idle.runUntil([&] { return idle.ask(0, "job") == JobPhase::Finished; }, absl::Seconds(10)));
        LONGS_EQUAL(4, idle.startsOf("job"));
        STRCMP_EQUAL("", idle.report().c_str());
    }
}

TEST(CellWorkerFailures, aRunConfirmedByANextIncarnationThatIsCutOffWaitsForTheLongestLease)
{
    // The second one is cut off once the owner has heard of the restart, the first before.
    for (const int64_t heardMillis : { 0, 25 }) {
        CellWorld idle { 3, 5, 7, absl::Seconds(10) };
        WorldWorker& restarted = idle.workers()[0];
        startOnRestartedWorker(idle, restarted, absl::Milliseconds(60));
        idle.run(absl::Milliseconds(heardMillis));
        restarted.isCut = true;
        idle.run(absl::Seconds(20));
        STRCMP_EQUAL("", idle.report().c_str());
        LONGS_EQUAL(5, idle.startsOf("job"));
    }
}

TEST(CellWorkerFailures, leasesThatAFormerOwnerGaveARestartedWorkerAreWaitedOutByItsSuccessor)
{
    CellWorld idle { 3, 5, 7, absl::Seconds(10) };
    WorldWorker& restarted = idle.workers()[0];
    startOnRestartedWorker(idle, restarted, absl::Milliseconds(400));
    restarted.isCut = true;
    idle.kill(idle.owner().value());
    idle.run(absl::Seconds(20));
    STRCMP_EQUAL("", idle.report().c_str());
    LONGS_EQUAL(5, idle.startsOf("job"));
}

TEST(CellWorkerFailures, restartsUnderTheSameIdBesideOrdersAndATakeoverStartNothingTwice)
{
    for (int64_t offset = 0; offset <= 600; offset += 60) {
        CellWorld idle { 3, 5, 7 };
        idle.workers()[1].listingDelay = absl::Milliseconds(1500);
        startOnRestartedWorker(idle, idle.workers()[0], absl::Milliseconds(400));
        idle.run(absl::Milliseconds(offset));
        idle.crashWorker(0, absl::Milliseconds(100));
        idle.crashWorker(1, absl::Milliseconds(50));
        idle.run(absl::Milliseconds(300 - offset / 2));
        idle.kill(idle.owner().value());
        idle.run(absl::Seconds(1));
        const size_t at = idle.owner().value();
        CHECK(idle.runUntil([&] { return idle.ask(at, "job") == JobPhase::Finished; }, absl::Seconds(60)));
        STRCMP_EQUAL("", idle.report().c_str());
    }
}

TEST(CellWorkerFailures, aRestartedWorkerWhoseTimeOfDayWasSetBackIsHeardAgain)
{
    submitSome(12, other());
    world.run(absl::Milliseconds(350));
    for (size_t i = 0; i < 6; ++i) {
        world.workers()[i].startedStepMillis = -500;
        world.crashWorker(i, absl::Milliseconds(200));
    }
    expectAllEnd(absl::Seconds(10));
}

TEST(CellWorkerFailures, ordersAreCarriedOutLate)
{
    for (WorldWorker& worker : world.workers())
        worker.lateShare = 0.2;
    submitSome(25, other());
    world.run(absl::Seconds(5));
    for (WorldWorker& worker : world.workers())
        worker.lateShare = 0;
    expectAllEnd();
}

TEST(CellWorkerFailures, lateOrdersMeetRebornWorkersAndANewOwner)
{
    for (WorldWorker& worker : world.workers())
        worker.lateShare = 0.3;
    submitSome(25, other());
    for (size_t i = 0; i < 6; ++i) {
        world.run(absl::Milliseconds(300));
        world.crashWorker(i, absl::Milliseconds(500));
        if (i == 3)
            world.kill(owner());
    }
    for (WorldWorker& worker : world.workers())
        worker.lateShare = 0;
    expectAllEnd();
}

TEST(CellWorkerFailures, workersAreCutOffAndRunOn)
{
    submitSome(25, other());
    world.run(absl::Milliseconds(350));
    for (size_t i = 0; i < 4; ++i)
        world.workers()[i].isCut = true;
    world.run(absl::Seconds(1));
    world.kill(owner());
    world.run(absl::Seconds(9));
    for (size_t i = 0; i < 4; ++i)
        world.workers()[i].isCut = false;
    expectAllEnd();
}

TEST(CellWorkerFailures, leasesOfTheFormerOwnerAreWaitedOutOnAWorkerThatWasHeardOnce)
{
    // A gang over two workers of one rack, the first of which runs another task as well.
    Submission gang = makeJob("gang", 2, 3000, absl::Seconds(20));
    gang.steps[0].isGang = true;
    gang.steps[0].requiredLabel = "rack0";
    world.submit(other(), gang);
    CHECK(world.runUntil([&] { return world.startsOf("gang") == 2; }, absl::Seconds(3)));
    WorldWorker& heardOnce = workerRunning("gang", 0);
    WorldWorker& restarted = workerRunning("gang", 1);
    for (WorldWorker& worker : world.workers())
        worker.refuses = &worker != &heardOnce;
    world.submit(other(), makeJob("long", 1, 1000, absl::Seconds(20)));
    CHECK(world.runUntil([&] { return world.startsOf("long") == 1; }, absl::Seconds(5)));
    for (WorldWorker& worker : world.workers()) {
        worker.refuses = false;
        worker.isDraining = worker.rack == "rack0" && &worker != &heardOnce;
    }

    // The new owner stops the rest of the broken gang before it has heard the worker, and so sends two syncs there.
    heardOnce.syncDelay = absl::Milliseconds(100);
    heardOnce.syncsUntilCut = 1;
    const uint64_t formerToken = heardOnce.token;
    world.crashWorker(static_cast<size_t>(&restarted - world.workers().data()), absl::Milliseconds(10));
    world.kill(owner());
    CHECK(world.runUntil([&] { return heardOnce.token != formerToken; }, absl::Seconds(3)));
    // A third sync waits until the end that the first reply lists is stored.
    world.setStore(owner(), StoreMood::Silent);
    world.run(absl::Milliseconds(300));
    world.setStore(owner(), StoreMood::Well);
    world.run(absl::Seconds(4));
    CHECK(heardOnce.isCut);
    CHECK_EQUAL(0, heardOnce.runs.count({ { "gang", 0, 0, 0 }, 1 }));
    // Nothing delays the work of the workers that went on answering.
    world.submit(other(), makeJob("after", 8));
    CHECK(world.runUntil([&] { return world.ask(owner(), "after") == JobPhase::Finished; }, absl::Seconds(3)));
    LONGS_EQUAL(1, world.startsOf("long"));
    CHECK(world.runUntil([&] { return world.startsOf("long") == 2; }, absl::Seconds(8)));
}

TEST(CellWorkerFailures, aRunOfAnUnknownJobKeepsItsWorkerFullUntilItEnds)
{
    // Only this worker starts anything, so the jobs below meet there.
    WorldWorker& only = world.workers()[0];
    for (WorldWorker& worker : world.workers())
        worker.refuses = &worker != &only;
    world.submit(other(), makeJob("cancelled", 1, 4000, absl::Seconds(20)));
    CHECK(world.runUntil([&] { return world.startsOf("cancelled") == 1; }, absl::Seconds(5)));
    // The stop is lost. Once the cancel is stored, the job's specification is removed.
    only.isCut = true;
    world.cancel(other(), "cancelled");
    world.run(absl::Milliseconds(2500));
    only.isCut = false;
    only.lateShare = 1;
    world.kill(owner());
    CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(2)));
    world.run(absl::Milliseconds(100));
    only.lateShare = 0;
    CHECK_EQUAL(1, only.runs.size());
    world.submit(other(), makeJob("next", 1, 1000));
    world.run(absl::Milliseconds(400));
    LONGS_EQUAL(0, world.startsOf("next"));
    CHECK(world.runUntil([&] { return world.startsOf("next") == 1; }, absl::Seconds(8)));
}

TEST(CellWorkerFailures, aGangThatLosesAMemberStartsAgainWhole)
{
    Submission gang = makeJob("gang", 12, 1000, absl::Seconds(2));
    gang.steps[0].isGang = true;
    world.submit(other(), gang);
    CHECK(world.runUntil([&] { return world.startsOf("gang") == 12; }, absl::Seconds(3)));
    world.run(absl::Milliseconds(300));
    for (size_t i = 0; i < world.workers().size(); ++i) {
        if (!world.workers()[i].runs.empty()) {
            world.crashWorker(i, absl::Seconds(1));
            break;
        }
    }
    CHECK(world.runUntil([&] { return world.ask(owner(), "gang") == JobPhase::Finished; }, absl::Seconds(20)));
}

TEST(CellWorkerFailures, theEndsOfAGangAreAcknowledgedOnceOneOfThemIsStored)
{
    Submission gang = makeJob("gang", 10, 2000, absl::Seconds(1));
    gang.steps[0].isGang = true;
    world.submit(other(), gang);
    CHECK(world.runUntil([&] { return world.startsOf("gang") == 10; }, absl::Seconds(5)));
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.setStore(i, StoreMood::Silent);
    world.run(absl::Seconds(2));
    // The members have ended and the owner knows it; nothing of that is stored when all is lost that is not.
    const size_t first = owner();
    world.kill(first);
    for (size_t i = 0; i < world.workers().size(); ++i) {
        if (!world.workers()[i].ended.empty())
            world.crashWorker(i, absl::Milliseconds(500));
        if (world.workers()[i].acknowledged > 0)
            FAIL("an end was acknowledged that is not stored");
    }
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.setStore(i, StoreMood::Well);
    CHECK(world.runUntil(
        [&] { return world.ask((first + 1) % world.entryCount(), "gang") == JobPhase::Finished; }, absl::Seconds(30)));
}

TEST(CellWorkerFailures, aFailureHeardAfterItsRunWasGivenUpCountsAsAnAttempt)
{
    for (WorldWorker& worker : world.workers())
        worker.fails = true;
    world.submit(other(), makeJob("late", 1, 1000, absl::Seconds(3)));
    CHECK(world.runUntil([&] { return world.startsOf("late") == 1; }, absl::Seconds(3)));
    WorldWorker& silent = workerRunning("late", 0);
    silent.isCut = true;
    CHECK(world.runUntil([&] { return world.startsOf("late") == 2; }, absl::Seconds(15)));
    silent.isCut = false;
    CHECK(world.runUntil([&] { return world.ask(owner(), "late") == JobPhase::Failed; }, absl::Seconds(20)));
    LONGS_EQUAL(3, world.startsOf("late"));
}

TEST(CellWorkerFailures, runsWhoseEndsAWorkerHasNoRoomToListAreNotStartedAgain)
{
    for (WorldWorker& worker : world.workers())
        worker.maxListedEnds = 1;
    world.submit(other(), makeJob("many", 40));
    CHECK(world.runUntil([&] { return world.startsOf("many") == 40; }, absl::Seconds(5)));
    const size_t at = owner();
    world.setStore(at, StoreMood::Busy);
    world.run(absl::Milliseconds(1000));
    world.setStore(at, StoreMood::Well);
    CHECK(world.runUntil([&] { return world.ask(owner(), "many") == JobPhase::Finished; }, absl::Seconds(30)));
    LONGS_EQUAL(40, world.startsOf("many"));
}

TEST(CellWorkerFailures, aRestartedWorkersEndsAreNotAcknowledgedUnread)
{
    CellWorld one { 3, 1, 7 };
    WorldWorker& worker = one.workers().front();
    worker.listingDelay = absl::Seconds(8);
    CHECK(one.runUntil([&] { return one.owner().has_value(); }, absl::Seconds(5)));
    one.submit(0, makeJob("before", 1));
    CHECK(one.runUntil([&] { return one.isAccepted("before") && one.allEnded(0); }, absl::Seconds(10)));
    worker.lateShare = 1;
    one.submit(0, makeJob("late", 1));
    one.run(absl::Milliseconds(500));
    one.crashWorker(0, absl::Seconds(1));
    worker.isCut = true;
    CHECK(one.runUntil([&] { return !worker.ended.empty(); }, absl::Seconds(5)));
    worker.isCut = false;
    worker.lateShare = 0;
    one.run(absl::Seconds(10));
    STRCMP_EQUAL("", one.report().c_str());
    LONGS_EQUAL(1, one.startsOf("late"));
}
