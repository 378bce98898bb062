/** \file
 * The part of Cell that decides which tasks are suspects, under which a worker has crashed, and how much each is to be
 * suspected: one that had been at work for long when another had just begun beside it is likely sound, one that alone
 * had just begun is likely deadly. CellIsolation.cpp says where they run.
 */

#include "Cell.h"

#include <algorithm>

namespace cicada {

namespace {

    /** A task that has been at work this long no longer keeps others from its worker, or sooner if tasks are known to
     * crash their workers sooner, but not before the lesser time. */
    constexpr absl::Duration suspectProvenAfter = absl::Seconds(10);
    constexpr absl::Duration minProof = absl::Milliseconds(500);
    /** How long a task with one crash under it waits for a worker of its own. Then it starts like any other, since
     * otherwise room would stay unused for as long as other suspects crash theirs. */
    constexpr absl::Duration isolationTimeout = absl::Seconds(8);
    /** With so many crashed workers, the job as a whole is the suspect. */
    constexpr uint32_t minCrashedWorkers = 2;

} // namespace

TaskCrashes Cell::crashesOf(const CellTask& task) const
{
    const Instant now = m_parts.timers.clock().now();
    const auto explained = std::count_if(task.agesAtCrashes.begin(), task.agesAtCrashes.end(),
        [&](const RunAges& ages) { return m_crashDelays.isLikelyCausedByOther(ages, now); });
    const auto all = static_cast<uint32_t>(task.crashedRuns.size());
    return { all, all - std::min(all, static_cast<uint32_t>(explained)),
        static_cast<uint32_t>(task.possiblyCrashedRuns.size()) };
}

bool Cell::isLikelySound(const CellTask& task) const
{
    const Instant now = m_parts.timers.clock().now();
    const TaskCrashes crashes = crashesOf(task);
    // Whoever was beside such a run twice is not to lose a third run.
    return crashes.all <= 1 && crashes.unexplained == 0
        && m_crashDelays.isLikelyCausedByOther(task.agesAtLastCrash, now);
}

bool Cell::isLikelyDeadly(const CellTask& task) const
{
    const Instant now = m_parts.timers.clock().now();
    return crashesOf(task).unexplained > 1 || m_crashDelays.isLikelyCause(task.agesAtLastCrash, now);
}

bool Cell::isSuspectAsAWhole(const CellJob& job) const
{
    if (job.crashedWorkers < minCrashedWorkers)
        return false;
    return job.anyTask([this](const CellTask& task) {
        return task.isSuspect && task.stage != TaskStage::Finished && !isLikelySound(task);
    });
}

bool Cell::isHeldBack(const CellJob& job, StepRef ref) const
{
    return !job.stepSpec(ref).isGang && isSuspectAsAWhole(job) && !hasWaitedForIsolation(job);
}

bool Cell::hasWaitedForIsolation(const CellJob& job) const
{
    return m_parts.timers.clock().now() - job.crashedAt > isolationTimeout;
}

bool Cell::runsApart(const CellJob& job, const CellTask& task) const
{
    if (!task.isSuspect || isLikelySound(task))
        return false;
    return task.crashedRuns.size() > 1 || isLikelyDeadly(task) || !hasWaitedForIsolation(job);
}

std::vector<uint32_t> Cell::waitingSuspects(const CellJob& job, StepRef ref) const
{
    const std::vector<CellTask>& tasks = job.step(ref).tasks;
    std::vector<uint32_t> suspects;
    for (uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].stage == TaskStage::Waiting && runsApart(job, tasks[i]))
            suspects.push_back(i);
    }
    std::stable_partition(
        suspects.begin(), suspects.end(), [&tasks, this](uint32_t i) { return !isLikelyDeadly(tasks[i]); });
    return suspects;
}

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
                    = isWaiting ? waitingSuspects(*job, { k, s }) : std::vector<uint32_t>();
                if (suspects.empty())
                    continue;
                const bool isDeadly = isLikelyDeadly(step.tasks[suspects.front()]);
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

bool Cell::hasWorkForSharedWorkers(const CellJob& job, StepRef ref) const
{
    const std::vector<CellTask>& tasks = job.step(ref).tasks;
    return std::any_of(tasks.begin(), tasks.end(),
        [&](const CellTask& task) { return task.stage == TaskStage::Waiting && !runsApart(job, task); });
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
