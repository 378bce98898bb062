#include "CellJob.h"

#include "Pack.h"
#include "TaskRows.h"

#include <algorithm>
#include <utility>

namespace cicada {

namespace {

    constexpr absl::string_view transferMark = "moved";

    using StepFields = std::tuple<uint32_t, int64_t, int64_t, int64_t, int64_t, std::vector<uint32_t>, uint32_t,
        std::string, std::string, uint32_t, std::string, int64_t, uint32_t>;
    using Internal::EvidenceFields;
    using Internal::TaskFields;
    using Internal::TaskTable;
    /** A gang's occurrence and step, its last failed run, and all of them, which records of former versions lack. A row
     * with a queue belongs to no gang: the record of an ended job has one that says whose the job's id is. Former
     * versions read past it. */
    using GangFields = std::tuple<uint32_t, uint32_t, uint32_t, std::vector<uint32_t>, std::string>;
    /** A record keeps the evidence of so many runs; of the others it keeps what counts. */
    constexpr size_t maxEvidencePerRecord = 500;
    /** Stands for a failed run of which only the number of attempts is known. */
    constexpr uint32_t unknownRun = 0;
    using PolicyFields = std::tuple<std::string, std::string, uint32_t, uint32_t, double, int64_t, int64_t, bool,
        double, double, int64_t>;

    enum StepFlag : uint32_t {
        SavesCheckpoints = 1,
        Gang = 2,
        OneRack = 4,
        Speculative = 8,
        IsService = 16,
        IdleProcessors = 32
    };

    /** State of a task in the run record. */
    enum StoredTask : uint32_t { StoredWaiting = 0, StoredActive = 1, StoredFinished = 2 };

    uint32_t flagsOf(const StepSpec& step)
    {
        return (step.savesCheckpoints ? SavesCheckpoints : 0u) | (step.isGang ? Gang : 0u)
            | (step.prefersOneRack ? OneRack : 0u) | (step.isSpeculative ? Speculative : 0u)
            | (step.isService ? IsService : 0u) | (step.usesIdleProcessors ? IdleProcessors : 0u);
    }

    StepFields pack(const StepSpec& step)
    {
        return { step.taskCount, step.demand.cpuMillis, step.demand.memoryMiB, step.demand.accelerators,
            absl::ToInt64Milliseconds(step.estimate), step.after, flagsOf(step), step.requiredLabel, step.dataRack,
            step.maxPerWorker, step.image, absl::ToInt64Milliseconds(step.latencyTarget), step.maxUnavailable };
    }

    StepSpec unpack(const StepFields& fields)
    {
        StepSpec step;
        int64_t estimate = 0;
        int64_t target = 0;
        uint32_t flags = 0;
        std::tie(step.taskCount, step.demand.cpuMillis, step.demand.memoryMiB, step.demand.accelerators, estimate,
            step.after, flags, step.requiredLabel, step.dataRack, step.maxPerWorker, step.image, target,
            step.maxUnavailable)
            = fields;
        step.estimate = absl::Milliseconds(estimate);
        step.latencyTarget = absl::Milliseconds(target);
        step.savesCheckpoints = flags & SavesCheckpoints;
        step.isGang = flags & Gang;
        step.prefersOneRack = flags & OneRack;
        step.isSpeculative = flags & Speculative;
        step.isService = flags & IsService;
        step.usesIdleProcessors = flags & IdleProcessors;
        return step;
    }

    PolicyFields pack(const QueuePolicy& policy)
    {
        return { policy.queue, policy.service, policy.priority, policy.maxAttempts, policy.stretch,
            absl::ToInt64Milliseconds(policy.latencyTarget), absl::ToInt64Milliseconds(policy.callTimeout),
            policy.advice.isNeeded, absl::ToDoubleMilliseconds(policy.advice.perCall),
            absl::ToDoubleMilliseconds(policy.advice.perWorker), absl::ToInt64Milliseconds(policy.advice.validity) };
    }

