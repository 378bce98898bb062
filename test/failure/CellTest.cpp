/** \file
 * What a cell keeps when entries, the store and workers fail.
 */

#include "CellWorld.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

namespace {

/** The bounds are the users': a new owner starts work within 2.5 s of the old one's death, and within 4 s of a restart
 * of all. */
constexpr absl::Duration takeoverBound = absl::Milliseconds(2500);
constexpr absl::Duration restartBound = absl::Seconds(4);

} // namespace

TEST_GROUP(CellFailures)
{
    CellWorld world { 4, 12, 7 };
    int jobs = 0;

    void setup() override
    {
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
    }
    void teardown() override { STRCMP_EQUAL("", world.report().c_str()); }

    size_t owner() { return world.owner().value(); }
    size_t other() { return (owner() + 1) % world.entryCount(); }
    /** A worker restarts while it is idle, and a task of a job starts there before the list shows the restart. The last
     * worker takes tasks only after that. */
    void startOnRestartedWorker(CellWorld & idle, WorldWorker & restarted, absl::Duration listingDelay)
    {
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
    void submitSome(int count, size_t at)
    {
        for (int i = 0; i < count; ++i, ++jobs)
            world.submit(at, makeJob(absl::StrCat("job", jobs), 1 + static_cast<uint32_t>(jobs) % 4));
    }
    /** Whether the store has the record of a run of the job. */
    bool isIntendedFor(const std::string& job)
    {
        return world.store().find(absl::StrCat("cicada/run/0/", job)) != nullptr;
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
    void expectAllEnd(absl::Duration limit = absl::Seconds(40))
    {
        for (int i = 0; i < jobs; ++i) {
            const std::string id = absl::StrCat("job", i);
            CHECK(world.runUntil([&] { return world.isAccepted(id); }, limit));
        }
        size_t at = world.owner().value_or(0);
        CHECK(world.runUntil([&] { return world.allEnded(at = world.owner().value_or(at)); }, limit));
    }
};

TEST(CellFailures, theOwnerDiesAndAnotherGoesOn)
{
    const size_t first = owner();
    submitSome(10, other());
    world.run(absl::Milliseconds(700));
    world.kill(first);
    const Instant killedAt = world.now();
    submitSome(10, (first + 1) % world.entryCount());
    CHECK(world.runUntil([&] { return world.lastStartAt() > killedAt + absl::Milliseconds(20); }, takeoverBound));
    expectAllEnd();
}

TEST(CellFailures, anEntryNearTheStoreTakesOverAlsoWhenOthersNearItDieToo)
{
    CellWorld wide { 10, 12, 7 };
    const absl::btree_set<size_t> near { 2, 5, 7, 8 };
    for (size_t i = 0; i < wide.entryCount(); ++i) {
        if (near.contains(i))
            continue;
        wide.kill(i);
        wide.setFar(i);
        wide.start(i);
    }
    wide.run(absl::Seconds(5));
    for (const size_t spared : near) {
        for (const size_t i : near) {
            if (i != spared)
                wide.kill(i);
        }
        CHECK(wide.runUntil([&] { return wide.owner().has_value(); }, takeoverBound));
        CHECK_EQUAL(spared, *wide.owner());
        for (const size_t i : near) {
            if (i != spared)
                wide.start(i);
        }
        wide.run(absl::Seconds(5));
    }
    STRCMP_EQUAL("", wide.report().c_str());
}

TEST(CellFailures, cellsReturnToAnEntryNearTheStore)
{
    CellWorld wide { 4, 12, 7 };
    for (size_t i = 1; i < wide.entryCount(); ++i) {
        wide.kill(i);
        wide.setFar(i);
        wide.start(i);
    }
    wide.run(absl::Seconds(3));
    wide.kill(0);
    CHECK(wide.runUntil([&] { return wide.owner().has_value(); }, takeoverBound));
    wide.start(0);
    CHECK(wide.runUntil([&] { return wide.owner() == std::optional<size_t>(0); }, absl::Seconds(10)));
    STRCMP_EQUAL("", wide.report().c_str());
}

TEST(CellFailures, theOwnerAndItsSuccessorDie)
{
    submitSome(10, other());
    world.run(absl::Milliseconds(400));
    world.kill(owner());
    CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
    submitSome(5, owner());
    world.run(absl::Milliseconds(60));
    world.kill(owner());
    expectAllEnd();
}

TEST(CellFailures, allDieRightAfterAnAcceptance)
{
    submitSome(8, other());
    CHECK(world.runUntil([&] { return world.isAccepted("job7"); }, absl::Seconds(3)));
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.kill(i);
    world.run(absl::Milliseconds(900));
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.start(i);
    const Instant startedAt = world.now();
    submitSome(1, 0);
    CHECK(world.runUntil([&] { return world.lastStartAt() > startedAt; }, restartBound));
    expectAllEnd();
}

TEST(CellFailures, theStoreTurnsTheOwnerAway)
{
    const size_t first = owner();
    submitSome(5, other());
    world.run(absl::Milliseconds(300));
    world.setStore(first, StoreMood::Busy);
    const Instant cutAt = world.now();
    CHECK(world.runUntil([&] { return world.owner().has_value() && owner() != first; }, takeoverBound));
    submitSome(5, other());
    CHECK(world.runUntil([&] { return world.lastStartAt() > cutAt; }, takeoverBound));
    expectAllEnd();
    world.setStore(first, StoreMood::Well);
}

TEST(CellFailures, theStoreIsSilentToTheOwner)
{
    const size_t first = owner();
    world.setStore(first, StoreMood::Silent);
    submitSome(5, other());
    CHECK(world.runUntil([&] { return world.owner().has_value() && owner() != first; }, absl::Seconds(4)));
    expectAllEnd();
}

TEST(CellFailures, repliesOfTheStoreAreLost)
{
    submitSome(5, other());
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.setStore(i, StoreMood::LosesReplies);
    submitSome(10, other());
    world.run(absl::Seconds(5));
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.setStore(i, StoreMood::Well);
    expectAllEnd();
}

TEST(CellFailures, writesTakeEffectSecondsLater)
{
    submitSome(10, other());
    world.run(absl::Milliseconds(100));
    world.setStore(owner(), StoreMood::WritesLate);
    submitSome(10, other());
    world.run(absl::Milliseconds(1500));
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.setStore(i, StoreMood::Well);
    submitSome(10, other());
    expectAllEnd();
}

TEST(CellFailures, theStoreIsDownForAll)
{
    submitSome(10, other());
    world.run(absl::Milliseconds(600));
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.setStore(i, StoreMood::Silent);
    submitSome(10, other());
    world.run(absl::Seconds(6));
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.setStore(i, StoreMood::Well);
    expectAllEnd();
}

TEST(CellFailures, theStoreDropsItsHistory)
{
    world.run(absl::Milliseconds(500));
    for (int i = 0; i < 5; ++i) {
        world.store().dropHistory();
        submitSome(3, other());
        world.run(absl::Milliseconds(300));
    }
    world.kill(owner());
    world.store().dropHistory();
    expectAllEnd();
}

TEST(CellFailures, aFrozenOwnerWakesWithOldBeliefs)
{
    const size_t first = owner();
    submitSome(20, other());
    world.run(absl::Milliseconds(300));
    world.freeze(first, absl::Seconds(5));
    submitSome(10, (first + 1) % world.entryCount());
    world.run(absl::Seconds(8));
    submitSome(5, first);
    expectAllEnd();
}

TEST(CellFailures, anOwnerThatWakesLateOrdersNoStartOnAnOldIntent)
{
    const size_t first = owner();
    for (WorldWorker& worker : world.workers())
        worker.refuses = &worker != &world.workers()[0];
    world.submit(other(), makeJob("long", 1, 1000, absl::Seconds(20)));
    // The owner freezes before it learns that its intent is stored, and alone can reach the worker.
    for (int i = 0; i < 200 && !isIntendedFor("long"); ++i)
        world.run(absl::Milliseconds(1));
    CHECK(isIntendedFor("long"));
    world.freeze(first, absl::Seconds(18));
    world.cutFromOthers(0, first);
    for (WorldWorker& worker : world.workers())
        worker.refuses = false;
    world.run(absl::Seconds(16));
    LONGS_EQUAL(1, world.startsOf("long"));
    world.run(absl::Seconds(3));
    LONGS_EQUAL(1, world.startsOf("long"));
}

TEST(CellFailures, jumpsOfTheTimeOfDayMoveOnlyDueTimes)
{
    Submission timed = makeJob("timed", 1);
    timed.occurrences = 2;
    timed.startUnixMillis = absl::ToInt64Milliseconds(world.now()) + 8000;
    timed.intervalMillis = 4000;
    world.submit(other(), timed);
    for (const absl::Duration step : { absl::Seconds(3), absl::Seconds(-6), absl::Seconds(3) }) {
        submitSome(8, other());
        world.run(absl::Milliseconds(300));
        world.stepWallClock(step);
        const size_t killed = owner();
        world.kill(killed);
        world.run(absl::Milliseconds(1500));
        world.start(killed);
        LONGS_EQUAL(0, world.startsOf("timed"));
    }
    expectAllEnd();
    CHECK(world.runUntil([&] { return world.ask(owner(), "timed") == JobPhase::Finished; }, absl::Seconds(15)));
    // Ended jobs stay known for the retention, which is 120 s, whatever the time of day is.
    world.submit(other(), makeJob("kept", 1));
    CHECK(world.runUntil([&] { return world.ask(owner(), "kept") == JobPhase::Finished; }, absl::Seconds(5)));
    world.stepWallClock(absl::Seconds(16));
    world.run(absl::Seconds(119));
    CHECK(world.ask(owner(), "kept") == JobPhase::Finished);
}

TEST(CellFailures, theOwnerIsCutFromTheOthers)
{
    const size_t first = owner();
    submitSome(10, other());
    world.run(absl::Milliseconds(300));
    world.cutPeers(first, true);
    submitSome(10, (first + 1) % world.entryCount());
    CHECK(world.runUntil([&] { return world.owner().has_value() && owner() != first; }, absl::Seconds(6)));
    world.cutPeers(first, false);
    expectAllEnd();
}

TEST(CellFailures, anOwnerThatIsCutFromTheOthersDoesNotSayThatItsSuccessorsJobsDoNotExist)
{
    world.run(absl::Seconds(1));
    const size_t first = owner();
    // Neither a worker nor the store tells it that it has been superseded.
    for (size_t i = 0; i < world.workers().size(); ++i)
        world.cutFromOthers(i, other());
    world.setStore(first, StoreMood::Silent);
    world.cutPeers(first, true);
    const std::string id = absl::StrCat("job", jobs);
    submitSome(1, (first + 1) % world.entryCount());
    CHECK(world.runUntil([&] { return world.isAccepted(id); }, absl::Seconds(6)));
    world.ask(first, id);
    CHECK(world.violations().empty());
    for (WorldWorker& worker : world.workers())
        worker.cutFrom.clear();
    world.setStore(first, StoreMood::Well);
    world.cutPeers(first, false);
    expectAllEnd();
}

TEST(CellFailures, aWorkerIsRebornUnderItsId)
{
    submitSome(25, other());
    world.run(absl::Milliseconds(350));
    for (size_t i = 0; i < 6; ++i)
        world.crashWorker(i, absl::Milliseconds(100 + 300 * static_cast<int64_t>(i)));
    expectAllEnd();
}

TEST(CellFailures, aRunThatTheNextIncarnationConfirmedIsNotStartedAgain)
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

TEST(CellFailures, aRunConfirmedByANextIncarnationThatIsCutOffWaitsForTheLongestLease)
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

TEST(CellFailures, leasesThatAFormerOwnerGaveARestartedWorkerAreWaitedOutByItsSuccessor)
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

TEST(CellFailures, restartsUnderTheSameIdBesideOrdersAndATakeoverStartNothingTwice)
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

TEST(CellFailures, aRestartedWorkerWhoseTimeOfDayWasSetBackIsHeardAgain)
{
    submitSome(12, other());
    world.run(absl::Milliseconds(350));
    for (size_t i = 0; i < 6; ++i) {
        world.workers()[i].startedStepMillis = -500;
        world.crashWorker(i, absl::Milliseconds(200));
    }
    expectAllEnd(absl::Seconds(10));
}

TEST(CellFailures, ordersAreCarriedOutLate)
{
    for (WorldWorker& worker : world.workers())
        worker.lateShare = 0.2;
    submitSome(25, other());
    world.run(absl::Seconds(5));
    for (WorldWorker& worker : world.workers())
        worker.lateShare = 0;
    expectAllEnd();
}

TEST(CellFailures, lateOrdersMeetRebornWorkersAndANewOwner)
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

TEST(CellFailures, workersAreCutOffAndRunOn)
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

TEST(CellFailures, leasesOfTheFormerOwnerAreWaitedOutOnAWorkerThatWasHeardOnce)
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

TEST(CellFailures, aRunOfAnUnknownJobKeepsItsWorkerFullUntilItEnds)
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

TEST(CellFailures, aPlannedStopHandsOverAtOnceWhileWorkGoesOn)
{
    constexpr absl::Duration handoverBound = absl::Milliseconds(500);
    const size_t first = owner();
    submitSome(25, other());
    world.run(absl::Milliseconds(300));
    world.stop(first);
    CHECK(world.runUntil([&] { return world.owner().has_value() && owner() != first; }, handoverBound));
    submitSome(5, first);
    world.run(absl::Seconds(2));
    CHECK(owner() != first);
    world.kill(first);
    expectAllEnd();
}

TEST(CellFailures, theLastEntryKeepsItsCellsWhileAllOthersStop)
{
    // All are asked to stop within half a second, the owner of the moment each time; none is back for seconds.
    for (size_t i = 0; i < world.entryCount(); ++i) {
        world.stop(owner());
        world.run(absl::Milliseconds(150));
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(1)));
    }
    submitSome(10, owner());
    CHECK(world.runUntil([&] { return world.isAccepted("job9"); }, absl::Seconds(1)));
    world.kill(owner() == 0 ? 1 : 0);
    expectAllEnd();
}

