/** \file
 * The part of Cell that counts the crashes of workers under each task, and gives up tasks that crash one worker after
 * another. The count is part of the job's run record, and stored as soon as it changes. Until then the record shows a
 * run on an incarnation that has ended, from which a successor may learn of the crash. So each crash counts once,
 * whoever owns the cell.
 */

#include "Cell.h"

#include "LossEvidence.h"

#include "absl/strings/str_join.h"

#include <algorithm>

namespace cicada {

namespace {

    /** So many other workers that went away at the same time point to a cause outside the tasks. */
    constexpr size_t minSimultaneous = 2;
    /** One in so many of the workers, as in a rack or behind a cut, points to it whatever had just begun. */
    constexpr size_t massLossPart = 8;
    /** A service that has been at work for this long does not crash its worker by being started. */
    constexpr absl::Duration serviceProvenAfter = absl::Seconds(60);
    /** Names of jobs in one line of the log. */
    constexpr size_t maxLoggedJobs = 20;

    /** A task that has been at work for this long does not crash its worker before that replies. */
    constexpr absl::Duration maxStartTime = absl::Seconds(1);

    EvidenceKind kindOf(CrashedRun crash)
    {
        switch (crash) {
        case CrashedRun::Counted:
            return EvidenceKind::Crash;
        case CrashedRun::Possible:
            return EvidenceKind::PossibleCrash;
        case CrashedRun::LateRestart:
            return EvidenceKind::LateRestart;
        case CrashedRun::None:
        case CrashedRun::Undecided:
            break;
        }
        return EvidenceKind::Undecided;
    }

    /** How much is known of the run's start, for logs. */
    absl::string_view startName(const RunAllocation& allocation)
    {
        if (allocation.wasConfirmed || allocation.wasListed)
            return "confirmed";
        if (allocation.isInherited)
            return "intended-by-former-owner";
        return allocation.isStarting ? "reply-outstanding" : "unanswered";
    }