    QueuePolicy unpack(const PolicyFields& fields)
    {
        QueuePolicy policy;
        int64_t target = 0;
        int64_t timeout = 0;
        int64_t validity = 0;
        double perCall = 0;
        double perWorker = 0;
        std::tie(policy.queue, policy.service, policy.priority, policy.maxAttempts, policy.stretch, target, timeout,
            policy.advice.isNeeded, perCall, perWorker, validity)
            = fields;
        policy.latencyTarget = absl::Milliseconds(target);
        policy.callTimeout = absl::Milliseconds(timeout);
        policy.advice.perCall = absl::Milliseconds(perCall);
        policy.advice.perWorker = absl::Milliseconds(perWorker);
        policy.advice.validity = absl::Milliseconds(validity);
        return policy;
    }

    std::vector<EvidenceFields> pack(absl::Span<const RunEvidence> all)
    {
        std::vector<EvidenceFields> packed;
        for (const RunEvidence& evidence : all)
            packed.emplace_back(evidence.run, static_cast<uint32_t>(evidence.kind), evidence.worker, evidence.source,
                evidence.orderedUnixMillis, evidence.leaseUntilUnixMillis, evidence.nextStartUnixMillis,
                evidence.foundUnixMillis, evidence.knownAtWorkMillis, evidence.closedAfterMillis, evidence.token,
                evidence.sequence);
        return packed;
    }

    std::vector<RunEvidence> unpack(absl::Span<const EvidenceFields> all)
    {
        std::vector<RunEvidence> unpacked;
        for (const EvidenceFields& fields : all) {
            RunEvidence evidence;
            uint32_t kind = 0;
            std::tie(evidence.run, kind, evidence.worker, evidence.source, evidence.orderedUnixMillis,
                evidence.leaseUntilUnixMillis, evidence.nextStartUnixMillis, evidence.foundUnixMillis,
                evidence.knownAtWorkMillis, evidence.closedAfterMillis, evidence.token, evidence.sequence)
                = fields;
            evidence.kind = static_cast<EvidenceKind>(kind);
            unpacked.push_back(std::move(evidence));
        }
        return unpacked;
    }

    /** Whether the run record of the ended job keeps the evidence of the task: it is why the job failed. */
    bool isWhyFailed(const CellJob& job, const TaskName& name)
    {
        if (job.givenUpFor)
            return *job.givenUpFor == name;
        if (!job.exhaustedTask || job.exhaustedTask->occurrence != name.occurrence
            || job.exhaustedTask->step != name.step)
            return false;
        // The failures of a gang's members count together.
        return job.spec.steps[name.step].isGang || *job.exhaustedTask == name;
    }

    std::vector<uint32_t> joined(std::vector<uint32_t> a, const std::vector<uint32_t>& b)
    {
        a.insert(a.end(), b.begin(), b.end());
        return a;
    }

    bool mayCount(const RunEvidence& run)
    {
        return run.kind != EvidenceKind::Undecided && run.kind != EvidenceKind::LateRestart;
    }

    /** What a record keeps of the evidence: where a job has much of it, only what may count. */
    std::vector<RunEvidence> keptEvidence(const CellTask& task, bool isMuch)
    {
        if (!isMuch)
            return task.evidence;
        std::vector<RunEvidence> kept;
        std::copy_if(task.evidence.begin(), task.evidence.end(), std::back_inserter(kept), mayCount);
        return kept;
    }

    size_t evidenceOf(const CellJob& job)
    {
        size_t runs = 0;
        for (const auto& steps : job.occurrences) {
            for (const CellStep& step : steps) {
                for (const CellTask& task : step.tasks)
                    runs += task.stage == TaskStage::Finished ? 0 : task.evidence.size();
            }
        }
        return runs;
    }

    std::vector<StepFields> packSteps(const Submission& spec)
    {
        std::vector<StepFields> steps;
        steps.reserve(spec.steps.size());
        for (const StepSpec& step : spec.steps)
            steps.push_back(pack(step));
        return steps;
    }

    uint32_t storedForm(const CellTask& task)
    {
        if (task.stage == TaskStage::Finished)
            return StoredFinished;
        return task.hasActiveRun() ? StoredActive : StoredWaiting;
    }

    Error malformed(absl::string_view what)
    {
        return Error { ErrorKind::MalformedMessage, absl::StrCat("The stored ", what, " can't be read."),
            "Check whether another program writes below the same prefix of the store." };
    }

    /** What a run record holds. */
    struct RunRecord {
        uint32_t phase = 0;
        int64_t endedUnixMillis = 0;
        std::vector<TaskFields> tasks;
        std::vector<GangFields> gangs;
        bool hasBegun = false;
    };

