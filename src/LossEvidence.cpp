#include "LossEvidence.h"

#include <algorithm>

namespace cicada {

namespace {

    /** A worker that lists its runs so long after a start was ordered would list this one, or has not received it. */
    constexpr absl::Duration maxStartTransit = absl::Milliseconds(500);

    int64_t unixMillisOf(Instant time, const Clock& clock)
    {
        if (time == absl::ZeroDuration())
            return 0;
        return clock.wallMicros() / 1000 - absl::ToInt64Milliseconds(clock.now() - time);
    }

} // namespace

IncarnationLoss lossOf(
    const CellWorker& worker, absl::string_view source, const NextIncarnation& next, const Clock& clock)
{
    const Instant now = clock.now();
    IncarnationLoss loss { source, true, next.startedUnixMillis, std::nullopt, now };
    const int64_t formerStart = std::max(worker.startedUnixMillis, worker.listed.startedUnixMillis);
    if (next.startedUnixMillis == 0 || (source != restartedBeforeHeard && next.startedUnixMillis <= formerStart))
        return loss;
    const Instant startedAt = now - absl::Milliseconds(clock.wallMicros() / 1000 - next.startedUnixMillis);
    // With a start before the worker's last reply, or still to come, the times of day differ too much.
    if (startedAt <= now + maxClockDifference && startedAt + maxClockDifference >= worker.lastReplyAt)
        loss.nextStartAt
            = next.clockMillis ? std::max(startedAt, now - absl::Milliseconds(*next.clockMillis)) : startedAt;
    return loss;
}

LostRun lostRunOf(const RunOnWorker& lost)
{
    const RunAllocation& allocation = lost.allocation;
    LostRun known;
    known.wasConfirmed = allocation.wasConfirmed || allocation.wasListed;
    known.mayHaveArrived = allocation.wasSent || allocation.isInherited;
    known.hasOutlivedStart
        = !allocation.isInherited && lost.task && lost.worker.listedAt - lost.task->startedAt > maxStartTransit;
    return known;
}

bool wasOrderedAfter(const RunOnWorker& lost, const IncarnationLoss& loss)
{
    if (!lost.task)
        return false;
    if (lost.allocation.isInherited)
        return loss.source == restartedBeforeHeard && lost.task->workerStarted != 0
            && lost.task->workerStarted == lost.worker.startedUnixMillis;
    return loss.nextStartAt && *loss.nextStartAt + maxClockDifference < lost.task->startedAt;
}

RunEvidence evidenceOf(
    EvidenceKind kind, const RunOnWorker& lost, const IncarnationLoss& loss, const Clock& clock, uint64_t token)
{
    const auto& [worker, allocation, run, task] = lost;
    RunEvidence evidence;
    evidence.run = run;
    evidence.kind = kind;
    evidence.worker = worker.listed.incarnation.id;
    evidence.source = std::string(loss.source);
    evidence.orderedUnixMillis = task ? task->orderedUnixMillis : 0;
    evidence.leaseUntilUnixMillis = unixMillisOf(worker.leaseUntil(allocation), clock);
    evidence.nextStartUnixMillis = loss.nextStartUnixMillis;
    evidence.foundUnixMillis = unixMillisOf(loss.foundAt, clock);
    const bool isOrderedByThisOwner = task && !allocation.isInherited;
    if (isOrderedByThisOwner && (allocation.wasConfirmed || allocation.wasListed))
        evidence.knownAtWorkMillis
            = absl::ToInt64Milliseconds(std::max(absl::ZeroDuration(), worker.lastReplyAt - task->startedAt));
    if (isOrderedByThisOwner && worker.closedAt >= task->startedAt && worker.closedAt < absl::InfiniteDuration())
        evidence.closedAfterMillis = absl::ToInt64Milliseconds(worker.closedAt - task->startedAt);
    evidence.token = token;
    return evidence;
}

} // namespace cicada
