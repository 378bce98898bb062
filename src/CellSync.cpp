#include "Cell.h"
#include "CellDirectory.h"

#include <algorithm>

namespace cicada {

namespace {

    /** How long a worker may hold back its lists until a run ends. */
    constexpr absl::Duration longestWait = absl::Milliseconds(1500);
    /** A worker that runs nothing is looked at this often. */
    constexpr absl::Duration idleInterval = absl::Seconds(8);
    /** Ends that are not durable after this long do not delay the renewal of the lease any more. */
    constexpr absl::Duration ackPatience = absl::Milliseconds(400);
    constexpr absl::Duration failedDelay = absl::Milliseconds(250);
    constexpr absl::Duration longestLease = absl::Seconds(6);
    constexpr absl::Duration leaseMargin = absl::Milliseconds(1500);
    constexpr absl::Duration watchInterval = absl::Milliseconds(500);
    constexpr absl::Duration longestRest = absl::Seconds(20);
    /** A run counts as stuck after this many times its estimate, and at least `stuckAfter`, without progress. */
    constexpr double stuckFactor = 3;
    constexpr absl::Duration stuckAfter = absl::Milliseconds(2500);

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
        m_parts.log.write("worker-unlisted", "worker", id, "runs", worker->occupants.size());
        return syncSoon(*worker, absl::ZeroDuration());
    }
    if (cellOfKey(listed->rack, m_term.cells) != m_term.cell)
        return;
    CellWorker& worker = m_workers[id];
    const bool isNew = !worker.isListed;
    const bool isReborn = worker.startedUnixMillis != 0 && listed->startedUnixMillis != 0
        && listed->startedUnixMillis > worker.startedUnixMillis;
    if (isNew || listed->isDraining != worker.listed.isDraining)
        m_parts.log.write("worker-listed", "worker", id, "service", listed->service, "rack", listed->rack, "draining",
            listed->isDraining, "started", listed->startedUnixMillis);
    if (isReborn)
        lifeOver(worker, "listed-with-a-new-start");
    worker.listed = *listed;
    worker.isListed = true;
    if (isNew || isReborn)
        syncSoon(worker, absl::ZeroDuration());
}

int64_t Cell::leaseEnd(CellWorker& worker)
{
    const absl::Duration lease = std::min(m_parts.bounds.maxLease, longestLease);
    const int64_t end = worker.clock.estimate(m_parts.timers.clock().now()) + absl::ToInt64Milliseconds(lease);
    worker.clock.noteLease(end);
    return end;
}

void Cell::syncSoon(CellWorker& worker, absl::Duration delay)
{
    if (worker.isSyncing || m_isDeposed)
        return;
    if (worker.isSyncSet && delay > absl::ZeroDuration())
        return;
    worker.isSyncSet = true;
    const uint64_t generation = worker.generation;
    m_parts.timers.after(delay, guarded([this, id = worker.listed.life.id, generation] {
        CellWorker* target = findWorker(id);
        if (!target || target->generation != generation)
            return;
        target->isSyncSet = false;
        if (!target->isSyncing)
            sync(*target, true);
    }));
}

void Cell::sync(CellWorker& worker, bool mayWait)
{
    if (worker.listed.life.address.host.empty() || m_isDeposed)
        return;
    const Instant now = m_parts.timers.clock().now();
    SyncOrder order;
    order.fencingToken = m_term.token;
    order.acknowledgedThrough = worker.acknowledgedThrough;
    const bool isCalm = worker.isHeard && worker.failedSyncs == 0;
    // A worker that does not answer gets no longer lease, so that what runs there ends at a time that is known.
    if (isCalm && worker.clock.isKnown() && !worker.occupants.empty())
        order.leaseEndMillis = leaseEnd(worker);
    if (mayWait && isCalm && worker.pendingAcks.empty() && !worker.occupants.empty())
        order.wait = longestWait;
    if (mayWait)
        worker.isSyncing = true;
    m_parts.metrics.count("cicada_worker_syncs");
    m_parts.orders.sync(worker.listed.life, order,
        guarded([this, id = worker.listed.life.id, generation = worker.generation, now, mayWait](SyncReply reply) {
            CellWorker* target = findWorker(id);
            if (!target || target->generation != generation)
                return;
            if (mayWait)
                target->isSyncing = false;
            handleSync(id, now, std::move(reply));
        }));
}