    std::string encodeAsTable(const RunRecord& record)
    {
        const TaskTable table = Internal::makeTaskTable(record.tasks);
        return Internal::packFields(record.phase, record.endedUnixMillis, table.workers, table.states, table.ranges,
            record.gangs, record.hasBegun);
    }

    std::string encode(RunRecord record)
    {
        std::string rows
            = Internal::packFields(record.phase, record.endedUnixMillis, record.tasks, record.gangs, record.hasBegun);
        if (rows.size() <= maxRunRecordBytes)
            return rows;
        std::string table = encodeAsTable(record);
        if (table.size() <= maxRunRecordBytes)
            return table;
        for (TaskFields& task : record.tasks) {
            if (std::get<3>(task) == StoredActive)
                std::get<8>(task).clear();
        }
        return encodeAsTable(record);
    }

    Result<RunRecord> decode(absl::string_view bytes)
    {
        RunRecord record;
        const auto asRows = Internal::unpackFields(
            bytes, "run record", record.phase, record.endedUnixMillis, record.tasks, record.gangs, record.hasBegun);
        if (!asRows) {
            TaskTable table;
            BOOST_OUTCOME_TRY(Internal::unpackFields(bytes, "run record", record.phase, record.endedUnixMillis,
                table.workers, table.states, table.ranges, record.gangs, record.hasBegun));
            BOOST_OUTCOME_TRY(rows, Internal::rowsOf(table));
            record.tasks = std::move(rows);
        }
        if (record.phase > static_cast<uint32_t>(JobPhase::Cancelled))
            return malformed("run record");
        return record;
    }

    void restore(CellTask& task, const TaskFields& fields, std::vector<uint32_t>& failedRuns)
    {
        uint32_t form = StoredWaiting;
        uint32_t ignored = 0;
        uint32_t failures = 0;
        std::vector<uint32_t> ownFailedRuns;
        std::vector<EvidenceFields> evidence;
        std::tie(ignored, ignored, ignored, form, task.run, failures, task.worker, task.workerStarted, task.checkpoint,
            ownFailedRuns, task.crashedRuns, task.possiblyCrashedRuns, evidence, task.orderedUnixMillis)
            = fields;
        task.evidence = unpack(evidence);
        task.isSuspect = task.crashes() > 0;
        if (failedRuns.empty())
            failedRuns = std::move(ownFailedRuns);
        if (failedRuns.size() < failures)
            failedRuns.resize(failures, unknownRun);
        task.stage = form == StoredFinished ? TaskStage::Finished
            : form == StoredActive          ? TaskStage::Starting
                                            : TaskStage::Waiting;
    }

    /** Former builds stored one for each member, which could differ; any of them is valid for all. */
    void restoreGangCheckpoint(CellJob& job, const TaskName& name)
    {
        if (!job.spec.steps[name.step].isGang)
            return;
        const std::string stored = std::exchange(job.find(name)->checkpoint, std::string());
        if (job.checkpointOf(name).empty())
            job.recordCheckpoint(name, stored, absl::ZeroDuration());
    }

} // namespace

absl::string_view jobPhaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Queued:
        return "queued";
    case JobPhase::Running:
        return "running";
    case JobPhase::Finished:
        return "finished";
    case JobPhase::Failed:
        return "failed";
    case JobPhase::Cancelled:
        return "cancelled";
    }
    return "queued";
}

bool CellTask::hasCrashed(uint32_t number) const
{
    const auto isIn = [number](const std::vector<uint32_t>& runs) {
        return std::find(runs.begin(), runs.end(), number) != runs.end();
    };
    return isIn(crashedRuns) || isIn(possiblyCrashedRuns);
}

bool CellTask::hasLostRunsSince(int64_t unixMillis) const
{
    return std::any_of(evidence.begin(), evidence.end(), [unixMillis](const RunEvidence& lost) {
        return lost.kind != EvidenceKind::Failed && lost.foundUnixMillis >= unixMillis;
    });
}

void CellTask::forgetPossibleCrashes()
{
    for (const uint32_t lost : possiblyCrashedRuns)
        removeEvidence(evidence, lost);
    possiblyCrashedRuns.clear();
}

