/** \file
 * The part of Cell that grants leases to workers and decides what became of the runs of a worker that does not reply,
 * has restarted or is gone.
 */

#include "Cell.h"

#include "LossEvidence.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration syncRetryDelay = absl::Milliseconds(250);
    /** When another incarnation answers at the listed address, the listing is out of date and goes within seconds. */
    constexpr absl::Duration staleAddressDelay = absl::Seconds(2);
    /** Sync intervals of a worker that is not listed any more, while it may tell what became of its runs: until the
     * time is over in which workers are usually back, and then. */
    constexpr absl::Duration followInterval = absl::Milliseconds(500);
    constexpr absl::Duration lateFollowInterval = absl::Seconds(4);
    constexpr absl::Duration usualAbsence = absl::Seconds(12);
    constexpr absl::Duration maxLeaseDuration = absl::Seconds(6);
    /** How far the estimate of a worker's clock, from which the ends of its leases are calculated, may lag. */
    constexpr absl::Duration clockEstimateMargin = absl::Milliseconds(500);
    constexpr absl::Duration leaseMargin = absl::Milliseconds(1500);

    /** The stable name, for logs and metrics. */
    absl::string_view incarnationEndName(IncarnationEnd end)
    {
        switch (end) {
        case IncarnationEnd::RestartListed:
            return "listed-with-a-new-start";
        case IncarnationEnd::RestartReplied:
            return "answers-with-a-new-start";
        case IncarnationEnd::OtherAnswered:
            return "other-incarnation-answers";
        }
        return "";
    }

} // namespace

absl::Duration Cell::leaseDuration() const { return std::min(m_parts.bounds.maxLease, maxLeaseDuration); }

void Cell::recordClock(CellWorker& worker, std::optional<int64_t> workerMillis)
{
    if (!workerMillis)
        return;
    // A former owner may have granted a lease just before this owner's first order fenced it; and an order that was
    // meant for an earlier incarnation may have granted as much as the worker allows, as its end is a time on another
    // clock.
    if (!worker.clock.isKnown())
        worker.clock.recordLease(*workerMillis + absl::ToInt64Milliseconds(m_parts.bounds.maxLease));
    worker.clock.addReading(*workerMillis, m_parts.timers.clock().now());
}

absl::Duration Cell::startLease(Instant intendedAt) const
{
    // The store took the intent from this owner, so a successor came later, and it waits for leaseDuration() and the
    // margin before it starts the task elsewhere. After a pause of this process that may be over.
    const absl::Duration age = m_parts.timers.clock().now() - intendedAt;
    return std::min(leaseDuration(), leaseDuration() + leaseMargin - age);
}

Instant Cell::inheritedLeaseUntil(const CellTask& task) const
{
    if (task.orderedUnixMillis == 0)
        return absl::ZeroDuration();
    const Clock& clock = m_parts.timers.clock();
    const auto age = absl::Milliseconds(std::max<int64_t>(0, clock.wallMicros() / 1000 - task.orderedUnixMillis));
    return leaseLastsUntil(clock.now() - age, leaseDuration());
}

Instant Cell::leaseLastsUntil(Instant sentAt, absl::Duration lease) { return sentAt + lease - clockEstimateMargin; }

int64_t Cell::nextLeaseEnd(CellWorker& worker, absl::Duration lease)
{
    const int64_t end = worker.clock.estimate(m_parts.timers.clock().now()) + absl::ToInt64Milliseconds(lease);
    worker.clock.recordLease(end);
    return end;
}

void Cell::handleSyncFailure(CellWorker& worker, const SyncReply& reply)
{
    recordSilence(worker, reply.wasClosed);
    if (worker.failedSyncs == 1) {
        m_parts.metrics.count("cicada_workers_silent");
        m_parts.log.write("worker-silent", "worker", worker.listed.incarnation.id, "status",
            orderStatusName(reply.status), "closed", reply.wasClosed, "runs", worker.allocations.size());
    }
    checkUnresponsive(worker);
    if (!worker.isListed && worker.allocations.empty()) {
        const Instant now = m_parts.timers.clock().now();
        if (worker.isFollowed(now))
            scheduleSync(worker, now - worker.lastReplyAt < usualAbsence ? followInterval : lateFollowInterval);
        return;
    }
    scheduleSync(worker, syncRetryDelay * std::min(worker.failedSyncs, worker.isWatched() ? 2 : 8));
}

