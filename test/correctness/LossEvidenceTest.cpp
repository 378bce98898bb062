/** \file
 * What is told of a run from the end of its worker's incarnation.
 */

#include "LossEvidence.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

TEST_GROUP(LossEvidence)
{
    ManualClock clock;
    CellWorker worker;
    RunAllocation allocation;
    CellTask task;
    RunOnWorker run { worker, allocation, 1, &task };

    void setup() override
    {
        clock.advance(absl::Seconds(100));
        task.startedAt = absl::Seconds(90);
        task.workerStarted = 7;
        worker.startedUnixMillis = 8;
        worker.lastReplyAt = absl::Seconds(90);
        allocation.wasSent = true;
    }
    int64_t knownAtWork() const { return evidenceOf(EvidenceKind::Undecided, run, {}, clock, 5).knownAtWorkMillis; }
};

TEST(LossEvidence, aStartWithoutAReplyIsNotKnownToHaveBegun)
{
    LONGS_EQUAL(-1, knownAtWork());
    allocation.wasConfirmed = true;
    LONGS_EQUAL(0, knownAtWork());
    worker.lastReplyAt = absl::Milliseconds(90300);
    LONGS_EQUAL(300, knownAtWork());
}

TEST(LossEvidence, anInheritedRunOfTheCurrentIncarnationIsNotLostWithTheFormerOne)
{
    IncarnationLoss loss;
    loss.source = restartedBeforeHeard;
    allocation.isInherited = true;
    CHECK(!wasOrderedAfter(run, loss));
    task.workerStarted = 8;
    CHECK(wasOrderedAfter(run, loss));
}

TEST(LossEvidence, aRunThatWasOrderedAfterTheNextIncarnationBeganIsNotLostWithTheFormerOne)
{
    IncarnationLoss loss;
    CHECK(!wasOrderedAfter(run, loss));
    loss.nextStartAt = task.startedAt - maxClockDifference;
    CHECK(!wasOrderedAfter(run, loss));
    loss.nextStartAt = task.startedAt - absl::Seconds(3);
    CHECK(wasOrderedAfter(run, loss));
}