void CellTask::forgetCrashes()
{
    crashedRuns.clear();
    possiblyCrashedRuns.clear();
    agesAtCrashes.clear();
    const auto isLost = [](const RunEvidence& lost) { return lost.kind != EvidenceKind::Failed; };
    evidence.erase(std::remove_if(evidence.begin(), evidence.end(), isLost), evidence.end());
}

absl::flat_hash_map<std::string, uint32_t> CellStep::activeRunsByWorker() const
{
    absl::flat_hash_map<std::string, uint32_t> counts;
    for (const CellTask& task : tasks) {
        if (task.hasActiveRun())
            ++counts[task.worker];
    }
    return counts;
}

CellTask* CellJob::find(const TaskName& name)
{
    if (name.occurrence >= occurrences.size() || name.step >= occurrences[name.occurrence].size())
        return nullptr;
    auto& tasks = occurrences[name.occurrence][name.step].tasks;
    return name.index < tasks.size() ? &tasks[name.index] : nullptr;
}

const std::vector<uint32_t>& CellJob::failedRunsOf(const TaskName& name) const
{
    const CellStep& step = occurrences[name.occurrence][name.step];
    return spec.steps[name.step].isGang ? step.failedRuns : step.tasks[name.index].failedRuns;
}

std::vector<uint32_t>& CellJob::failedRunsOf(const TaskName& name)
{
    CellStep& step = occurrences[name.occurrence][name.step];
    return spec.steps[name.step].isGang ? step.failedRuns : step.tasks[name.index].failedRuns;
}

uint32_t CellJob::failuresOf(const TaskName& name) const
{
    const CellStep& step = occurrences[name.occurrence][name.step];
    const bool isGang = spec.steps[name.step].isGang;
    return static_cast<uint32_t>(isGang ? step.failedRuns.size() : step.tasks[name.index].failedRuns.size());
}

bool CellJob::recordFailure(const TaskRun& run)
{
    std::vector<uint32_t>& failed = failedRunsOf(run.task);
    if (std::find(failed.begin(), failed.end(), run.run) != failed.end())
        return false;
    failed.push_back(run.run);
    return true;
}

bool CellJob::recordCrash(const TaskRun& run, CrashedRun crash)
{
    CellTask& task = *find(run.task);
    if (crash == CrashedRun::None || task.hasCrashed(run.run))
        return false;
    (crash == CrashedRun::Counted ? task.crashedRuns : task.possiblyCrashedRuns).push_back(run.run);
    return true;
}

const std::string& CellJob::checkpointOf(const TaskName& name) const
{
    const CellStep& step = occurrences[name.occurrence][name.step];
    return spec.steps[name.step].isGang ? step.checkpoint : step.tasks[name.index].checkpoint;
}

void CellJob::recordCheckpoint(const TaskName& name, const std::string& checkpoint, Instant listedAt)
{
    if (checkpoint.empty())
        return;
    CellStep& step = occurrences[name.occurrence][name.step];
    if (!spec.steps[name.step].isGang) {
        step.tasks[name.index].checkpoint = checkpoint;
        return;
    }
    // Lists are heard in any order, and members may save at slightly different times.
    if (listedAt < step.checkpointListedAt || checkpoint == step.formerCheckpoint)
        return;
    step.checkpointListedAt = listedAt;
    if (checkpoint == step.checkpoint)
        return;
    step.formerCheckpoint = std::exchange(step.checkpoint, checkpoint);
}

bool CellJob::takeBackCrash(const TaskRun& run)
{
    CellTask& task = *find(run.task);
    const auto isRun = [&run](uint32_t number) { return number == run.run; };
    const uint32_t before = task.crashes();
    for (std::vector<uint32_t>* runs : { &task.crashedRuns, &task.possiblyCrashedRuns })
        runs->erase(std::remove_if(runs->begin(), runs->end(), isRun), runs->end());
    if (task.crashes() == before)
        return false;
    removeEvidence(task.evidence, run.run);
    if (task.agesAtCrashes.size() > task.crashedRuns.size())
        task.agesAtCrashes.resize(task.crashedRuns.size());
    task.isSuspect = task.crashes() > 0;
    return true;
}