void Cell::handleSync(const std::string& id, Instant sentAt, SyncReply reply)
{
    CellWorker& worker = m_workers[id];
    const Instant now = m_parts.timers.clock().now();
    if (reply.status == OrderStatus::Fenced)
        return deposed("fenced-by-worker");
    if (reply.status == OrderStatus::OtherLife)
        return lifeOver(worker, "other-life-answers");
    if (reply.status != OrderStatus::Done)
        return syncFailed(worker, reply.status);
    const int64_t started = reply.startedUnixMillis;
    if (worker.startedUnixMillis != 0 && started != 0 && started != worker.startedUnixMillis) {
        if (started < worker.startedUnixMillis)
            return;
        lifeOver(worker, "answers-with-a-new-start");
    }
    if (!worker.isHeard) {
        m_parts.log.write("worker-heard", "worker", id, "token", m_term.token, "started", started, "running",
            reply.running.size(), "ended", reply.ended.size(), "afterMs", absl::ToInt64Milliseconds(now - m_takenAt));
        if (started != 0)
            worker.startedUnixMillis = started;
    } else if (worker.failedSyncs > 0) {
        m_parts.log.write(
            "worker-regained", "worker", id, "silentMs", absl::ToInt64Milliseconds(now - worker.lastHeard));
    }
    const bool wasUsable = worker.isUsable(now);
    worker.isHeard = true;
    worker.failedSyncs = 0;
    worker.lastHeard = now;
    if (reply.workerClockMillis)
        worker.clock.note(*reply.workerClockMillis, now);
    takeLists(worker, sentAt, reply);
    if (!wasUsable || !reply.ended.empty())
        placeSoon();
    if (worker.pendingAcks.empty())
        return syncSoon(worker, worker.occupants.empty() ? idleInterval : absl::ZeroDuration());
    syncSoon(worker, ackPatience);
}

void Cell::takeLists(CellWorker& worker, Instant sentAt, SyncReply& reply)
{
    absl::flat_hash_set<TaskRun> told;
    for (const ListedRun& listed : reply.running) {
        told.insert(listed.run);
        takeRunning(worker, listed);
    }
    for (const EndedRun& ended : reply.ended)
        told.insert(ended.run);
    takeEnds(worker, reply.ended);
    std::vector<TaskRun> gone;
    std::vector<TaskRun> stop;
    for (const auto& [run, occupant] : worker.occupants) {
        if (told.contains(run)) {
            if (occupant.isStopWanted)
                stop.push_back(run);
            continue;
        }
        const CellJob* job = findJob(run.task.job);
        const CellTask* task = job ? m_jobs[run.task.job]->find(run.task) : nullptr;
        const bool isIntended = task && task->run == run.run && task->stage == TaskStage::Intending;
        if (isIntended || occupant.isStarting)
            continue;
        // The reply was given under this owner's token, so an earlier owner's orders can do nothing any more.
        if (occupant.isInherited || occupant.settledAt < sentAt)
            gone.push_back(run);
        else if (occupant.settledAt == absl::InfiniteDuration())
            stop.push_back(run);
    }
    for (const TaskRun& run : gone)
        runOver(worker, run, notListed);
    for (const TaskRun& run : stop)
        sendStop(worker, run);
}