    /** For logs; -1 if infinite. */
    int64_t millisOf(absl::Duration age)
    {
        return age == absl::InfiniteDuration() ? -1 : absl::ToInt64Milliseconds(age);
    }

} // namespace

int64_t Cell::listedStartAtAddressOf(const CellWorker& worker) const
{
    const Endpoint& address = worker.listed.incarnation.address;
    for (const auto& [id, other] : m_workers) {
        const Endpoint& at = other.listed.incarnation.address;
        if (&other != &worker && other.isListed && at.host == address.host && at.port == address.port)
            return other.listed.startedUnixMillis;
    }
    return 0;
}

RunOnWorker Cell::runOn(const CellWorker& worker, const TaskRun& run, const RunAllocation& allocation)
{
    CellJob* job = findJob(run.task.job);
    const CellTask* task = job ? job->find(run.task) : nullptr;
    return { worker, allocation, run.run, task && task->run == run.run ? task : nullptr };
}

void Cell::recordWorkerCrash(CellWorker& worker, const IncarnationLoss& loss)
{
    // The runs of a draining worker end with it as announced; that is no crash.
    if (worker.listed.isDraining)
        return;
    const Instant now = m_parts.timers.clock().now();
    CrashedWorker crash { worker.listed.incarnation.id, std::min(worker.silentSince, now), now, loss.hasRestarted,
        worker.isolatedRuns > 0, {} };
    size_t runs = 0;
    recordAges(worker);
    for (auto& [run, allocation] : worker.allocations) {
        // What has been decided stays so while the list of the next incarnation is awaited.
        if (allocation.evidence)
            continue;
        const RunOnWorker onWorker = runOn(worker, run, allocation);
        LostRun lost = lostRunOf(onWorker);
        lost.hasRestarted = loss.hasRestarted;
        RunEvidence evidence
            = evidenceOf(EvidenceKind::Undecided, onWorker, loss, m_parts.timers.clock(), m_term.token);
        lost.endedUnderLease = loss.hasEndedBy(worker.leaseUntil(allocation)) || hasClosedSoon(evidence);
        allocation.crash = wasOrderedAfter(onWorker, loss) ? CrashedRun::None : crashedRunOf(lost);
        if (allocation.crash == CrashedRun::None)
            continue;
        evidence.kind = kindOf(allocation.crash);
        allocation.evidence = std::make_shared<RunEvidence>(std::move(evidence));
        if (allocation.crash == CrashedRun::LateRestart)
            continue;
        crash.jobs.insert(run.task.job);
        ++runs;
    }
    if (runs == 0)
        return;
    const bool isNoted = crash.wasIsolated && worker.failedSyncs > 0;
    if (!isNoted)
        recordCrashOfQueues(worker);
    for (const std::string& id : crash.jobs) {
        CellJob* job = findJob(id);
        if (!job)
            continue;
        ++job->crashedWorkers;
        job->crashedAt = now;
    }
    const std::vector<std::string> named(
        crash.jobs.begin(), std::next(crash.jobs.begin(), std::min<ptrdiff_t>(maxLoggedJobs, crash.jobs.size())));
    m_parts.log.write("worker-crashed", "worker", crash.worker, "why", loss.source, "listed", worker.isListed, "runs",
        runs, "jobs", crash.jobs.size(), "isolated", crash.wasIsolated, "silentMs",
        absl::ToInt64Milliseconds(now - crash.silentSince), "heardMs",
        absl::ToInt64Milliseconds(now - worker.lastReplyAt), "nextStart", loss.nextStartUnixMillis, "named",
        absl::StrJoin(named, ","));
    m_parts.metrics.count("cicada_worker_crashes");
    const bool maySuspectQueue = !crash.wasIsolated && worker.failedSyncs > 0;
    m_crashLog.record(std::move(crash));
    if (maySuspectQueue)
        recordSuspectedCrash(worker);
}

std::vector<RunAge> Cell::agesOn(const CellWorker& worker)
{
    const Instant silentAt = std::min(worker.silentSince, m_parts.timers.clock().now());
    std::vector<RunAge> ages;
    for (const auto& [run, allocation] : worker.allocations) {
        CellJob* job = findJob(run.task.job);
        const CellTask* task = job ? job->find(run.task) : nullptr;
        // When a former owner started a run is not known.
        const bool isKnown = task && task->run == run.run && allocation.wasSent && !allocation.isInherited
            && task->startedAt > absl::ZeroDuration() && task->startedAt <= silentAt;
        if (isKnown)
            ages.push_back({ &run, job, silentAt - task->startedAt });
    }
    return ages;
}

void Cell::recordAges(CellWorker& worker)
{
    const std::vector<RunAge> ages = agesOn(worker);
    for (auto& [run, allocation] : worker.allocations) {
        RunAges& atCrash = allocation.agesAtCrash;
        atCrash = {};
        for (const RunAge& other : ages) {
            if (*other.run == run)
                atCrash.own = other.age;
            else if (other.run->task.job != run.task.job && !hasPassedTrial(*other.job))
                atCrash.youngestOther = std::min(atCrash.youngestOther, other.age);
        }
    }
}

void Cell::recordInheritedCrash(CellWorker& worker)
{
    const bool hasRestarted = std::any_of(worker.allocations.begin(), worker.allocations.end(), [&](const auto& item) {
        const auto& [run, allocation] = item;
        CellJob* job = findJob(run.task.job);
        const CellTask* task = job ? job->find(run.task) : nullptr;
        return allocation.isInherited && task && task->run == run.run && task->workerStarted != 0
            && worker.startedUnixMillis != 0 && task->workerStarted != worker.startedUnixMillis;
    });
    if (hasRestarted)
        recordWorkerCrash(worker,
            lossOf(worker, restartedBeforeHeard, { worker.startedUnixMillis, std::nullopt }, m_parts.timers.clock()));
}

WorkerCrash Cell::crashAsSeenBy(const std::string& job, const std::string& worker) const
{
    const CrashedWorker* crash = m_crashLog.lastOf(worker);
    if (!crash || !crash->isCertain)
        return { false, true };
    const auto silentOthers = std::count_if(m_workers.begin(), m_workers.end(), [&](const auto& item) {
        const CellWorker& other = item.second;
        return item.first != worker && other.failedSyncs > 0
            && CrashLog::isSameTime(other.silentSince, crash->silentSince) && other.isolatedRuns == 0
            && !other.allocations.empty() && !other.runsJob(job);
    });
    const size_t others = m_crashLog.othersAtSameTime(*crash, job) + static_cast<size_t>(silentOthers);
    const bool isSimultaneous = others >= minSimultaneous;
    const auto listed = static_cast<size_t>(
        std::count_if(m_workers.begin(), m_workers.end(), [](const auto& item) { return item.second.isListed; }));
    const bool isMassLoss = isSimultaneous && (others + 1) * massLossPart >= listed;
    return { crash->jobs.size() == 1, isSimultaneous, false, isMassLoss };
}

void Cell::recordRunCrash(CellJob& job, const TaskRun& run, const CellWorker& worker, const RunAllocation& lost)
{
    if (lost.crash == CrashedRun::None || isEnded(job.phase))
        return;
    const Instant now = m_parts.timers.clock().now();
    CellTask& task = *job.find(run.task);
    const bool isProven = job.spec.steps[run.task.step].isService && task.startedAt > absl::ZeroDuration()
        && now - task.startedAt >= serviceProvenAfter;
    if (isProven)
        task.forgetCrashes();
    if (lost.evidence)
        addEvidence(task.evidence, *lost.evidence);
    if (lost.crash == CrashedRun::Undecided || lost.crash == CrashedRun::LateRestart)
        return boundRestarts(job, run.task);
    const std::string& id = worker.listed.incarnation.id;
    WorkerCrash crash = crashAsSeenBy(job.spec.id, id);
    crash.isSoonAfterStart = m_crashDelays.isSoonAfterStart(lost.agesAtCrash, now);
    const bool isCounted = lost.crash == CrashedRun::Counted;
    // Where a large part of the workers went away, a start that may not have reached its worker says nothing.
    const bool isPossible = lost.crash == CrashedRun::Possible && !crash.isMassLoss;
    task.agesAtLastCrash = lost.agesAtCrash;
    if (isCounted && lost.agesAtCrash.own < absl::InfiniteDuration())
        forgetPossibleCrashes(task, run, lost.agesAtCrash.own);
    const bool isNew = (isCounted || isPossible) && job.recordCrash(run, lost.crash);
    // The next owner could not tell any more whether the lease lasted.
    if (isNew)
        storeRuns(job, nullptr);
    if (!isCounted && !isPossible)
        removeEvidence(task.evidence, run.run);
    if (isNew && isCounted)
        task.agesAtCrashes.push_back(lost.agesAtCrash);
    if (isCounted && crash.ranOneJob && !crash.hasOtherCause())
        m_crashDelays.record(lost.agesAtCrash, now);
    const bool isDeadlyWorkKnown = m_deadlyWorkKnownUntil > now;
    const TaskCrashes crashes = m_suspects.crashesOf(task);
    const CrashVerdict verdict = crashVerdict(
        isCounted || isPossible ? crashes : TaskCrashes {}, crash, isDeadlyWorkKnown, m_parts.bounds.crashes);
    m_parts.log.write("run-crashed", "run", describeRun(run), "worker", id, "queue", job.policy.queue, "crashes",
        crashes.all, "unexplained", crashes.unexplained, "possible", crashes.possible, "counted", isCounted, "start",
        startName(lost), "source", lost.evidence ? lost.evidence->source : "", "leaseUntil",
        lost.evidence ? lost.evidence->leaseUntilUnixMillis : 0, "nextStart",
        lost.evidence ? lost.evidence->nextStartUnixMillis : 0, "alone", crash.ranOneJob, "simultaneous",
        crash.isSimultaneous, "ageMs", millisOf(lost.agesAtCrash.own), "youngestOtherMs",
        millisOf(lost.agesAtCrash.youngestOther), "verdict", crashVerdictName(verdict));
    m_parts.metrics.count(absl::StrCat("cicada_runs_crashed{verdict=\"", crashVerdictName(verdict), "\"}"));
    if (verdict == CrashVerdict::Suspect) {
        task.isSuspect = true;
        m_suspectJobs.insert(job.spec.id);
    }
    if (verdict == CrashVerdict::GiveUp)
        giveUp(job, run.task, task.crashes());
}

void Cell::forgetPossibleCrashes(CellTask& task, const TaskRun& run, absl::Duration atWork)
{
    if (task.possiblyCrashedRuns.empty() || atWork < maxStartTime)
        return;
    m_parts.log.write("possible-crashes-refuted", "run", describeRun(run), "possible", task.possiblyCrashedRuns.size());
    m_parts.metrics.count("cicada_possible_crashes_refuted", task.possiblyCrashedRuns.size());
    task.forgetPossibleCrashes();
}

void Cell::giveUp(CellJob& job, const TaskName& task, uint32_t crashes)
{
    const Instant now = m_parts.timers.clock().now();
    m_deadlyWorkKnownUntil = now + CrashLog::retention;
    m_probation.recordGivenUp(job.policy.queue, job.acceptedAt);
    job.givenUpFor = task;
    m_parts.log.write("job-given-up", "job", job.spec.id, "task", describeTask(task), "queue", job.policy.queue,
        "account", job.spec.account, "crashes", crashes, "limit", m_parts.bounds.crashes.maxCrashes);
    m_parts.metrics.count("cicada_jobs_given_up");
    logEvidence(m_parts.log, job.spec.id, evidenceAtEnd(job));
    endJob(job, JobPhase::Failed, absl::StrCat("crashed-", crashes, "-workers"));
}

} // namespace cicada
