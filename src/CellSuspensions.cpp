/** \file
 * The part of Cell that suspends placement on workers where runs fail or make no progress.
 */

#include "Cell.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration failureSuspension = absl::Seconds(3);
    /** When this many different jobs in a row fail on a worker, the worker itself is assumed to be the cause. */
    constexpr size_t failedJobsToSuspend = 3;
    constexpr absl::Duration maxSuspension = absl::Seconds(20);
    constexpr absl::Duration stuckCheckInterval = absl::Milliseconds(500);
    /** A run without progress counts as stuck after this many times its estimate, but not before `stuckAfter`. */
    constexpr double stuckFactor = 3;
    constexpr absl::Duration stuckAfter = absl::Milliseconds(2500);
    /** The time doubles with each run of the task that was stopped as stuck. Otherwise a task that shows no progress
     * for longer would never end. */
    constexpr uint32_t maxStuckDoublings = 5;

} // namespace

void Cell::recordWorkerFailure(CellWorker& worker, const std::string& job)
{
    worker.failedJobs.insert(job);
    if (worker.failedJobs.size() >= failedJobsToSuspend)
        suspendPlacement(worker, failureSuspension, "runs-fail");
}

void Cell::suspendPlacement(CellWorker& worker, absl::Duration duration, absl::string_view why)
{
    const Instant now = m_parts.timers.clock().now();
    // At most half of the workers are suspended: when most of them fail, the cause lies elsewhere.
    const auto suspended = std::count_if(
        m_workers.begin(), m_workers.end(), [&](const auto& item) { return item.second.suspendedUntil > now; });
    if (static_cast<size_t>(suspended) * 2 >= m_workers.size())
        return;
    const absl::Duration length = std::min(maxSuspension, duration * (1 << std::min(worker.suspensionCount, 4)));
    ++worker.suspensionCount;
    worker.suspendedUntil = std::max(worker.suspendedUntil, now + length);
    worker.failedJobs.clear();
    m_parts.log.write(
        "worker-rests", "worker", worker.listed.incarnation.id, "why", why, "ms", absl::ToInt64Milliseconds(length));
    m_parts.timers.after(length, guarded([this] { schedulePlacement(); }));
}

absl::Duration Cell::stuckLimit(CellJob& job, uint32_t step, const CellTask& task)
{
    const double correction = std::max(1.0, correctionOf(job).high);
    const absl::Duration limit = std::max(stuckAfter, job.spec.steps[step].estimate * stuckFactor * correction);
    return limit * (1 << std::min(task.stuckRuns, maxStuckDoublings));
}

void Cell::checkStuckRuns()
{
    for (auto& [id, worker] : m_workers) {
        clearProvenSuspects(worker);
        if (worker.failedSyncs > 0 || !worker.hasReplied)
            continue;
        std::vector<TaskRun> stuck;
        for (const auto& [run, allocation] : worker.allocations) {
            CellJob* job = findJob(run.task.job);
            const CellTask* task = job ? job->find(run.task) : nullptr;
            if (!task || task->stage != TaskStage::Running || allocation.isStopWanted)
                continue;
            // Only a list of the worker shows that a run made no progress. After a pause of this entry all runs would
            // count as stuck otherwise.
            const absl::Duration withoutProgress = worker.listedAt - task->progressAt;
            const bool isService = job->spec.steps[run.task.step].isService;
            if (!isService && task->percent >= 0 && withoutProgress > stuckLimit(*job, run.task.step, *task))
                stuck.push_back(run);
        }
        for (const TaskRun& run : stuck) {
            m_parts.log.write("run-stuck", "run", describeRun(run), "worker", id);
            ++findJob(run.task.job)->find(run.task)->stuckRuns;
            m_parts.metrics.count("cicada_runs_stuck");
            requestStop(worker, run);
        }
        if (stuck.size() >= 2)
            suspendPlacement(worker, absl::Seconds(5), "runs-stand-still");
    }
    publishIsolation();
    m_parts.timers.after(stuckCheckInterval, guarded([this] { checkStuckRuns(); }));
    schedulePlacement();
}

} // namespace cicada
