/** \file
 * What is placed on a worker that has restarted under its id before the platform's list shows that.
 */

#include "CellFailureWorld.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP_BASE(RestartedWorkers, CellFailureWorld)
{
    /** How long the platform's list takes to show a restart, and how long a worker is away. */
    static constexpr absl::Duration listingDelay = absl::Milliseconds(800);
    static constexpr absl::Duration away = absl::Milliseconds(600);

    /** One worker alone has the label that two tasks require, each of which takes all of it; one of them waits. */
    WorldWorker& occupyTheOnlyOfItsKind()
    {
        // What a former life was asked ends at once, so that the next one is heard before it is listed.
        world.setResetsOnCrash();
        for (WorldWorker& worker : world.workers())
            worker.kind = "other";
        WorldWorker& only = world.workers()[0];
        only.kind = "special";
        only.listingDelay = listingDelay;
        for (size_t i = 0; i < world.workers().size(); ++i)
            world.setCapacity(i, { 4000, 16384, 0 });
        world.run(absl::Seconds(1));
        for (const char* id : { "first", "second" }) {
            Submission job = makeJob(id, 1, 4000, absl::Seconds(5));
            job.steps[0].requiredLabel = "special";
            world.submit(owner(), job);
            world.run(absl::Milliseconds(200));
        }
        CHECK(world.runUntil([&] { return world.startsOf("first") == 1; }, absl::Seconds(2)));
        LONGS_EQUAL(0, world.startsOf("second"));
        return only;
    }
    size_t starts() { return world.startsOf("first") + world.startsOf("second"); }
    /** Both finish on the worker, of which the list shows the current life. */
    void expectBothFinish()
    {
        for (const char* id : { "first", "second" })
            CHECK(world.runUntil([&] { return world.ask(owner(), id) == JobPhase::Finished; }, absl::Seconds(30)));
    }
};

TEST(RestartedWorkers, aWorkerThatIsOfAnotherKindNowGetsNoTaskForItsFormerLabel)
{
    WorldWorker& only = occupyTheOnlyOfItsKind();
    only.nextKind = "other";
    world.crashWorker(0, away);
    world.run(absl::Seconds(20));
    LONGS_EQUAL(1, starts());
    only.nextKind = "special";
    world.crashWorker(0, away);
    expectBothFinish();
}

TEST(RestartedWorkers, aWorkerOfTheSameKindIsUsedAgainOnceItIsListed)
{
    occupyTheOnlyOfItsKind();
    world.crashWorker(0, away);
    world.run(away + listingDelay - absl::Milliseconds(10));
    LONGS_EQUAL(1, starts());
    CHECK(world.runUntil([&] { return starts() == 2; }, absl::Milliseconds(300)));
    expectBothFinish();
}

TEST(RestartedWorkers, aWorkerWhoseTimeOfDayWasSetBackIsUsedOnceItIsListed)
{
    WorldWorker& only = occupyTheOnlyOfItsKind();
    only.startedStepMillis = -5000;
    only.nextKind = "other";
    world.crashWorker(0, away);
    world.run(absl::Seconds(20));
    LONGS_EQUAL(1, starts());
    only.nextKind = "special";
    world.crashWorker(0, away);
    expectBothFinish();
}

TEST(RestartedWorkers, anEntryWithoutAStartTimeIsBelievedOnceItIsListedAnew)
{
    WorldWorker& only = occupyTheOnlyOfItsKind();
    only.hidesStart = true;
    world.setCapacity(0, only.capacity);
    only.nextKind = "other";
    world.crashWorker(0, away);
    world.run(absl::Seconds(20));
    LONGS_EQUAL(1, starts());
    only.nextKind = "special";
    world.crashWorker(0, away);
    expectBothFinish();
}

TEST(RestartedWorkers, aNewOwnerWaitsForTheEntryOfTheLifeThatReplied)
{
    size_t restartsBeforeTheTakeover = 0;
    for (int64_t offset = 0; offset <= 800; offset += 50) {
        CellWorld deployment { 3, 4, 7 };
        for (WorldWorker& worker : deployment.workers())
            worker.kind = "other";
        WorldWorker& only = deployment.workers()[0];
        only.kind = "special";
        only.listingDelay = absl::Seconds(8);
        for (size_t i = 0; i < deployment.workers().size(); ++i)
            deployment.setCapacity(i, deployment.workers()[i].capacity);
        CHECK(deployment.runUntil([&] { return deployment.owner().has_value(); }, absl::Seconds(5)));
        deployment.run(absl::Seconds(1));
        only.nextKind = "other";
        deployment.kill(deployment.owner().value());
        deployment.run(absl::Milliseconds(offset));
        // Otherwise the new owner may have heard the former life.
        if (deployment.owner())
            break;
        ++restartsBeforeTheTakeover;
        deployment.crashWorker(0, absl::Milliseconds(20));
        CHECK(deployment.runUntil([&] { return deployment.owner().has_value(); }, absl::Seconds(5)));
        deployment.run(absl::Seconds(2));
        Submission job = makeJob("job", 1, 1000, absl::Seconds(1));
        job.steps[0].requiredLabel = "special";
        deployment.submit(deployment.owner().value(), job);
        deployment.run(absl::Seconds(3));
        STRCMP_EQUAL("", deployment.report().c_str());
    }
    CHECK(restartsBeforeTheTakeover >= 4);
}

TEST(RestartedWorkers, aWorkerWithLessRoomNowGetsNoMoreThanItHas)
{
    WorldWorker& only = occupyTheOnlyOfItsKind();
    world.crashWorker(0, away);
    // The new life begins with half of what the former one said.
    only.capacity = { 2000, 16384, 0 };
    only.formerCapacity.reset();
    world.run(absl::Seconds(8));
    LONGS_EQUAL(1, starts());
    world.setCapacity(0, { 4000, 16384, 0 });
    expectBothFinish();
}
