/** \file
 * The part of Cell that confines the work of queues on probation to part of the workers, which get no other work
 * meanwhile. QueueProbation decides which queues these are.
 */

#include "Cell.h"

#include <algorithm>

namespace cicada {

namespace {

    /** The share of a service's workers to which a queue on probation is confined, while work of others waits and
     * otherwise. */
    constexpr double confinedShare = 0.25;
    constexpr double confinedShareWhenIdle = 0.6;

} // namespace

void Cell::recordSilence(CellWorker& worker)
{
    const Instant now = m_parts.timers.clock().now();
    worker.recordSilence(now);
    const bool goesSilent = worker.silentSince == now;
    // A suspect that had the worker to itself is likely to have crashed it. Whether it did shows seconds later.
    if (goesSilent && worker.isolatedRuns > 0)
        recordCrashOfQueues(worker);
}

void Cell::recordCrashOfQueues(const CellWorker& worker)
{
    const Instant now = m_parts.timers.clock().now();
    absl::btree_set<std::string> queues;
    for (const auto& [run, allocation] : worker.allocations) {
        if (const CellJob* job = findJob(run.task.job))
            queues.insert(job->policy.queue);
    }
    for (const std::string& queue : queues) {
        if (worker.isolatedRuns > 0)
            m_probation.recordIsolatedCrash(queue, now);
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
    const auto limit = std::max<size_t>(1, static_cast<size_t>(static_cast<double>(listed) * share));
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
    if (m_probation.isEmpty() && m_openTo.empty())
        return;
    const std::string group = m_probation.includes(queue) ? queue : std::string();
    if (group == m_openTo)
        return;
    m_openTo = group;
    closeConfinedWorkers();
    clearUnmetDemands();
}

void Cell::closeConfinedWorkers()
{
    for (auto& [id, worker] : m_workers)
        worker.isClosed = worker.confinedTo != m_openTo;
}

} // namespace cicada
