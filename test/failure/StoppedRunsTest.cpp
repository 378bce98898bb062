/** \file
 * Runs that are at work are not stopped, whatever their estimates say and whatever their owner missed.
 */

#include "CellFailureWorld.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP_BASE(StoppedRuns, CellFailureWorld) { void submitLong(absl::Duration work, bool listsProgress) {
    world.setWork([work](const Submission&, const TaskName&, size_t) { return work; });
world.setListsProgress(listsProgress);
submitSome(12, other());
}
}
;

TEST(StoppedRuns, aPauseOfTheOwnerStopsNoRunThatMadeProgressMeanwhile)
{
    submitLong(absl::Seconds(12), true);
    world.run(absl::Seconds(3));
    for (int i = 0; i < 2; ++i) {
        world.freeze(owner(), absl::Seconds(3));
        world.run(absl::Seconds(4.5));
    }
    expectAllEnd();
    DOUBLES_EQUAL(0, world.wastedCoreSeconds(), 0.1);
}

TEST(StoppedRuns, aTaskWithoutVisibleProgressEndsThoughItsEstimateIsTooSmall)
{
    submitLong(absl::Seconds(7), false);
    expectAllEnd(absl::Seconds(60));
}

TEST(StoppedRuns, tenTimesTheEstimateIsNoReasonToStopARunThatMakesProgress)
{
    submitLong(absl::Seconds(6), true);
    expectAllEnd();
    DOUBLES_EQUAL(0, world.wastedCoreSeconds(), 0.1);
}

TEST(StoppedRuns, aRunWhoseStartWasAnsweredLateIsNotStoppedForAListThatWasRequestedBefore)
{
    world.setListsProgress(true);
    world.setWork([](const Submission&, const TaskName&, size_t) { return absl::Seconds(5); });
    for (int second = 0; second < 12; ++second) {
        if (second == 6)
            world.congest(owner(), absl::Milliseconds(300));
        submitSome(6, other());
        world.run(absl::Seconds(1));
    }
    expectAllEnd(absl::Seconds(120));
    DOUBLES_EQUAL(0, world.wastedCoreSeconds(), 0.1);
}
