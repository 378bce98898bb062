/** \file
 * What a cell does when the capacity of workers shrinks and grows while they run.
 */

#include "CellFailureWorld.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP_BASE(CapacityChanges, CellFailureWorld) { void setAll(const Resources& capacity) {
    for (size_t i = 0; i < world.workers().size(); ++i) world.setCapacity(i, capacity);
}
}
;

TEST(CapacityChanges, aStartWhoseIntentWasStoredSlowlyDoesNotOverfillAWorkerThatHasShrunk)
{
    setAll({ 500, 16000, 0 });
    world.submit(owner(), makeJob("job", 48));
    CHECK(world.runUntil([&] { return world.isAccepted("job"); }, absl::Seconds(3)));
    world.setStore(owner(), StoreMood::WritesLate);
    setAll({ 4000, 16000, 0 });
    world.run(absl::Milliseconds(100));
    setAll({ 1000, 16000, 0 });
    world.run(absl::Milliseconds(5800));
    world.setStore(owner(), StoreMood::Well);
    CHECK(world.runUntil([&] { return world.ask(owner(), "job") == JobPhase::Finished; }, absl::Seconds(60)));
}

TEST(CapacityChanges, aWorkerThatShrankIsNotOverfilledByASuccessorOfItsOwner)
{
    world.submit(other(), makeJob("running", 48, 1000, absl::Seconds(8)));
    CHECK(world.runUntil([&] { return world.startsOf("running") == 48; }, absl::Seconds(5)));
    setAll({ 2000, 16000, 0 });
    world.kill(owner());
    world.run(absl::Seconds(1));
    submitSome(20, owner());
    expectAllEnd();
}

TEST(CapacityChanges, gangsAndWideStepsDoNotOverfillWorkersThatShrink)
{
    for (int i = 0; i < 6; ++i, ++jobs) {
        Submission gang = makeJob(absl::StrCat("job", jobs), 16, 1000, absl::Seconds(2));
        gang.steps[0].isGang = i % 2 == 0;
        world.submit(other(), gang);
    }
    for (int round = 0; round < 6; ++round) {
        world.run(absl::Milliseconds(700));
        setAll({ round % 2 == 0 ? 2000 : 4000, 16000, 0 });
    }
    expectAllEnd();
}

TEST(CapacityChanges, waitingWorkStartsAsSoonAsAWorkerHasGrown)
{
    setAll({ 500, 16000, 0 });
    world.run(absl::Seconds(1));
    world.submit(other(), makeJob("job", 1));
    world.run(absl::Seconds(3));
    LONGS_EQUAL(0, world.startsOf("job"));
    world.setCapacity(3, { 4000, 16000, 0 });
    world.run(absl::Milliseconds(100));
    LONGS_EQUAL(1, world.startsOf("job"));
}

TEST(CapacityChanges, workersThatShrinkDuringABurstAreNotOverfilledAndAllWorkEnds)
{
    const auto setQuarter = [this](int64_t cpuMillis) {
        for (size_t i = 0; i < world.workers().size(); i += 4)
            world.setCapacity(i, { cpuMillis, 16000, 0 });
    };
    for (int i = 0; i < 12; ++i, ++jobs)
        world.submit(other(), makeJob(absl::StrCat("job", jobs), 4, 1000, absl::Seconds(3)));
    world.run(absl::Seconds(1));
    setQuarter(2200);
    world.run(absl::Milliseconds(500));
    // What is being stopped still counts.
    world.cancel(other(), "job0");
    world.cancel(other(), "job5");
    for (int i = 0; i < 12; ++i) {
        submitSome(3, other());
        world.run(absl::Milliseconds(300));
    }
    setQuarter(4000);
    expectAllEnd();
}
