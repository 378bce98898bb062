/** \file
 * The part of Cell that follows runs which were lost with a worker that can't be heard. It may have crashed, or may be
 * cut off and list their ends later, so they count for nothing until the worker or its next incarnation is heard.
 */

#include "Cell.h"

#include "Job.h"
#include "LossEvidence.h"

#include <algorithm>

namespace cicada {

namespace {

    /** A task that was lost this often without any of it being explained waits before it starts again. It is given up
     * if each time the worker restarted after the run had just begun, however late that showed. */
    constexpr size_t maxUnexplained = 5;
    constexpr absl::Duration holdTime = absl::Seconds(10);
    /** How long a task waits for what became of a worker whose end closed its connections when the task had just begun:
     * most that crash are back by then. */
    constexpr absl::Duration timeToReturn = absl::Seconds(3);
    /** For how long restarts that showed too late are held against a task. */
    constexpr absl::Duration restartsKeptFor = absl::Minutes(10);

    /** Whether the worker restarted too late to tell, and was last heard when the run had just begun. */
    bool isRestartAfterStart(const RunEvidence& run)
    {
        return run.kind == EvidenceKind::LateRestart && run.knownAtWorkMillis >= 0
            && run.knownAtWorkMillis <= absl::ToInt64Milliseconds(CrashDelays::defaultLimit);
    }

} // namespace

void Cell::recordUndecided(CellWorker& worker, const IncarnationLoss& loss)
{
    const Instant now = loss.foundAt;
    CrashedWorker lost { worker.listed.incarnation.id, std::min(worker.silentSince, now), now, false,
        worker.isolatedRuns > 0, {} };
    // The runs of a draining worker end with it as announced.
    if (worker.listed.isDraining)
        return;
    recordAges(worker);
    for (auto& [run, allocation] : worker.allocations) {
        if (allocation.evidence)
            continue;
        const LostRun facts = lostRunOf(runOn(worker, run, allocation));
        allocation.crash = crashedRunOf(facts);
        if (allocation.crash == CrashedRun::None)
            continue;
        allocation.evidence = std::make_shared<RunEvidence>(evidenceOf(
            EvidenceKind::Undecided, runOn(worker, run, allocation), loss, m_parts.timers.clock(), m_term.token));
        const CellJob* job = findJob(run.task.job);
        const CellTask* task = job ? m_jobs[run.task.job]->find(run.task) : nullptr;
        const bool isCurrent = task && task->run == run.run;
        worker.undecidedRuns.push_back({ run, allocation, worker.leaseUntil(allocation), now,
            isCurrent ? task->workerStarted : worker.startedUnixMillis });
        lost.jobs.insert(run.task.job);
        m_parts.log.write("run-undecided", "run", describeRun(run), "worker", lost.worker, "why", loss.source, "listed",
            worker.isListed, "confirmed", facts.wasConfirmed, "silentMs",
            absl::ToInt64Milliseconds(now - lost.silentSince), "leaseUntil", allocation.evidence->leaseUntilUnixMillis);
        m_parts.metrics.count("cicada_runs_undecided");
    }
    if (!lost.jobs.empty())
        m_crashLog.record(std::move(lost));
}

void Cell::explainUndecided(CellWorker& worker)
{
    for (const UndecidedRun& lost : std::exchange(worker.undecidedRuns, {})) {
        m_parts.log.write("run-decided", "run", describeRun(lost.run), "worker", worker.listed.incarnation.id,
            "verdict", "worker-lived-on");
        m_parts.metrics.count("cicada_runs_decided{verdict=\"worker-lived-on\"}");
        CellJob* job = findJob(lost.run.task.job);
        CellTask* task = job ? job->find(lost.run.task) : nullptr;
        if (!task || !removeEvidence(task->evidence, lost.run.run))
            continue;
        letStepGoOn(*job, lost.run.task);
    }
}

void Cell::settleInherited(CellWorker& worker)
{
    const bool hasRestarted = std::any_of(worker.undecidedRuns.begin(), worker.undecidedRuns.end(),
        [&](const auto& lost) { return lost.workerStarted != 0 && lost.workerStarted != worker.startedUnixMillis; });
    if (hasRestarted)
        return decideUndecided(worker,
            lossOf(worker, restartedBeforeHeard, { worker.startedUnixMillis, std::nullopt }, m_parts.timers.clock()));
    explainUndecided(worker);
}

void Cell::decideUndecided(CellWorker& worker, const IncarnationLoss& loss)
{
    for (UndecidedRun& lost : std::exchange(worker.undecidedRuns, {})) {
        const bool wasConfirmed = lost.allocation.wasConfirmed || lost.allocation.wasListed;
        // Whether a start without a reply arrived can't be told any more.
        const bool hasCrashed
            = wasConfirmed && (loss.hasEndedBy(lost.leaseUntil) || hasClosedSoon(*lost.allocation.evidence));
        const absl::string_view verdict = hasCrashed ? "crashed" : "restarted-late";
        CellJob* job = findJob(lost.run.task.job);
        const CellTask* task = job ? job->find(lost.run.task) : nullptr;
        const bool isHeldAgainstTask = task && !job->isMoving && task->stage != TaskStage::Finished;
        m_parts.log.write("run-decided", "run", describeRun(lost.run), "worker", worker.listed.incarnation.id,
            "verdict", verdict, "held", isHeldAgainstTask, "nextStart", loss.nextStartUnixMillis, "leaseUntil",
            lost.allocation.evidence->leaseUntilUnixMillis);
        m_parts.metrics.count(absl::StrCat("cicada_runs_decided{verdict=\"", verdict, "\"}"));
        if (!isHeldAgainstTask)
            continue;
        RunEvidence evidence = *lost.allocation.evidence;
        evidence.kind = hasCrashed ? EvidenceKind::Crash : EvidenceKind::LateRestart;
        evidence.source = std::string(loss.source);
        evidence.nextStartUnixMillis = loss.nextStartUnixMillis;
        lost.allocation.crash = hasCrashed ? CrashedRun::Counted : CrashedRun::LateRestart;
        lost.allocation.evidence = std::make_shared<RunEvidence>(std::move(evidence));
        if (hasCrashed) {
            ++job->crashedWorkers;
            job->crashedAt = loss.foundAt;
        }
        letStepGoOn(*job, lost.run.task);
        recordRunCrash(*job, lost.run, worker, lost.allocation);
    }
}

void Cell::letStepGoOn(CellJob& job, const TaskName& name)
{
    CellStep& step = job.step({ name.occurrence, name.step });
    step.notBefore = std::min(step.notBefore, m_parts.timers.clock().now());
    schedulePlacement();
}

void Cell::boundRestarts(CellJob& job, const TaskName& name)
{
    const CellTask& task = *job.find(name);
    // A service is started again however it ends.
    if (job.spec.steps[name.step].isService)
        return;
    const int64_t since = m_parts.timers.clock().wallMicros() / 1000 - absl::ToInt64Milliseconds(followedFor);
    const auto unexplained = std::count_if(task.evidence.begin(), task.evidence.end(),
        [&](const RunEvidence& run) { return run.kind != EvidenceKind::Failed && run.foundUnixMillis >= since; });
    const RunEvidence& last = task.evidence.back();
    if (last.kind == EvidenceKind::Undecided && hasClosedSoon(last))
        delayStep(job, name, timeToReturn);
    if (last.kind == EvidenceKind::LateRestart && countRestarts(job, name))
        return giveUp(job, name, task.crashes());
    if (unexplained >= static_cast<ptrdiff_t>(maxUnexplained))
        delayStep(job, name, holdTime);
}

bool Cell::countRestarts(CellJob& job, const TaskName& name)
{
    const CellTask& task = *job.find(name);
    const int64_t since = m_parts.timers.clock().wallMicros() / 1000 - absl::ToInt64Milliseconds(restartsKeptFor);
    std::vector<uint32_t> restarts;
    for (const RunEvidence& run : task.evidence) {
        if (run.foundUnixMillis >= since && isRestartAfterStart(run))
            restarts.push_back(run.run);
    }
    const size_t limit = std::max<size_t>(maxUnexplained, m_parts.bounds.crashes.maxCrashes);
    if (task.crashedRuns.size() + restarts.size() < limit)
        return false;
    for (const uint32_t run : restarts)
        job.recordCrash({ name, run }, CrashedRun::Counted);
    return true;
}

void Cell::delayStep(CellJob& job, const TaskName& name, absl::Duration delay)
{
    CellStep& step = job.step({ name.occurrence, name.step });
    step.notBefore = std::max(step.notBefore, m_parts.timers.clock().now() + delay);
    m_parts.log.write("step-held-back", "task", describeTask(name), "forMs", absl::ToInt64Milliseconds(delay));
    m_parts.metrics.count("cicada_steps_held_back");
    m_parts.timers.after(delay, guarded([this] { schedulePlacement(); }));
}

bool Cell::hasLatelyLostRuns(const CellTask& task) const
{
    const int64_t now = m_parts.timers.clock().wallMicros() / 1000;
    return task.hasLostRunsSince(now - absl::ToInt64Milliseconds(followedFor));
}

bool Cell::takeBackCrash(CellJob& job, const TaskRun& run, const CellWorker& worker)
{
    // An ended job can't come back, and what it was failed for stays in its record.
    if (isEnded(job.phase) || !job.takeBackCrash(run))
        return false;
    m_parts.log.write("crash-taken-back", "run", describeRun(run), "worker", worker.listed.incarnation.id, "crashes",
        job.find(run.task)->crashes());
    m_parts.metrics.count("cicada_crashes_taken_back");
    return true;
}

} // namespace cicada
