/** \file
 * The part of Cell that finds the suspects that wait for a worker, and clears those that have been at work for long.
 * SuspectTasks says which tasks are suspects, CellIsolation.cpp where they run.
 */

#include "Cell.h"

#include <algorithm>

namespace cicada {

std::vector<StepRank> Cell::stepsWithSuspects()
{
    std::vector<StepRank> steps;
    std::vector<StepRank> likelyDeadly;
    std::vector<std::string> cleared;
    for (const std::string& id : m_suspectJobs) {
        CellJob* job = findJob(id);
        if (!job || isEnded(job->phase) || !job->hasSuspects()) {
            cleared.push_back(id);
            continue;
        }
        for (uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                const CellStep& step = job->step({ k, s });
                const bool isWaiting = step.sortKey && !job->stepSpec({ k, s }).isGang;
                const std::vector<uint32_t> suspects
                    = isWaiting ? m_suspects.waitingSuspects(*job, { k, s }) : std::vector<uint32_t>();
                if (suspects.empty())
                    continue;
                const bool isDeadly = m_suspects.isLikelyDeadly(step.tasks[suspects.front()]);
                (isDeadly ? likelyDeadly : steps).push_back({ *step.sortKey, id, { k, s } });
            }
        }
    }
    for (const std::string& id : cleared)
        m_suspectJobs.erase(id);
    std::sort(steps.begin(), steps.end());
    std::sort(likelyDeadly.begin(), likelyDeadly.end());
    steps.insert(steps.end(), likelyDeadly.begin(), likelyDeadly.end());
    return steps;
}

bool Cell::runsSuspectOfOthers(const CellWorker& worker, const std::string& jobId)
{
    return std::any_of(worker.allocations.begin(), worker.allocations.end(), [&](const auto& item) {
        const TaskRun& run = item.first;
        CellJob* job = run.task.job != jobId && m_suspectJobs.contains(run.task.job) ? findJob(run.task.job) : nullptr;
        const CellTask* task = job ? job->find(run.task) : nullptr;
        return task && task->run == run.run && m_suspects.mayCrashWorker(*task);
    });
}

void Cell::clearProvenSuspects(CellWorker& worker)
{
    if (worker.isolatedRuns == 0 || worker.failedSyncs > 0)
        return;
    std::vector<TaskRun> proven;
    for (const auto& [run, allocation] : worker.allocations) {
        CellJob* job = allocation.isIsolated ? findJob(run.task.job) : nullptr;
        CellTask* task = job ? job->find(run.task) : nullptr;
        if (!task || task->run != run.run || !m_suspects.isProven(*task))
            continue;
        task->isSuspect = false;
        proven.push_back(run);
    }
    for (const TaskRun& run : proven) {
        m_parts.log.write("suspect-cleared", "run", describeRun(run), "worker", worker.listed.incarnation.id);
        worker.endIsolation(run);
    }
    if (!proven.empty())
        schedulePlacement();
}

} // namespace cicada