void Cell::takeRunning(CellWorker& worker, const ListedRun& listed)
{
    const Instant now = m_parts.timers.clock().now();
    const TaskName& name = listed.run.task;
    CellJob* job = findJob(name.job);
    CellTask* task = job ? job->find(name) : nullptr;
    const std::string& id = worker.listed.life.id;
    if (!worker.occupants.contains(listed.run))
        worker.occupy(listed.run, task ? job->spec.steps[name.step].demand : Resources());
    Occupant& occupant = worker.occupants[listed.run];
    // Another reply may still be on its way that was given before the run began.
    occupant.settledAt = std::min(occupant.settledAt, now);
    occupant.wasThere = true;
    const bool isCurrent = task && task->run == listed.run.run && task->isOut() && task->worker == id;
    if (!isCurrent || isEnded(job->phase)) {
        occupant.isStopWanted = true;
        return;
    }
    job->hasBegun = true;
    if (task->stage != TaskStage::Running) {
        task->stage = TaskStage::Running;
        if (task->startedAt == absl::ZeroDuration())
            task->startedAt = now;
    }
    if (!listed.checkpoint.empty())
        task->checkpoint = listed.checkpoint;
    if (listed.percent > task->percent) {
        task->percent = listed.percent;
        task->progressAt = now;
    }
}

void Cell::takeEnds(CellWorker& worker, std::vector<EndedRun>& ended)
{
    std::sort(ended.begin(), ended.end(), [](const EndedRun& a, const EndedRun& b) { return a.sequence < b.sequence; });
    const uint64_t before = worker.processedThrough;
    std::vector<std::string> changed;
    for (const EndedRun& end : ended) {
        if (end.sequence <= worker.processedThrough)
            continue;
        applyEnd(worker, end, changed);
        worker.processedThrough = end.sequence;
    }
    if (worker.processedThrough == before)
        return;
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    // The worker may forget the ends once all that they changed is durable.
    worker.pendingAcks.emplace_back(worker.processedThrough, false);
    auto open = std::make_shared<size_t>(changed.size() + 1);
    const auto durable
        = [this, open, id = worker.listed.life.id, generation = worker.generation, through = worker.processedThrough] {
              if (--*open > 0)
                  return;
              CellWorker* target = findWorker(id);
              if (!target || target->generation != generation)
                  return;
              target->noteDurable(through);
              if (target->pendingAcks.empty() && !target->isSyncing) {
                  target->isSyncSet = false;
                  syncSoon(*target, absl::ZeroDuration());
              }
          };
    for (const std::string& id : changed) {
        if (CellJob* job = findJob(id))
            storeRuns(*job, guarded(durable));
        else
            --*open;
    }
    m_parts.timers.after(absl::ZeroDuration(), guarded(durable));
}

void Cell::syncFailed(CellWorker& worker, OrderStatus status)
{
    const Instant now = m_parts.timers.clock().now();
    if (++worker.failedSyncs == 1) {
        worker.firstFailedAt = now;
        m_parts.log.write("worker-silent", "worker", worker.listed.life.id, "status", orderStatusName(status), "runs",
            worker.occupants.size());
    }
    checkSilent(worker);
    if (!worker.isListed && worker.occupants.empty())
        return;
    syncSoon(worker, failedDelay * std::min(worker.failedSyncs, 8));
}

void Cell::checkSilent(CellWorker& worker)
{
    const Instant now = m_parts.timers.clock().now();
    const absl::Duration unheard = std::min(m_parts.bounds.maxLease, longestLease) / WorkerClock::slowest + leaseMargin;
    const bool isOver = worker.isHeard ? worker.clock.leasesOver(now) : now - m_takenAt > unheard;
    if (isOver) {
        if (!worker.occupants.empty())
            lifeOver(worker, "leases-ended");
        return;
    }
    if (!worker.occupants.empty() && !worker.isHeard)
        m_parts.timers.after(absl::Milliseconds(500), guarded([this, id = worker.listed.life.id] {
            CellWorker* target = findWorker(id);
            if (target && !target->isHeard)
                checkSilent(*target);
        }));
}