size_t CellJob::openSuspects() const
{
    const auto isOpenSuspect = [](const CellTask& task) { return task.isSuspect && task.stage != TaskStage::Finished; };
    ptrdiff_t count = 0;
    for (const auto& steps : occurrences) {
        for (const CellStep& step : steps)
            count += std::count_if(step.tasks.begin(), step.tasks.end(), isOpenSuspect);
    }
    return static_cast<size_t>(count);
}

StepTimes CellJob::timesOf(StepRef ref) const
{
    const std::vector<CellTask>& tasks = step(ref).tasks;
    const bool hasLostTask = stepSpec(ref).isService
        && std::any_of(tasks.begin(), tasks.end(),
            [](const CellTask& task) { return task.stage == TaskStage::Waiting && task.run > 0; });
    return { stepSpec(ref).isService, hasLostTask, step(ref).latestStart, isExcess, step(ref).lastUsefulStart };
}

double CellJob::workOfTask(StepRef ref) const
{
    return static_cast<double>(stepSpec(ref).demand.cpuMillis) * absl::ToDoubleMilliseconds(stepSpec(ref).estimate);
}

bool CellJob::allFinished() const
{
    for (const auto& steps : occurrences) {
        for (const CellStep& step : steps) {
            if (!step.isFinished())
                return false;
        }
    }
    return true;
}

absl::Duration CellJob::criticalPathFrom(uint32_t from) const
{
    // Steps depend on earlier ones only, so one pass from the last step covers every path.
    std::vector<absl::Duration> longest(spec.steps.size(), absl::ZeroDuration());
    for (size_t i = spec.steps.size(); i-- > from;) {
        longest[i] += spec.steps[i].estimate;
        for (const uint32_t earlier : spec.steps[i].after)
            longest[earlier] = std::max(longest[earlier], longest[i]);
    }
    return longest[from];
}

absl::Duration CellJob::criticalPath() const
{
    absl::Duration longest;
    for (uint32_t i = 0; i < spec.steps.size(); ++i)
        longest = std::max(longest, criticalPathFrom(i));
    return longest;
}

absl::Duration objectiveOf(const CellJob& job, const QueuePolicy& policy)
{
    return policy.stretch * job.criticalPath() + policy.latencyTarget;
}

std::unique_ptr<CellJob> makeCellJob(Submission spec, QueuePolicy policy, int64_t acceptedUnixMillis)
{
    auto job = std::make_unique<CellJob>();
    job->spec = std::move(spec);
    job->policy = std::move(policy);
    job->acceptedUnixMillis = acceptedUnixMillis;
    job->occurrences.resize(std::max(1u, job->spec.occurrences));
    for (auto& steps : job->occurrences) {
        steps.resize(job->spec.steps.size());
        for (size_t i = 0; i < steps.size(); ++i)
            steps[i].tasks.resize(job->spec.steps[i].taskCount);
    }
    return job;
}

std::string encodeSubmission(const Submission& spec, const QueuePolicy& policy)
{
    // Without an account the message is that of builds that know none, which can then read it.
    if (spec.account.empty())
        return Internal::packFields(spec.id, spec.payload, packSteps(spec), spec.occurrences, spec.startUnixMillis,
            spec.intervalMillis, pack(policy));
    return Internal::packFields(spec.id, spec.payload, packSteps(spec), spec.occurrences, spec.startUnixMillis,
        spec.intervalMillis, pack(policy), spec.account);
}

Result<void> decodeSubmission(absl::string_view bytes, Submission& spec, QueuePolicy& policy)
{
    std::vector<StepFields> steps;
    PolicyFields policyFields;
    const auto withAccount = Internal::unpackFields(bytes, "submission", spec.id, spec.payload, steps, spec.occurrences,
        spec.startUnixMillis, spec.intervalMillis, policyFields, spec.account);
    if (!withAccount) {
        spec.account.clear();
        BOOST_OUTCOME_TRY(Internal::unpackFields(bytes, "submission", spec.id, spec.payload, steps, spec.occurrences,
            spec.startUnixMillis, spec.intervalMillis, policyFields));
    }
    spec.steps.clear();
    for (const StepFields& step : steps)
        spec.steps.push_back(unpack(step));
    policy = unpack(policyFields);
    return checkSubmission(spec);
}

