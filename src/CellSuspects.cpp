/** \file
 * The part of Cell that finds the suspects that wait for a worker, and clears those that have been at work for long.
 * SuspectTasks says which tasks are suspects, CellIsolation.cpp where they run.
 */

#include "Cell.h"

#include <algorithm>

namespace cicada {

namespace {

    /** A task that has been at work this long no longer keeps others from its worker, or sooner if tasks are known to
     * crash their workers sooner, but not before the lesser time. */
    constexpr absl::Duration suspectProvenAfter = absl::Seconds(10);
    constexpr absl::Duration minProof = absl::Milliseconds(500);

} // namespace

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

void Cell::clearProvenSuspects(CellWorker& worker)
{
    const Instant now = m_parts.timers.clock().now();
    if (worker.isolatedRuns == 0 || worker.failedSyncs > 0)
        return;
    const absl::Duration proof
        = std::clamp(m_crashDelays.limit(now).value_or(suspectProvenAfter), minProof, suspectProvenAfter);
    std::vector<TaskRun> proven;
    for (const auto& [run, allocation] : worker.allocations) {
        CellJob* job = allocation.isIsolated ? findJob(run.task.job) : nullptr;
        CellTask* task = job ? job->find(run.task) : nullptr;
        const bool isProven = task && task->run == run.run && task->stage == TaskStage::Running
            && now - task->startedAt >= (task->crashedRuns.size() > 1 ? suspectProvenAfter : proof);
        if (!isProven)
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