void Cell::lifeOver(CellWorker& worker, absl::string_view why)
{
    m_parts.log.write("worker-over", "worker", worker.listed.life.id, "why", why, "runs", worker.occupants.size());
    const bool isSameIncarnation = why == "leases-ended";
    // A start that may be under way can still arrive in the next life under the same id; it has to be stopped there.
    const bool mayArrive = why != "leases-ended" && why != "other-life-answers";
    std::vector<TaskRun> runs;
    for (auto& [run, occupant] : worker.occupants) {
        if (mayArrive && occupant.wasSent && !occupant.wasThere) {
            occupant.isStarting = false;
            occupant.isStopWanted = true;
            occupant.settledAt = absl::InfiniteDuration();
            occupant.stopSentAt = absl::ZeroDuration() - absl::Hours(1);
        } else {
            runs.push_back(run);
        }
    }
    for (const TaskRun& run : runs)
        runOver(worker, run, why);
    if (isSameIncarnation)
        return;
    for (const Unanswered& old : mayArrive ? worker.unanswered : std::vector<Unanswered>()) {
        worker.occupy(old.run, old.demand);
        worker.occupants[old.run].isStopWanted = true;
    }
    worker.unanswered.clear();
    ++worker.generation;
    worker.isSyncing = false;
    worker.isSyncSet = false;
    worker.isHeard = false;
    worker.startedUnixMillis = 0;
    worker.clock.reset();
    worker.processedThrough = 0;
    worker.acknowledgedThrough = 0;
    worker.pendingAcks.clear();
    worker.failedJobs.clear();
    worker.failedSyncs = 0;
    if (worker.isListed)
        syncSoon(worker, failedDelay);
}

void Cell::rest(CellWorker& worker, absl::Duration duration, absl::string_view why)
{
    const Instant now = m_parts.timers.clock().now();
    // Never more than half of the workers rest: when most fail, the cause lies elsewhere.
    const auto resting = std::count_if(
        m_workers.begin(), m_workers.end(), [&](const auto& item) { return item.second.restUntil > now; });
    if (static_cast<size_t>(resting) * 2 >= m_workers.size())
        return;
    const absl::Duration length = std::min(longestRest, duration * (1 << std::min(worker.restCount, 4)));
    ++worker.restCount;
    worker.restUntil = std::max(worker.restUntil, now + length);
    worker.failedJobs.clear();
    m_parts.log.write(
        "worker-rests", "worker", worker.listed.life.id, "why", why, "ms", absl::ToInt64Milliseconds(length));
    m_parts.timers.after(length, guarded([this] { placeSoon(); }));
}

void Cell::watchRuns()
{
    const Instant now = m_parts.timers.clock().now();
    for (auto& [id, worker] : m_workers) {
        if (worker.failedSyncs > 0 || !worker.isHeard)
            continue;
        std::vector<TaskRun> stuck;
        for (const auto& [run, occupant] : worker.occupants) {
            CellJob* job = findJob(run.task.job);
            const CellTask* task = job ? job->find(run.task) : nullptr;
            if (!task || task->stage != TaskStage::Running || occupant.isStopWanted)
                continue;
            const StepSpec& spec = job->spec.steps[run.task.step];
            const bool isStill = !spec.isService && task->percent >= 0
                && now - task->progressAt > std::max(stuckAfter, spec.estimate * stuckFactor);
            if (isStill)
                stuck.push_back(run);
        }
        for (const TaskRun& run : stuck) {
            m_parts.log.write("run-stuck", "run", describeRun(run), "worker", id);
            wantStop(worker, run);
        }
        if (stuck.size() >= 2)
            rest(worker, absl::Seconds(5), "runs-stand-still");
    }
    m_parts.timers.after(watchInterval, guarded([this] { watchRuns(); }));
    placeSoon();
}

} // namespace cicada