std::string encodeJobRecord(const CellJob& job)
{
    // Without an account the record is that of builds that know none, which can then read it.
    if (job.spec.account.empty())
        return Internal::packFields(job.acceptedUnixMillis, encodeSubmission(job.spec, job.policy));
    return Internal::packFields(job.acceptedUnixMillis, encodeSubmission(job.spec, job.policy), job.isExcess);
}

Result<std::unique_ptr<CellJob>> decodeJobRecord(absl::string_view id, absl::string_view bytes)
{
    int64_t accepted = 0;
    std::string submission;
    Submission spec;
    QueuePolicy policy;
    bool isExcess = false;
    if (!Internal::unpackFields(bytes, "job record", accepted, submission, isExcess)) {
        isExcess = false;
        BOOST_OUTCOME_TRY(Internal::unpackFields(bytes, "job record", accepted, submission));
    }
    BOOST_OUTCOME_TRY(decodeSubmission(submission, spec, policy));
    if (spec.id != id)
        return malformed("job record");
    auto job = makeCellJob(std::move(spec), std::move(policy), accepted);
    job->isExcess = isExcess;
    job->isStored = true;
    return job;
}

std::string encodeRunRecord(const CellJob& job)
{
    std::vector<TaskFields> tasks;
    std::vector<GangFields> gangs;
    size_t evidenceKept = 0;
    const bool hasMuchEvidence = evidenceOf(job) > maxEvidencePerRecord;
    // Of an ended job, the runs that may still be active count as its account's.
    const bool isOver = isEnded(job.phase);
    const bool keepsTasks = !isOver || !job.spec.account.empty() || job.givenUpFor || job.exhaustedTask;
    for (uint32_t k = 0; k < job.occurrences.size() && keepsTasks; ++k) {
        for (uint32_t s = 0; s < job.occurrences[k].size(); ++s) {
            const auto& all = job.occurrences[k][s].tasks;
            const std::vector<uint32_t>& failed = job.occurrences[k][s].failedRuns;
            if (!failed.empty() && !isOver)
                gangs.emplace_back(k, s, *std::max_element(failed.begin(), failed.end()), failed, std::string());
            for (uint32_t i = 0; i < all.size(); ++i) {
                const CellTask& task = all[i];
                const TaskName name { job.spec.id, k, s, i };
                const bool isActiveOfAccount = task.hasActiveRun() && !job.spec.account.empty();
                const bool isLeftOut = isOver ? !isActiveOfAccount && !isWhyFailed(job, name)
                                              : task.stage == TaskStage::Waiting && task.run == 0;
                if (isLeftOut)
                    continue;
                const bool hasFinished = task.stage == TaskStage::Finished;
                // Of an ended job, the crashes under a task say that it was given up for them.
                const bool keepsCrashes = !isOver || job.givenUpFor == name;
                const std::vector<uint32_t> none;
                const std::vector<RunEvidence> evidence
                    = hasFinished ? std::vector<RunEvidence>() : keptEvidence(task, hasMuchEvidence);
                const bool keepsEvidence = evidenceKept + evidence.size() <= maxEvidencePerRecord;
                evidenceKept += keepsEvidence ? evidence.size() : 0;
                tasks.emplace_back(k, s, i, storedForm(task), task.run, job.failuresOf(name),
                    hasFinished ? std::string() : task.worker, task.workerStarted,
                    hasFinished ? std::string() : job.checkpointOf(name), task.failedRuns,
                    keepsCrashes ? task.crashedRuns : none, keepsCrashes ? task.possiblyCrashedRuns : none,
                    keepsEvidence ? pack(evidence) : std::vector<EvidenceFields>(),
                    task.hasActiveRun() ? task.orderedUnixMillis : 0);
            }
        }
    }
    if (isOver)
        gangs.emplace_back(0, 0, 0, std::vector<uint32_t>(), job.policy.queue);
    return encode(
        { static_cast<uint32_t>(job.phase), job.endedUnixMillis, std::move(tasks), std::move(gangs), job.hasBegun });
}