void Cell::checkUnresponsive(CellWorker& worker)
{
    const Instant now = m_parts.timers.clock().now();
    // Of an incarnation that has not replied, the clock is not known, only since when no order was sent to it.
    const absl::Duration maxUnknownLease = m_parts.bounds.maxLease / WorkerClock::minClockRate + leaseMargin;
    const Instant silentSince = std::max(m_ownedSince, worker.incarnationKnownAt);
    const bool isExpired = worker.hasReplied ? worker.clock.leasesExpired(now) : now - silentSince > maxUnknownLease;
    if (isExpired) {
        if (!worker.allocations.empty())
            concludeExpiredRuns(worker);
        return;
    }
    if (!worker.allocations.empty() && !worker.hasReplied)
        m_parts.timers.after(absl::Milliseconds(500), guarded([this, id = worker.listed.incarnation.id] {
            CellWorker* target = findWorker(id);
            if (target && !target->hasReplied)
                checkUnresponsive(*target);
        }));
}

void Cell::concludeExpiredRuns(CellWorker& worker)
{
    m_parts.log.write(
        "worker-over", "worker", worker.listed.incarnation.id, "why", leasesEnded, "runs", worker.allocations.size());
    IncarnationLoss loss;
    loss.source = leasesEnded;
    loss.foundAt = m_parts.timers.clock().now();
    recordUndecided(worker, loss);
    std::vector<TaskRun> runs;
    for (const auto& [run, allocation] : worker.allocations)
        runs.push_back(run);
    for (const TaskRun& run : runs)
        concludeRun(worker, run, leasesEnded);
}

void Cell::endIncarnation(CellWorker& worker, IncarnationEnd end, const NextIncarnation& next)
{
    const absl::string_view why = incarnationEndName(end);
    m_parts.log.write("worker-over", "worker", worker.listed.incarnation.id, "why", why, "runs",
        worker.allocations.size(), "acknowledgedThrough", worker.acknowledgedThrough);
    const IncarnationLoss loss = lossOf(worker, why, next, m_parts.timers.clock());
    recordWorkerCrash(worker, loss);
    decideUndecided(worker, loss);
    // A start can have reached the next incarnation under the same id before its begin was known here.
    const bool mayStartArrive = end != IncarnationEnd::OtherAnswered;
    std::vector<TaskRun> runs;
    for (auto& [run, allocation] : worker.allocations) {
        const bool wasOrdered = allocation.wasSent || allocation.isInherited;
        if (!mayStartArrive || !wasOrdered || allocation.wasListed) {
            runs.push_back(run);
            continue;
        }
        allocation.isStarting = false;
        // Either incarnation may have confirmed the run; the next one's list tells which.
        if (allocation.wasConfirmed || allocation.isInherited)
            continue;
        // The start is in flight and must be stopped there.
        allocation.isStopWanted = true;
        allocation.visibleFrom = absl::InfiniteDuration();
        allocation.stopSentAt = absl::ZeroDuration() - absl::Hours(1);
    }
    for (const TaskRun& run : runs)
        concludeRun(worker, run, why);
    for (const UnansweredStart& old : mayStartArrive ? worker.unansweredStarts : std::vector<UnansweredStart>()) {
        allocate(worker, old.run, old.demand, false, old.account);
        worker.allocations[old.run].isStopWanted = true;
    }
    worker.beginIncarnation(m_parts.timers.clock().now());
    if (worker.isListed)
        scheduleSync(worker, mayStartArrive ? syncRetryDelay : staleAddressDelay);
}

} // namespace cicada
