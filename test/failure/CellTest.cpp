/** \file
 * What a cell keeps when entries and the store fail.
 */

#include "AsioPeerLinks.h"
#include "CellFailureWorld.h"

using namespace cicada;
using namespace cicada::test;

namespace {

/** The bounds are the users': a new owner starts work within 2.5 s of the old one's death, and within 4 s of a restart
 * of all. */
constexpr absl::Duration takeoverBound = absl::Milliseconds(2500);
constexpr absl::Duration restartBound = absl::Seconds(4);

} // namespace

TEST_GROUP_BASE(CellFailures, CellFailureWorld) { /** Whether the store has the record of a run of the job. */
    bool isIntendedFor(const std::string& job) {
        return world.store().find(absl::StrCat("cicada/run/0/", job)) != nullptr;
}
}
;

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

TEST(CellFailures, aLinkThatIsBackWithinTheTimeoutLeavesTheCellWithItsOwner)
{
    const size_t first = owner();
    world.cutPeers(first, true);
    world.run(AsioPeerLinks::linkTimeout + absl::Milliseconds(10));
    world.cutPeers(first, false);
    world.run(absl::Seconds(2));
    CHECK(world.owner() == std::optional<size_t>(first));
}

TEST(CellFailures, anEntryThatResignsItsCellsDoesNotClaimThemAgain)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CellWorld wide { 4, 12, seed };
        for (size_t i = 1; i < wide.entryCount(); ++i) {
            wide.kill(i);
            wide.setFar(i);
            wide.start(i);
        }
        wide.run(absl::Seconds(3));
        wide.kill(0);
        CHECK(wide.runUntil([&] { return wide.owner().has_value(); }, takeoverBound));
        const size_t far = *wide.owner();
        wide.start(0);
        CHECK(wide.runUntil([&] { return wide.owner() != std::optional<size_t>(far); }, absl::Seconds(10)));
        CHECK(wide.runUntil([&] { return wide.owner().has_value(); }, takeoverBound));
        CHECK_EQUAL(0, *wide.owner());
        STRCMP_EQUAL("", wide.report().c_str());
    }
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
