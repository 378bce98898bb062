#include "Cell.h"
#include "CellDirectory.h"

#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** How long a worker may delay its reply to a sync until a run ends. */
    constexpr absl::Duration maxSyncWait = absl::Milliseconds(1500);
    /** The same where it is to be known soon what becomes of a run. */
    constexpr absl::Duration watchedSyncWait = absl::Milliseconds(500);
    /** Sync interval of a worker that runs nothing. */
    constexpr absl::Duration idleInterval = absl::Seconds(8);
    /** When this entry could not send a sync, as other orders to the worker wait for their replies. */
    constexpr absl::Duration congestionDelay = absl::Milliseconds(100);
    /** How long a sync is delayed so that it can acknowledge ends that are not durable yet; then the lease is renewed
     * anyway. */
    constexpr absl::Duration ackTimeout = absl::Milliseconds(400);

} // namespace

CellWorker* Cell::findWorker(const std::string& id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

void Cell::handleListed(const std::string& id, const ListedWorker* listed)
{
    if (!listed) {
        CellWorker* worker = findWorker(id);
        if (!worker || !worker->isListed)
            return;
        worker->isListed = false;
        m_parts.log.write("worker-unlisted", "worker", id, "runs", worker->allocations.size());
        return scheduleSync(*worker, absl::ZeroDuration());
    }
    if (cellOfKey(listed->rack, m_term.cells) != m_term.cell)
        return;
    CellWorker& worker = m_workers[id];
    const bool isNew = !worker.isListed;
    const Endpoint& address = listed->incarnation.address;
    const bool hasMoved = address.host != worker.listed.incarnation.address.host
        || address.port != worker.listed.incarnation.address.port;
    const bool isRestarted = worker.startedUnixMillis != 0 && listed->startedUnixMillis != 0
        && listed->startedUnixMillis > worker.startedUnixMillis;
    if (isNew || listed->isDraining != worker.listed.isDraining)
        m_parts.log.write("worker-listed", "worker", id, "service", listed->service, "rack", listed->rack, "draining",
            listed->isDraining, "started", listed->startedUnixMillis);
    if (isRestarted)
        endIncarnation(worker, IncarnationEnd::RestartListed, { listed->startedUnixMillis, std::nullopt });
    const bool beginsToDrain = listed->isDraining && !worker.listed.isDraining;
    const bool hasGrown = !isNew && !fits(listed->capacity, worker.listed.capacity);
    const bool hasShrunk = !isNew && !fits(worker.listed.capacity, listed->capacity);
    if (hasGrown || hasShrunk)
        reportCapacityChange(worker, listed->capacity);
    worker.listed = *listed;
    worker.isListed = true;
    if (beginsToDrain)
        moveServices(worker);
    if (hasGrown)
        schedulePlacement();
    if (isNew || isRestarted || hasMoved)
        scheduleSync(worker, absl::ZeroDuration());
}

void Cell::reportCapacityChange(const CellWorker& worker, const Resources& capacity)
{
    const Resources& former = worker.listed.capacity;
    m_parts.log.write("worker-capacity-changed", "worker", worker.listed.incarnation.id, "formerCpuMillis",
        former.cpuMillis, "cpuMillis", capacity.cpuMillis, "formerMemoryMiB", former.memoryMiB, "memoryMiB",
        capacity.memoryMiB, "formerAccelerators", former.accelerators, "accelerators", capacity.accelerators,
        "usedCpuMillis", worker.used.cpuMillis, "usedMemoryMiB", worker.used.memoryMiB);
}

void Cell::moveServices(CellWorker& worker)
{
    // All that still runs when the worker leaves is lost, and that shows only when its leases have expired.
    std::vector<TaskRun> runs;
    for (const auto& [run, allocation] : worker.allocations) {
        const CellJob* job = findJob(run.task.job);
        if (job && job->spec.steps[run.task.step].isService && !allocation.isStopWanted)
            runs.push_back(run);
    }
    for (const TaskRun& run : runs) {
        m_parts.log.write("service-moves", "run", describeRun(run), "from", worker.listed.incarnation.id);
        requestStop(worker, run);
    }
}

void Cell::scheduleSync(CellWorker& worker, absl::Duration delay)
{
    if (worker.isSyncing || m_isSuperseded)
        return;
    if (worker.isSyncScheduled && delay > absl::ZeroDuration())
        return;
    worker.isSyncScheduled = true;
    const uint64_t generation = worker.generation;
    m_parts.timers.after(delay, guarded([this, id = worker.listed.incarnation.id, generation] {
        CellWorker* target = findWorker(id);
        if (!target || target->generation != generation)
            return;
        target->isSyncScheduled = false;
        if (!target->isSyncing)
            sync(*target, true);
    }));
}

void Cell::sync(CellWorker& worker, bool mayWait, absl::AnyInvocable<void()> then)
{
    if (worker.listed.incarnation.address.host.empty() || m_isSuperseded)
        return;
    const Instant now = m_parts.timers.clock().now();
    SyncOrder order;
    order.fencingToken = m_term.token;
    const bool isResponsive = worker.hasReplied && worker.failedSyncs == 0;
    // A worker that does not reply may have restarted, and its sequence numbers begin anew then: an acknowledgement for
    // its former incarnation would make it forget unread ends.
    if (isResponsive && worker.acknowledgedThrough > worker.forgottenThrough)
        order.acknowledgedThrough = worker.acknowledgedThrough;
    // The lease of a worker that does not reply is not extended, so that its runs end at a known time.
    if (isResponsive && worker.clock.isKnown() && !worker.allocations.empty())
        order.leaseEndMillis = nextLeaseEnd(worker, leaseDuration());
    if (mayWait && isResponsive && worker.pendingAcks.empty() && !worker.allocations.empty())
        order.wait = worker.isWatched() ? watchedSyncWait : maxSyncWait;
    if (mayWait)
        worker.isSyncing = true;
    m_parts.metrics.count("cicada_worker_syncs");
    m_parts.orders.sync(worker.listed.incarnation, order,
        guarded([this, id = worker.listed.incarnation.id, generation = worker.generation, now, mayWait,
                    acknowledged = order.acknowledgedThrough, renewsLease = order.leaseEndMillis.has_value(),
                    then = then ? absl::AnyInvocable<void()>(guarded(std::move(then))) : nullptr](
                    SyncReply reply) mutable {
            CellWorker* target = findWorker(id);
            if (target && target->generation == generation) {
                if (mayWait)
                    target->isSyncing = false;
                const bool isDone = reply.status == OrderStatus::Done;
                handleSync(id, now, std::move(reply));
                const bool isSameIncarnation = isDone && target->generation == generation;
                if (isSameIncarnation)
                    target->forgottenThrough = std::max(target->forgottenThrough, acknowledged);
                if (isSameIncarnation && renewsLease)
                    target->leaseKnownUntil = std::max(target->leaseKnownUntil, leaseLastsUntil(now, leaseDuration()));
            }
            if (then)
                then();
        }));
}

void Cell::handleSync(const std::string& id, Instant sentAt, SyncReply reply)
{
    CellWorker& worker = m_workers[id];
    const Instant now = m_parts.timers.clock().now();
    if (reply.status == OrderStatus::Fenced)
        return handleSuperseded("fenced-by-worker");
    if (reply.status == OrderStatus::OtherIncarnation)
        return endIncarnation(
            worker, IncarnationEnd::OtherAnswered, { listedStartAtAddressOf(worker), reply.workerClockMillis });
    if (reply.status == OrderStatus::Congested)
        return scheduleSync(worker, congestionDelay);
    if (reply.status != OrderStatus::Done)
        return handleSyncFailure(worker, reply.status);
    const int64_t started = reply.startedUnixMillis;
    if (worker.startedUnixMillis != 0 && started != 0 && started != worker.startedUnixMillis) {
        // A reply that a later incarnation's has overtaken. An earlier start in the reply to a newer request is that of
        // a worker whose time of day was set back.
        if (started < worker.startedUnixMillis && sentAt < worker.lastReplyAt)
            return scheduleSync(worker, absl::ZeroDuration());
        endIncarnation(worker, IncarnationEnd::RestartReplied, { started, reply.workerClockMillis });
    }
    if (!worker.hasReplied) {
        m_parts.log.write("worker-heard", "worker", id, "token", m_term.token, "started", started, "running",
            reply.running.size(), "ended", reply.ended.size(), "afterMs",
            absl::ToInt64Milliseconds(now - m_ownedSince));
        if (started != 0)
            worker.startedUnixMillis = started;
        recordInheritedCrash(worker);
        settleInherited(worker);
    } else if (worker.failedSyncs > 0) {
        explainUndecided(worker);
        m_parts.log.write(
            "worker-regained", "worker", id, "silentMs", absl::ToInt64Milliseconds(now - worker.lastReplyAt));
    }
    const bool wasUsable = worker.isUsable(now);
    worker.hasReplied = true;
    worker.failedSyncs = 0;
    worker.silentSince = absl::InfiniteDuration();
    worker.lastReplyAt = now;
    recordClock(worker, reply.workerClockMillis);
    worker.recordList(reply.workerClockMillis, now);
    const bool hasAppliedAll = applyLists(worker, sentAt, reply);
    if (!wasUsable || !reply.ended.empty())
        schedulePlacement();
    if (worker.pendingAcks.empty() && hasAppliedAll)
        return scheduleSync(worker, worker.allocations.empty() ? idleInterval : absl::ZeroDuration());
    scheduleSync(worker, ackTimeout);
}

bool Cell::applyLists(CellWorker& worker, Instant sentAt, SyncReply& reply)
{
    absl::flat_hash_set<TaskRun> reported;
    for (const ListedRun& listed : reply.running) {
        reported.insert(listed.run);
        applyRunning(worker, listed);
    }
    for (const EndedRun& ended : reply.ended)
        reported.insert(ended.run);
    const bool hasAppliedAll = applyEnds(worker, reply.ended);
    std::vector<TaskRun> gone;
    std::vector<TaskRun> stop;
    for (const auto& [run, allocation] : worker.allocations) {
        if (reported.contains(run)) {
            if (allocation.isStopWanted)
                stop.push_back(run);
            continue;
        }
        const CellJob* job = findJob(run.task.job);
        const CellTask* task = job ? m_jobs[run.task.job]->find(run.task) : nullptr;
        const bool isStoringIntent = task && task->run == run.run && task->stage == TaskStage::StoringIntent;
        if (isStoringIntent || allocation.isStarting)
            continue;
        // The reply was given under this owner's token, so orders of an earlier owner can no longer take effect.
        const bool isListedUnlessEnded = allocation.isInherited || allocation.visibleFrom < sentAt;
        const bool isStartGivenUp = allocation.visibleFrom == absl::InfiniteDuration()
            && (allocation.isStopWanted || allocation.unansweredAt <= sentAt);
        if (isListedUnlessEnded && reply.hasAllEnds)
            gone.push_back(run);
        else if (isStartGivenUp)
            stop.push_back(run);
    }
    for (const TaskRun& run : gone)
        concludeRun(worker, run, notListed);
    for (const TaskRun& run : stop)
        sendStop(worker, run);
    return hasAppliedAll;
}

void Cell::applyRunning(CellWorker& worker, const ListedRun& listed)
{
    const Instant now = m_parts.timers.clock().now();
    const TaskName& name = listed.run.task;
    CellJob* job = findJob(name.job);
    CellTask* task = job ? job->find(name) : nullptr;
    const std::string& id = worker.listed.incarnation.id;
    // The demand of a job that has been removed is not known; the run may use all that the worker has.
    if (!worker.allocations.contains(listed.run))
        allocate(worker, listed.run, task ? demandOf(job->spec.steps[name.step]) : worker.listed.capacity,
            task && job->spec.steps[name.step].isService, job ? job->spec.account : "");
    RunAllocation& allocation = worker.allocations[listed.run];
    // A reply from before the run began may still be in flight.
    allocation.visibleFrom = std::min(allocation.visibleFrom, now);
    allocation.wasConfirmed = true;
    allocation.wasListed = true;
    allocation.crash = CrashedRun::None;
    allocation.evidence.reset();
    if (task && takeBackCrash(*job, listed.run, worker))
        storeRuns(*job, nullptr);
    const bool isCurrent = task && task->run == listed.run.run && task->hasActiveRun() && task->worker == id;
    if (!isCurrent || isEnded(job->phase)) {
        allocation.isStopWanted = true;
        return;
    }
    job->hasBegun = true;
    if (task->stage != TaskStage::Running) {
        task->stage = TaskStage::Running;
        if (task->startedAt == absl::ZeroDuration())
            task->startedAt = now;
    }
    forgetPossibleCrashes(*task, listed.run, now - task->startedAt);
    if (!listed.checkpoint.empty())
        task->checkpoint = listed.checkpoint;
    if (listed.percent > task->percent) {
        task->percent = listed.percent;
        task->progressAt = now;
    }
}

bool Cell::applyEnds(CellWorker& worker, std::vector<EndedRun>& ended)
{
    std::sort(ended.begin(), ended.end(), [](const EndedRun& a, const EndedRun& b) { return a.sequence < b.sequence; });
    const uint64_t before = worker.processedThrough;
    std::vector<std::string> changed;
    bool hasAppliedAll = true;
    for (const EndedRun& end : ended) {
        if (end.sequence <= worker.processedThrough)
            continue;
        // Listed again with the next sync, as it is not acknowledged.
        const CellJob* job = findJob(end.run.task.job);
        hasAppliedAll = !job || !job->isMoving;
        if (!hasAppliedAll)
            break;
        applyEnd(worker, end, changed);
        worker.processedThrough = end.sequence;
    }
    if (worker.processedThrough == before)
        return hasAppliedAll;
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    // The ends are acknowledged to the worker once everything that they changed is durable.
    worker.pendingAcks.emplace_back(worker.processedThrough, false);
    auto open = std::make_shared<size_t>(changed.size() + 1);
    const auto durable = [this, open, id = worker.listed.incarnation.id, generation = worker.generation,
                             through = worker.processedThrough] {
        if (--*open > 0)
            return;
        CellWorker* target = findWorker(id);
        if (!target || target->generation != generation)
            return;
        target->markDurable(through);
        if (target->pendingAcks.empty() && !target->isSyncing) {
            target->isSyncScheduled = false;
            scheduleSync(*target, absl::ZeroDuration());
        }
    };
    for (const std::string& id : changed) {
        if (CellJob* job = findJob(id))
            storeRuns(*job, guarded(durable));
        else
            --*open;
    }
    m_parts.timers.after(absl::ZeroDuration(), guarded(durable));
    return hasAppliedAll;
}

} // namespace cicada