Result<void> applyRunRecord(CellJob& job, absl::string_view bytes)
{
    BOOST_OUTCOME_TRY(record, decode(bytes));
    job.endedUnixMillis = record.endedUnixMillis;
    job.hasBegun = record.hasBegun;
    job.phase = static_cast<JobPhase>(record.phase);
    job.storedPhase = job.phase;
    for (const auto& [occurrence, step, lastFailedRun, failedRuns, queue] : record.gangs) {
        if (!queue.empty())
            continue;
        if (!job.find({ job.spec.id, occurrence, step, 0 }))
            return malformed("run record");
        std::vector<uint32_t>& kept = job.step({ occurrence, step }).failedRuns;
        kept = failedRuns;
        if (kept.empty())
            kept.push_back(lastFailedRun);
    }
    for (const TaskFields& fields : record.tasks) {
        const TaskName name { job.spec.id, std::get<0>(fields), std::get<1>(fields), std::get<2>(fields) };
        CellTask* task = job.find(name);
        if (!task)
            return malformed("run record");
        restore(*task, fields, job.failedRunsOf(name));
        restoreGangCheckpoint(job, name);
        if (task->stage == TaskStage::Finished)
            ++job.step({ name.occurrence, name.step }).finished;
        if (job.phase == JobPhase::Failed && task->stage == TaskStage::Waiting && task->crashes() > 0)
            job.givenUpFor = name;
        const bool hasFailedRuns = std::any_of(task->evidence.begin(), task->evidence.end(),
            [](const RunEvidence& run) { return run.kind == EvidenceKind::Failed; });
        if (job.phase == JobPhase::Failed && hasFailedRuns)
            job.exhaustedTask = name;
    }
    return success();
}

std::string encodeTransferMark(uint32_t cell) { return Internal::packFields(std::string(transferMark), cell); }

std::optional<uint32_t> transferMarkOf(absl::string_view bytes)
{
    std::string kind;
    uint32_t cell = 0;
    if (!Internal::unpackFields(bytes, "transfer mark", kind, cell) || kind != transferMark)
        return std::nullopt;
    return cell;
}

Result<EndedJob> endedJobOf(absl::string_view runRecord)
{
    BOOST_OUTCOME_TRY(record, decode(runRecord));
    EndedJob ended;
    ended.endedUnixMillis = record.endedUnixMillis;
    ended.phase = static_cast<JobPhase>(record.phase);
    if (!isEnded(ended.phase))
        return malformed("run record");
    for (const GangFields& row : record.gangs) {
        if (!std::get<4>(row).empty())
            ended.queue = std::get<4>(row);
    }
    for (const TaskFields& task : record.tasks) {
        const bool isActive = std::get<3>(task) == StoredActive;
        const auto crashes = static_cast<uint32_t>(std::get<10>(task).size() + std::get<11>(task).size());
        if (ended.phase != JobPhase::Failed || isActive)
            continue;
        ended.crashes = std::max(ended.crashes, crashes);
        const TaskName name { "", std::get<0>(task), std::get<1>(task), std::get<2>(task) };
        const std::vector<uint32_t> counted
            = crashes > 0 ? joined(std::get<10>(task), std::get<11>(task)) : std::get<9>(task);
        if (!std::get<12>(task).empty() || !counted.empty())
            ended.evidence.push_back({ name, unpack(std::get<12>(task)), counted });
    }
    return ended;
}

std::vector<TaskEvidence> evidenceAtEnd(const CellJob& job)
{
    std::vector<TaskEvidence> all;
    const std::optional<TaskName>& cause = job.givenUpFor ? job.givenUpFor : job.exhaustedTask;
    if (!cause)
        return all;
    const std::vector<CellTask>& tasks = job.step({ cause->occurrence, cause->step }).tasks;
    for (uint32_t i = 0; i < tasks.size(); ++i) {
        const TaskName name { job.spec.id, cause->occurrence, cause->step, i };
        const CellTask& task = tasks[i];
        const std::vector<uint32_t> counted
            = job.givenUpFor ? joined(task.crashedRuns, task.possiblyCrashedRuns) : job.failedRunsOf(name);
        if (isWhyFailed(job, name) && !(task.evidence.empty() && counted.empty()))
            all.push_back({ name, task.evidence, counted });
    }
    return all;
}

uint32_t crashesAtEnd(const CellJob& job)
{
    if (!job.givenUpFor)
        return 0;
    const TaskName& name = *job.givenUpFor;
    return job.step({ name.occurrence, name.step }).tasks[name.index].crashes();
}

} // namespace cicada
