/** \file
 * The part of Cell that limits what queues can do whose tasks crash workers. After a job was given up, the next jobs of
 * its queue begin with one task. The work of queues on probation is confined to part of the workers, which get no other
 * work meanwhile. QueueProbation decides which queues these are.
 */

#include "Cell.h"

#include <algorithm>

namespace cicada {

namespace {

    /** The share of a service's workers to which a queue on probation is confined, while work of others waits and
     * otherwise. */
    constexpr double confinedShare = 0.2;
    constexpr double confinedShareWhenIdle = 0.4;
    /** How long a first task has to be at work while it is not known how soon tasks crash their workers. */
    constexpr absl::Duration defaultTrialLength = absl::Seconds(1);
    constexpr absl::Duration maxTrialLength = absl::Seconds(2);

} // namespace

absl::Duration Cell::trialLength() const
{
    return std::min(maxTrialLength, m_crashDelays.limit(m_parts.timers.clock().now()).value_or(defaultTrialLength));
}

bool Cell::hasPassedTrial(const CellJob& job) const
{
    const Instant now = m_parts.timers.clock().now();
    const absl::Duration length = trialLength();
    return job.anyTask([&](const CellTask& task) {
        const auto worker = m_workers.find(task.worker);
        // Of a worker that has restarted, it is not known yet whether it still has the run.
        const bool isHeard = worker != m_workers.end() && worker->second.hasReplied && worker->second.failedSyncs == 0;
        const bool isAtWork = isHeard && task.stage == TaskStage::Running && now - task.startedAt >= length;
        return isAtWork || task.stage == TaskStage::Finished;
    });
}

bool Cell::needsTrial(const CellJob& job, StepRef ref) const
{
    const StepSpec& spec = job.stepSpec(ref);
    if (spec.isGang || spec.isService || !m_probation.needsTrial(job.policy.queue, job.acceptedAt))
        return false;
    const bool hasWaited = job.crashedWorkers > 0 && m_suspects.hasWaitedForIsolation(job);
    return !hasWaited && !hasPassedTrial(job);
}

bool Cell::isTrialUnderWay(const CellJob& job) const
{
    return job.anyTask([&](const CellTask& task) {
        return task.hasActiveRun() || (task.stage == TaskStage::Waiting && m_suspects.runsApart(job, task));
    });
}

void Cell::scheduleEndOfTrial(const CellJob& job)
{
    if (m_probation.needsTrial(job.policy.queue, job.acceptedAt))
        m_parts.timers.after(trialLength(), guarded([this] { schedulePlacement(); }));
}

void Cell::recordSilence(CellWorker& worker, bool wasClosed)
{
    const Instant now = m_parts.timers.clock().now();
    worker.recordSilence(now, wasClosed);
    const bool goesSilent = worker.silentSince == now;
    // A suspect that had the worker to itself is likely to have crashed it. Whether it did shows seconds later.
    if (goesSilent && worker.isolatedRuns > 0)
        recordCrashOfQueues(worker);
}

void Cell::recordSuspectedCrash(const CellWorker& worker)
{
    const Instant now = m_parts.timers.clock().now();
    const CellJob* suspect = nullptr;
    for (const RunAge& run : agesOn(worker)) {
        const bool hasJustBegun = m_crashDelays.isSoonAfterStart({ run.age, absl::InfiniteDuration() }, now);
        if (!hasJustBegun || run.job == suspect || hasPassedTrial(*run.job))
            continue;
        if (suspect)
            return;
        suspect = run.job;
    }
    if (suspect && !crashAsSeenBy(suspect->spec.id, worker.listed.incarnation.id).isMassLoss)
        m_probation.recordSuspectedCrash(suspect->policy.queue, suspect->acceptedAt, worker.silentSince, now);
}

void Cell::recordCrashOfQueues(const CellWorker& worker)
{
    const Instant now = m_parts.timers.clock().now();
    // By queue, when the latest of its jobs there was accepted.
    absl::btree_map<std::string, Instant> queues;
    for (const auto& [run, allocation] : worker.allocations) {
        const CellJob* job = findJob(run.task.job);
        if (job)
            queues[job->policy.queue] = std::max(queues[job->policy.queue], job->acceptedAt);
    }
    for (const auto& [queue, acceptedAt] : queues) {
        if (worker.isolatedRuns > 0)
            m_probation.recordIsolatedCrash(queue, acceptedAt, now);
        else
            m_probation.recordSharedCrash(queue, queues.size() == 1, now);
    }
}

void Cell::updateProbation()
{
    for (const QueueProbation::Change& change : m_probation.update(m_parts.timers.clock().now())) {
        m_parts.log.write(
            change.begins ? "queue-confined" : "queue-no-longer-confined", "queue", change.queue, "cell", m_term.cell);
        if (change.begins)
            m_parts.metrics.count("cicada_queues_confined");
    }
    for (auto& [id, worker] : m_workers) {
        if (!m_probation.includes(worker.confinedTo))
            worker.confinedTo.clear();
    }
    for (const auto& [queue, until] : m_probation.queues())
        confineQueue(queue);
    m_openTo.clear();
    closeConfinedWorkers();
}

void Cell::confineQueue(const std::string& queue)
{
    const QueuePolicy* policy = m_parts.policyOf(queue);
    if (!policy)
        return;
    size_t listed = 0;
    size_t confined = 0;
    for (const auto& [id, worker] : m_workers) {
        if (!worker.isListed || worker.listed.service != policy->service)
            continue;
        ++listed;
        // One that the queue has crashed and that is not back yet counts, too.
        confined += worker.confinedTo == queue ? 1 : 0;
    }
    const double share = hasOtherWorkWaiting(policy->service) ? confinedShare : confinedShareWhenIdle;
    const auto most = std::max<size_t>(1, static_cast<size_t>(static_cast<double>(listed) * share));
    const size_t limit = hasConfinedWorkWaiting(queue) ? most : 0;
    if (confined > limit)
        releaseConfined(queue, confined - limit);
    std::vector<CellWorker*> free = usableWorkers(policy->service);
    free.erase(std::remove_if(free.begin(), free.end(),
                   [](const CellWorker* worker) { return !worker->confinedTo.empty() || worker->isolatedRuns > 0; }),
        free.end());
    std::stable_sort(free.begin(), free.end(),
        [](const CellWorker* a, const CellWorker* b) { return a->allocations.size() < b->allocations.size(); });
    free.resize(std::min(free.size(), limit > confined ? limit - confined : 0));
    for (CellWorker* worker : free)
        worker->confinedTo = queue;
}

bool Cell::isConfined(const CellJob& job) const
{
    return m_probation.confines(job.policy.queue, job.acceptedAt, m_parts.timers.clock().now());
}

bool Cell::hasConfinedWorkWaiting(const std::string& queue) const
{
    return std::any_of(m_ready.begin(), m_ready.end(), [&](const StepRank& rank) {
        const auto job = m_jobs.find(rank.job);
        return job != m_jobs.end() && job->second->policy.queue == queue && isConfined(*job->second)
            && m_suspects.hasWorkForSharedWorkers(*job->second, rank.ref);
    });
}

void Cell::releaseConfined(const std::string& queue, size_t count)
{
    for (auto& [id, worker] : m_workers) {
        if (count == 0)
            return;
        if (worker.confinedTo != queue || worker.failedSyncs > 0)
            continue;
        worker.confinedTo.clear();
        --count;
    }
}

void Cell::openWorkersTo(const std::string& queue)
{
    if (queue == m_openTo)
        return;
    m_openTo = queue;
    closeConfinedWorkers();
    clearUnmetDemands();
}

void Cell::closeConfinedWorkers()
{
    for (auto& [id, worker] : m_workers)
        worker.isClosed = worker.confinedTo != m_openTo;
}

} // namespace cicada
