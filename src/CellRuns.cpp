#include "Cell.h"

#include "Job.h"
#include "LossEvidence.h"

#include <algorithm>

namespace cicada {

namespace {

    /** A stop that had no reply, or whose run is still listed, is sent again after this delay. */
    constexpr absl::Duration stopRetryDelay = absl::Milliseconds(500);
    /** A start with less time left is not worth sending. */
    constexpr absl::Duration minStartLease = absl::Milliseconds(500);
    constexpr absl::Duration refusalDelay = absl::Milliseconds(100);
    constexpr absl::Duration malformedDelay = absl::Seconds(2);
    constexpr absl::Duration unhealthySuspension = absl::Seconds(1);
    constexpr double slowdownWeight = 0.15;
    /** A worker lists its runs at least every 1.5 s, and at once when one ends. With a longer gap, as after a pause of
     * this entry, the run may have ended long before it was listed. */
    constexpr absl::Duration maxListGap = absl::Milliseconds(2500);
    /** Bounds the number of series; further queues whose estimates are contradicted are only logged. */
    constexpr size_t maxQueuesWithMetric = 50;
    constexpr absl::Duration factorPublishInterval = absl::Seconds(1);

} // namespace

void Cell::sendStarts(const std::string& id, const std::vector<TaskRun>& runs, Instant intendedAt)
{
    CellJob* job = findJob(id);
    if (!job)
        return;
    for (auto& [unheard, batch] : batchesByUnheardWorkers(*job, runs)) {
        hearWorkers(unheard, [this, id, intendedAt, batch = std::move(batch)] {
            for (const TaskRun& run : batch) {
                if (CellJob* current = findJob(id))
                    sendStart(*current, run, intendedAt);
            }
        });
    }
}

Cell::StartBatches Cell::batchesByUnheardWorkers(CellJob& job, const std::vector<TaskRun>& runs)
{
    const bool isGang = !runs.empty() && job.spec.steps[runs.front().task.step].isGang;
    absl::btree_set<std::string> allUnheard;
    StartBatches batches;
    for (const TaskRun& run : runs) {
        absl::btree_set<std::string> unheard;
        if (mustHearWorker(job, run))
            unheard.insert(job.find(run.task)->worker);
        allUnheard.insert(unheard.begin(), unheard.end());
        batches[unheard].push_back(run);
    }
    // The members of a gang start together.
    return isGang ? StartBatches { { allUnheard, runs } } : batches;
}

bool Cell::mustHearWorker(CellJob& job, const TaskRun& run)
{
    const CellTask* task = job.find(run.task);
    return task && task->run == run.run && task->stage == TaskStage::StoringIntent
        && (task->crashes() > 0 || hasLatelyLostRuns(*task));
}

void Cell::hearWorkers(const absl::btree_set<std::string>& ids, absl::AnyInvocable<void()> then)
{
    if (ids.empty())
        return then();
    auto whenAllReplied = std::make_shared<absl::AnyInvocable<void()>>(std::move(then));
    auto open = std::make_shared<size_t>(ids.size());
    for (const std::string& id : ids) {
        m_parts.metrics.count("cicada_workers_heard_before_start");
        sync(m_workers[id], false, [whenAllReplied, open] {
            if (--*open == 0)
                (*whenAllReplied)();
        });
    }
}

void Cell::sendStart(CellJob& job, const TaskRun& run, Instant intendedAt)
{
    CellTask* task = job.find(run.task);
    if (!task || task->run != run.run || task->stage != TaskStage::StoringIntent)
        return;
    CellWorker* worker = findWorker(task->worker);
    const absl::Duration lease = startLease(intendedAt);
    const Instant now = m_parts.timers.clock().now();
    const CellStep& step = job.step({ run.task.occurrence, run.task.step });
    const auto allowed = step.advice.allowed.find(task->worker);
    const bool hasTicket = allowed != step.advice.allowed.end();
    const bool lacksTicket = policyOf(job).advice.isNeeded && (!hasTicket || allowed->second.validUntil <= now);
    const bool isWanted = !isEnded(job.phase) && !m_isSuperseded && lease >= minStartLease && !lacksTicket;
    // The worker may have shrunk while the intent was being stored.
    const bool hasRoom = worker && fits(worker->used, worker->listed.capacity);
    if (!hasRoom || !isWanted || !worker->isUsable(now)) {
        if (worker)
            handleStartFailure(run, *worker, OrderStatus::NotSent);
        return;
    }
    const std::string& checkpoint = job.checkpointOf(run.task);
    StartOrder order { run, job.spec.payload, checkpoint, "", m_term.token, nextLeaseEnd(*worker, lease) };
    if (hasTicket)
        order.ticket = allowed->second.ticket;
    task->stage = TaskStage::Starting;
    task->startedAt = now;
    task->progressAt = now;
    task->percent = -1;
    task->wasRestored = !checkpoint.empty();
    RunAllocation& allocation = worker->allocations[run];
    allocation.isStarting = true;
    allocation.wasSent = true;
    allocation.startLeaseUntil = leaseLastsUntil(now, lease);
    allocation.isWatched = hasLatelyLostRuns(*task);
    m_parts.log.write("run-ordered", "run", describeRun(run), "worker", task->worker, "token", m_term.token, "waitedMs",
        absl::ToInt64Milliseconds(now - step.readyAt), "slackMs", absl::ToInt64Milliseconds(step.latestStart - now),
        "heardMs", absl::ToInt64Milliseconds(now - worker->lastReplyAt));
    m_parts.metrics.count("cicada_runs_ordered");
    m_parts.orders.start(worker->listed.incarnation, std::move(order),
        guarded([this, run, id = task->worker, generation = worker->generation](OrderReply reply) {
            CellWorker* target = findWorker(id);
            if (target && target->generation == generation)
                handleStartReply(run, id, reply);
        }));
}

void Cell::handleStartReply(const TaskRun& run, const std::string& id, const OrderReply& reply)
{
    CellWorker& worker = m_workers[id];
    const Instant now = m_parts.timers.clock().now();
    recordClock(worker, reply.workerClockMillis);
    const auto allocation = worker.allocations.find(run);
    if (allocation == worker.allocations.end())
        return;
    allocation->second.isStarting = false;
    switch (reply.status) {
    case OrderStatus::Done: {
        allocation->second.visibleFrom = std::min(allocation->second.visibleFrom, now);
        allocation->second.wasConfirmed = true;
        CellJob* job = findJob(run.task.job);
        CellTask* task = job ? job->find(run.task) : nullptr;
        if (job)
            job->hasBegun = true;
        if (task && task->run == run.run && task->stage == TaskStage::Starting)
            task->stage = TaskStage::Running;
        if (job)
            scheduleEndOfTrial(*job);
        if (!job || isEnded(job->phase) || allocation->second.isStopWanted)
            requestStop(worker, run);
        return scheduleSync(worker, absl::ZeroDuration());
    }
    case OrderStatus::Fenced:
        return handleSuperseded("fenced-by-worker");
    case OrderStatus::OtherIncarnation:
        m_parts.log.write("start-refused", "run", describeRun(run), "worker", id, "why", "other-incarnation");
        allocation->second.wasSent = false;
        return endIncarnation(
            worker, IncarnationEnd::OtherAnswered, { listedStartAtAddressOf(worker), reply.workerClockMillis });
    case OrderStatus::NoReply:
        m_parts.log.write("start-unanswered", "run", describeRun(run), "worker", id);
        allocation->second.unansweredAt = now;
        recordSilence(worker, reply.wasClosed);
        return sync(worker, false);
    case OrderStatus::NotSent:
        recordSilence(worker, reply.wasClosed);
        scheduleSync(worker, absl::Milliseconds(100));
        [[fallthrough]];
    default:
        handleStartFailure(run, worker, reply.status);
    }
}

void Cell::handleStartFailure(const TaskRun& run, CellWorker& worker, OrderStatus why)
{
    const Instant now = m_parts.timers.clock().now();
    if (why == OrderStatus::Unhealthy)
        suspendPlacement(worker, unhealthySuspension, "unhealthy");
    if (why == OrderStatus::NoCapacity)
        suspendPlacement(worker, absl::Milliseconds(500), "says-no-room");
    if (why == OrderStatus::Congested)
        suspendPlacement(worker, absl::Milliseconds(500), orderStatusName(why));
    CellJob* job = findJob(run.task.job);
    if (job) {
        CellStep& step = job->step({ run.task.occurrence, run.task.step });
        if (why == OrderStatus::NoTicket)
            step.advice.allowed.erase(worker.listed.incarnation.id);
        if (why == OrderStatus::NoTicket)
            step.advice.queried.erase(worker.listed.incarnation.id);
        const absl::Duration delay = why == OrderStatus::Malformed ? malformedDelay : refusalDelay;
        step.notBefore = std::max(step.notBefore, now + delay);
        m_parts.timers.after(delay, guarded([this] { schedulePlacement(); }));
    }
    concludeRun(worker, run, orderStatusName(why));
}

void Cell::concludeRun(CellWorker& worker, const TaskRun& run, absl::string_view why)
{
    if (why == notListed)
        worker.recordUnanswered(run, m_parts.timers.clock().now());
    const auto allocation = worker.allocations.find(run);
    const RunAllocation lost = allocation == worker.allocations.end() ? RunAllocation() : allocation->second;
    release(worker, run);
    CellJob* job = findJob(run.task.job);
    CellTask* task = job ? job->find(run.task) : nullptr;
    if (!task || task->run != run.run || !task->hasActiveRun())
        return;
    m_parts.log.write("run-over", "run", describeRun(run), "worker", worker.listed.incarnation.id, "why", why);
    m_parts.metrics.count(absl::StrCat("cicada_runs_over{why=\"", why, "\"}"));
    task->stage = TaskStage::Waiting;
    task->lostOn = why == leasesEnded ? worker.listed.incarnation.id : std::string();
    const StepRef ref { run.task.occurrence, run.task.step };
    stopRemainingGang(*job, ref);
    recordRunCrash(*job, run, worker, lost);
    // Otherwise the next owner would wait for the lease once more.
    if (lost.isInherited && !isEnded(job->phase))
        storeRuns(*job, nullptr);
    queueStep(*job, ref);
}

void Cell::stopRemainingGang(CellJob& job, StepRef ref)
{
    if (!job.stepSpec(ref).isGang)
        return;
    CellStep& step = job.step(ref);
    // The remaining members of a gang that lost one can't make progress; stopping them lets the gang start again.
    for (uint32_t i = 0; i < step.tasks.size(); ++i) {
        CellTask& task = step.tasks[i];
        if (!task.hasActiveRun())
            continue;
        const TaskRun run { { job.spec.id, ref.occurrence, ref.step, i }, task.run };
        CellWorker* worker = findWorker(task.worker);
        if (!worker)
            continue;
        if (task.stage == TaskStage::StoringIntent) {
            task.stage = TaskStage::Waiting;
            release(*worker, run);
        } else {
            requestStop(*worker, run);
        }
    }
}

void Cell::requestStop(CellWorker& worker, const TaskRun& run)
{
    const auto allocation = worker.allocations.find(run);
    if (allocation == worker.allocations.end())
        return;
    allocation->second.isStopWanted = true;
    // A start whose reply is outstanding may not have arrived yet; the stop can be sent now, as the worker then refuses
    // the start.
    sendStop(worker, run);
}

void Cell::sendStop(CellWorker& worker, const TaskRun& run)
{
    const Instant now = m_parts.timers.clock().now();
    RunAllocation& allocation = worker.allocations[run];
    if (now - allocation.stopSentAt < stopRetryDelay || m_isSuperseded)
        return;
    allocation.stopSentAt = now;
    m_parts.log.write("stop-ordered", "run", describeRun(run), "worker", worker.listed.incarnation.id);
    m_parts.orders.stop(worker.listed.incarnation, run, m_term.token,
        guarded([this, run, id = worker.listed.incarnation.id, generation = worker.generation](OrderReply reply) {
            CellWorker* target = findWorker(id);
            if (!target || target->generation != generation)
                return;
            const Instant answeredAt = m_parts.timers.clock().now();
            recordClock(*target, reply.workerClockMillis);
            if (reply.status == OrderStatus::Fenced)
                return handleSuperseded("fenced-by-worker");
            if (reply.status == OrderStatus::OtherIncarnation)
                return endIncarnation(*target, IncarnationEnd::OtherAnswered,
                    { listedStartAtAddressOf(*target), reply.workerClockMillis });
            const auto found = target->allocations.find(run);
            if (found == target->allocations.end())
                return;
            if (reply.status == OrderStatus::Done) {
                // A list requested from now on shows the run unless it has ended; a sync that is already waiting was
                // sent earlier.
                found->second.visibleFrom = std::min(found->second.visibleFrom, answeredAt);
                return sync(*target, false);
            }
            m_parts.timers.after(stopRetryDelay, guarded([this, run, id = target->listed.incarnation.id] {
                CellWorker* again = findWorker(id);
                if (!again)
                    return;
                const auto open = again->allocations.find(run);
                const bool isOpen = open != again->allocations.end()
                    && (open->second.isStopWanted || open->second.visibleFrom == absl::InfiniteDuration());
                if (isOpen)
                    sendStop(*again, run);
            }));
            scheduleSync(*target, absl::Milliseconds(300));
        }));
}

void Cell::stopJob(CellJob& job)
{
    for (uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (uint32_t s = 0; s < job.occurrences[k].size(); ++s) {
            auto& tasks = job.occurrences[k][s].tasks;
            for (uint32_t i = 0; i < tasks.size(); ++i) {
                if (tasks[i].stage != TaskStage::Starting && tasks[i].stage != TaskStage::Running)
                    continue;
                if (CellWorker* worker = findWorker(tasks[i].worker))
                    requestStop(*worker, { { job.spec.id, k, s, i }, tasks[i].run });
            }
        }
    }
}

void Cell::applyEnd(CellWorker& worker, const EndedRun& ended, std::vector<std::string>& changed)
{
    const TaskName& name = ended.run.task;
    const auto allocation = worker.allocations.find(ended.run);
    const bool wasObserved = allocation != worker.allocations.end() && !allocation->second.isInherited;
    release(worker, ended.run);
    CellJob* job = findJob(name.job);
    CellTask* task = job ? job->find(name) : nullptr;
    const bool isCurrent = task && task->run == ended.run.run && task->hasActiveRun();
    const bool wasTakenForCrashed = task && task->hasCrashed(ended.run.run);
    if (task)
        forgetPossibleCrashes(*task, ended.run, absl::InfiniteDuration());
    if (task && takeBackCrash(*job, ended.run, worker))
        changed.push_back(name.job);
    m_parts.log.write("run-ended", "run", describeRun(ended.run), "worker", worker.listed.incarnation.id, "sequence",
        ended.sequence, "ending", runEndingName(ended.ending), "current", isCurrent ? 1 : 0, "takenForCrashed",
        wasTakenForCrashed ? 1 : 0, "failuresBefore", task ? job->failuresOf(name) : 0);
    m_parts.metrics.count(absl::StrCat("cicada_runs_ended{ending=\"", runEndingName(ended.ending), "\"}"));
    if (task && !isCurrent)
        m_parts.metrics.count(absl::StrCat("cicada_former_runs_ended{ending=\"", runEndingName(ended.ending), "\"}"));
    if (job)
        job->hasBegun = true;
    // The effect of this end may already be applied and not yet durable, through the end of another member of the gang.
    if (job && !m_writer.isDurable(runKey(name.job)))
        changed.push_back(name.job);
    if (!task || isEnded(job->phase) || task->stage == TaskStage::Finished)
        return;
    if (ended.ending == RunEnding::Finished && !job->stepSpec({ name.occurrence, name.step }).isService) {
        changed.push_back(name.job);
        recordRunTime(*job, name, worker, isCurrent && wasObserved);
        return taskFinished(*job, name, worker);
    }
    if (isCurrent) {
        changed.push_back(name.job);
        job->recordCheckpoint(name, ended.checkpoint, worker.readListMadeAt);
        task->stage = TaskStage::Waiting;
    }
    if (ended.ending == RunEnding::Failed) {
        if (isCurrent)
            recordWorkerFailure(worker, name.job);
        // A run that was concluded without its end, as its worker could not be heard, may turn out to have failed.
        if (countFailure(*job, ended, worker))
            changed.push_back(name.job);
    }
    if (!isCurrent || isEnded(job->phase))
        return;
    const StepRef ref { name.occurrence, name.step };
    stopRemainingGang(*job, ref);
    queueStep(*job, ref);
}

bool Cell::countFailure(CellJob& job, const EndedRun& ended, const CellWorker& worker)
{
    const TaskRun& run = ended.run;
    if (job.spec.steps[run.task.step].isService || !job.recordFailure(run))
        return false;
    IncarnationLoss listed;
    listed.source = "listed-by-worker";
    listed.foundAt = m_parts.timers.clock().now();
    const RunAllocation released;
    RunEvidence evidence
        = evidenceOf(EvidenceKind::Failed, runOn(worker, run, released), listed, m_parts.timers.clock(), m_term.token);
    evidence.sequence = ended.sequence;
    addEvidence(job.find(run.task)->evidence, std::move(evidence));
    const uint32_t failures = job.failuresOf(run.task);
    if (failures >= std::max(1u, policyOf(job).maxAttempts)) {
        job.exhaustedTask = run.task;
        logEvidence(m_parts.log, job.spec.id, evidenceAtEnd(job));
        endJob(job, JobPhase::Failed, absl::StrCat("task-failed-", failures, "-times"));
    }
    return true;
}

EstimateCorrection Cell::correctionOf(CellJob& job)
{
    return m_runTimes.correctionOf(policyOf(job).queue, m_parts.timers.clock().now());
}

void Cell::recordRunTime(CellJob& job, const TaskName& name, CellWorker& worker, bool wasObserved)
{
    const StepSpec& spec = job.spec.steps[name.step];
    const CellTask& task = *job.find(name);
    if (spec.estimate <= absl::ZeroDuration() || task.startedAt <= absl::ZeroDuration())
        return;
    const Instant now = m_parts.timers.clock().now();
    const std::string& queue = policyOf(job).queue;
    const bool isEndKnown = worker.listedAt - std::max(worker.formerListedAt, task.startedAt) <= maxListGap;
    const MeasuredRun run { queue, spec.estimate, worker.listedAt - task.startedAt, task.wasRestored,
        !wasObserved || !isEndKnown };
    const EstimateChange change = m_runTimes.record(run, spec.isGang ? nullptr : &worker.speed, now);
    if (change != EstimateChange::None)
        reportEstimates(queue, change);
    const double ratio
        = absl::FDivDuration(now - task.startedAt, spec.estimate) / m_runTimes.correctionOf(queue, now).median;
    worker.slowdown += (std::clamp(ratio, 0.3, 4.0) - worker.slowdown) * slowdownWeight;
}

void Cell::reportEstimates(const std::string& queue, EstimateChange change)
{
    const EstimateCorrection correction = m_runTimes.correctionOf(queue, m_parts.timers.clock().now());
    const bool isContradicted = change == EstimateChange::Contradicted;
    m_parts.log.write(isContradicted ? "estimates-contradicted" : "estimates-hold", "queue", queue, "cell", m_term.cell,
        "medianFactor", correction.median, "highFactor", correction.high, "runs", correction.runs);
    if (m_queuesWithMetric.size() < maxQueuesWithMetric)
        m_queuesWithMetric.insert(queue);
}

void Cell::publishRunTimeFactors()
{
    const Instant now = m_parts.timers.clock().now();
    for (const std::string& queue : m_queuesWithMetric)
        m_parts.metrics.gauge(
            absl::StrCat("cicada_run_time_factor{queue=\"", queue, "\"}"), m_runTimes.correctionOf(queue, now).median);
    m_parts.timers.after(factorPublishInterval, guarded([this] { publishRunTimeFactors(); }));
}

void Cell::taskFinished(CellJob& job, const TaskName& name, CellWorker& worker)
{
    const StepRef ref { name.occurrence, name.step };
    CellStep& step = job.step(ref);
    const StepSpec& spec = job.stepSpec(ref);
    worker.failedJobs.clear();
    worker.suspensionCount = 0;
    job.crashedWorkers = 0;
    // When one member of a gang finishes, the whole gang counts as finished.
    for (uint32_t i = 0; i < step.tasks.size(); ++i) {
        if (i != name.index && !spec.isGang)
            continue;
        CellTask& done = step.tasks[i];
        if (done.stage == TaskStage::Finished)
            continue;
        const TaskRun run { { name.job, name.occurrence, name.step, i }, done.run };
        CellWorker* at = done.hasActiveRun() ? findWorker(done.worker) : nullptr;
        if (at && done.stage == TaskStage::StoringIntent)
            release(*at, run);
        else if (at && !spec.isGang)
            requestStop(*at, run);
        done.stage = TaskStage::Finished;
        ++step.finished;
    }
    if (!step.isFinished())
        return;
    dequeueStep(job, ref);
    if (job.allFinished())
        return endJob(job, JobPhase::Finished, "all-tasks-finished");
    for (uint32_t later = ref.step + 1; later < job.spec.steps.size(); ++later)
        makeStepReady(job, { ref.occurrence, later });
}

} // namespace cicada