TEST(CellFailures, theStoreComesBackAndWritingGoesOnAtOnce)
{
    constexpr absl::Duration resumeBound = absl::Milliseconds(700);
    submitSome(5, other());
    world.run(absl::Seconds(2));
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.setStore(i, StoreMood::Silent);
    world.run(absl::Seconds(1));
    submitSome(1, owner());
    world.run(absl::Seconds(3));
    for (size_t i = 0; i < world.entryCount(); ++i)
        world.setStore(i, StoreMood::Well);
    CHECK(world.runUntil([&] { return world.isAccepted("job5"); }, resumeBound));
    expectAllEnd();
}

TEST(CellFailures, aGangThatLosesAMemberStartsAgainWhole)
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

TEST(CellFailures, theEndsOfAGangAreAcknowledgedOnceOneOfThemIsStored)
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

TEST(CellFailures, aFailureHeardAfterItsRunWasGivenUpCountsAsAnAttempt)
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

TEST(CellFailures, aReplyToAnEntrysFormerProcessIsNotTakenForAnotherJob)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CellWorld small { 3, 4, seed };
        CHECK(small.runUntil([&] { return small.owner().has_value(); }, absl::Seconds(5)));
        const size_t at = (small.owner().value() + 1) % small.entryCount();
        small.congest(small.owner().value(), absl::Milliseconds(400));
        small.submitOnce(at, makeJob("former", 1));
        small.run(absl::Milliseconds(50));
        small.kill(at);
        small.start(at);
        small.run(absl::Milliseconds(150));
        small.submitOnce(at, makeJob("next", 1));
        CHECK(small.runUntil([&] { return !small.answersTo("next").empty(); }, absl::Seconds(4)));
        CHECK(!small.isAccepted("next") || small.store().find("cicada/job/0/next"));
    }
}

