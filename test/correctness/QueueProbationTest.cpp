/** \file
 * Which queues are on probation, and which of their jobs are confined or begin with one task.
 */

#include "QueueProbation.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

TEST_GROUP(QueueProbation)
{
    QueueProbation probation;
    const std::string queue = "queue";

    /** Crashes of workers on which only a job of the queue had just begun, at this interval; the last one now. */
    void suspect(size_t count, absl::Duration interval, Instant now)
    {
        for (size_t i = count; i-- > 0;) {
            const Instant at = now - interval * static_cast<double>(i);
            probation.recordSuspectedCrash(queue, at, at, now);
        }
        probation.update(now);
    }
};

TEST(QueueProbation, crashesAtOneTimeDoNotPutAQueueOnProbation)
{
    suspect(QueueProbation::suspectedToBegin * 4, absl::ZeroDuration(), absl::Seconds(100));
    CHECK(!probation.includes(queue));
    suspect(QueueProbation::suspectedToBegin, absl::Seconds(1), absl::Seconds(110));
    CHECK(probation.includes(queue));
}

TEST(QueueProbation, isolatedCrashesPutAQueueOnProbationOnlyIfItsOtherTasksCrashWorkersToo)
{
    const Instant now = absl::Seconds(100);
    for (size_t i = 0; i < QueueProbation::crashesToBegin; ++i)
        probation.recordIsolatedCrash(queue, now, now);
    probation.update(now);
    CHECK(!probation.includes(queue));
    probation.recordSharedCrash(queue, false, now);
    probation.update(now);
    CHECK(probation.includes(queue));
    probation.update(now + QueueProbation::length + absl::Milliseconds(1));
    CHECK(!probation.includes(queue));
}

TEST(QueueProbation, noJobIsConfinedForLongAndNoneThatCameAfterTheDeadlyOnes)
{
    const Instant now = absl::Seconds(100);
    suspect(QueueProbation::suspectedToBegin, absl::Seconds(1), now);
    CHECK(probation.confines(queue, now, now));
    CHECK(!probation.confines("other", now, now));
    const Instant later = now + QueueProbation::maxConfined + absl::Milliseconds(1);
    CHECK(!probation.confines(queue, now, later));
    const Instant after = now + QueueProbation::confinedPeriod + absl::Milliseconds(1);
    CHECK(!probation.confines(queue, after, after));
}

TEST(QueueProbation, jobsBeginWithOneTaskAfterOneWasGivenUp)
{
    const Instant now = absl::Seconds(100);
    CHECK(!probation.needsTrial(queue, now));
    probation.recordGivenUp(queue, now);
    CHECK(probation.needsTrial(queue, now + QueueProbation::trialPeriod));
    CHECK(!probation.needsTrial(queue, now + QueueProbation::trialPeriod + absl::Milliseconds(1)));
    CHECK(!probation.needsTrial("other", now));
}
