#include "SuspectTasks.h"

#include <algorithm>

namespace cicada {

namespace {

    /** How long a task with one crash under it waits for a worker of its own. Then it starts like any other, since
     * otherwise room would stay unused for as long as other suspects crash theirs. */
    constexpr absl::Duration isolationTimeout = absl::Seconds(8);
    /** A task that has been at work this long no longer keeps others from its worker, or sooner if tasks are known to
     * crash their workers sooner, but not before the lesser time. */
    constexpr absl::Duration suspectProvenAfter = absl::Seconds(10);
    constexpr absl::Duration minProof = absl::Milliseconds(500);
    /** With so many crashed workers, the job as a whole is the suspect. */
    constexpr uint32_t minCrashedWorkers = 2;

} // namespace

TaskCrashes SuspectTasks::crashesOf(const CellTask& task) const
{
    const Instant now = m_clock.now();
    const auto explained = std::count_if(task.agesAtCrashes.begin(), task.agesAtCrashes.end(),
        [&](const RunAges& ages) { return m_crashDelays.isLikelyCausedByOther(ages, now); });
    const auto all = static_cast<uint32_t>(task.crashedRuns.size());
    return { all, all - std::min(all, static_cast<uint32_t>(explained)),
        static_cast<uint32_t>(task.possiblyCrashedRuns.size()) };
}

bool SuspectTasks::isLikelySound(const CellTask& task) const
{
    const Instant now = m_clock.now();
    const TaskCrashes crashes = crashesOf(task);
    // Whoever was beside such a run twice is not to lose a third run.
    return crashes.all <= 1 && crashes.unexplained == 0
        && m_crashDelays.isLikelyCausedByOther(task.agesAtLastCrash, now);
}

bool SuspectTasks::isLikelyDeadly(const CellTask& task) const
{
    const Instant now = m_clock.now();
    return crashesOf(task).unexplained > 1 || m_crashDelays.isLikelyCause(task.agesAtLastCrash, now);
}

bool SuspectTasks::isSuspectAsAWhole(const CellJob& job) const
{
    if (job.crashedWorkers < minCrashedWorkers)
        return false;
    return job.anyTask([this](const CellTask& task) {
        return task.isSuspect && task.stage != TaskStage::Finished && !isLikelySound(task);
    });
}

bool SuspectTasks::isHeldBack(const CellJob& job, StepRef ref) const
{
    return !job.stepSpec(ref).isGang && isSuspectAsAWhole(job) && !hasWaitedForIsolation(job);
}

bool SuspectTasks::hasWaitedForIsolation(const CellJob& job) const
{
    return m_clock.now() - job.crashedAt > isolationTimeout;
}

bool SuspectTasks::runsApart(const CellJob& job, const CellTask& task) const
{
    if (!task.isSuspect || isLikelySound(task))
        return false;
    return task.crashedRuns.size() > 1 || isLikelyDeadly(task) || !hasWaitedForIsolation(job);
}

std::vector<uint32_t> SuspectTasks::waitingSuspects(const CellJob& job, StepRef ref) const
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

bool SuspectTasks::isSuspectGang(const CellJob& job, StepRef ref) const
{
    return job.stepSpec(ref).isGang && !waitingSuspects(job, ref).empty();
}

bool SuspectTasks::isProven(const CellTask& task) const
{
    const Instant now = m_clock.now();
    const absl::Duration proof
        = std::clamp(m_crashDelays.limit(now).value_or(suspectProvenAfter), minProof, suspectProvenAfter);
    return task.stage == TaskStage::Running
        && now - task.startedAt >= (task.crashedRuns.size() > 1 ? suspectProvenAfter : proof);
}

bool SuspectTasks::mayCrashWorker(const CellTask& task) const
{
    return task.isSuspect && task.hasActiveRun() && !isLikelySound(task) && !isProven(task);
}

bool SuspectTasks::hasWorkForSharedWorkers(const CellJob& job, StepRef ref) const
{
    const std::vector<CellTask>& tasks = job.step(ref).tasks;
    return std::any_of(tasks.begin(), tasks.end(),
        [&](const CellTask& task) { return task.stage == TaskStage::Waiting && !runsApart(job, task); });
}

} // namespace cicada