TEST(CellFailures, aFailedJobStaysFailedWhenItsRecordsExpireAfterATakeover)
{
    for (WorldWorker& worker : world.workers())
        worker.fails = true;
    world.submit(other(), makeJob("job", 1));
    CHECK(world.runUntil([&] { return world.ask(owner(), "job") == JobPhase::Failed; }, absl::Seconds(20)));
    for (const absl::Duration pause : { absl::Seconds(200), absl::Seconds(5) }) {
        world.kill(owner());
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
        world.run(pause);
    }
    LONGS_EQUAL(3, world.startsOf("job"));
    POINTERS_EQUAL(nullptr, world.store().find("cicada/job/0/job"));
    POINTERS_EQUAL(nullptr, world.store().find("cicada/run/0/job"));
}

TEST(CellFailures, runsWhoseEndsAWorkerHasNoRoomToListAreNotStartedAgain)
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

TEST(CellFailures, aRestartedWorkersEndsAreNotAcknowledgedUnread)
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

TEST(CellFailures, aCancelHoldsThroughATakeover)
{
    world.submit(other(), makeJob("long", 20, 1000, absl::Seconds(4)));
    world.run(absl::Seconds(1));
    world.cancel(other(), "long");
    world.run(absl::Milliseconds(120));
    world.kill(owner());
    CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
    world.run(absl::Seconds(3));
    CHECK(world.ask(owner(), "long") == JobPhase::Cancelled);
    for (const WorldWorker& worker : world.workers())
        CHECK(worker.runs.empty());
}
