#include "Cell.h"

#include "Job.h"
#include "JobAdmission.h"

#include <algorithm>

namespace cicada {

namespace {

    /** A job on trial that has waited longer than this starts its task beside other trials. */
    constexpr absl::Duration maxTrialWait = absl::Seconds(8);

    /** The share of the worker's capacity that stays free beside the task: the larger of the shares of processors and
     * memory. */
    double freeShareAfter(const Resources& free, const Resources& demand, const Resources& capacity)
    {
        const double cpu = static_cast<double>(free.cpuMillis - demand.cpuMillis)
            / static_cast<double>(std::max<int64_t>(1, capacity.cpuMillis));
        const double memory = static_cast<double>(free.memoryMiB - demand.memoryMiB)
            / static_cast<double>(std::max<int64_t>(1, capacity.memoryMiB));
        return std::max(cpu, memory);
    }

} // namespace

void Cell::advance(CellJob& job)
{
    const int64_t nowUnix = m_parts.timers.clock().wallMicros() / 1000;
    for (uint32_t k = 0; k < job.occurrences.size(); ++k) {
        const int64_t due = job.spec.occurrences == 0 ? 0 : job.spec.startUnixMillis + job.spec.intervalMillis * k;
        if (due > nowUnix) {
            m_parts.timers.after(absl::Milliseconds(due - nowUnix),
                guarded([this, id = job.spec.id, k] { handleOccurrenceDue(id, k); }));
            continue;
        }
        for (uint32_t s = 0; s < job.spec.steps.size(); ++s)
            makeStepReady(job, { k, s });
    }
}

void Cell::handleOccurrenceDue(const std::string& id, uint32_t occurrence)
{
    CellJob* job = findJob(id);
    if (!job || isEnded(job->phase))
        return;
    const int64_t due = job->spec.startUnixMillis + job->spec.intervalMillis * occurrence;
    const int64_t nowUnix = m_parts.timers.clock().wallMicros() / 1000;
    if (due > nowUnix) {
        // The wall clock was set back in the meantime.
        m_parts.timers.after(absl::Milliseconds(due - nowUnix),
            guarded([this, id, occurrence] { handleOccurrenceDue(id, occurrence); }));
        return;
    }
    for (uint32_t s = 0; s < job->spec.steps.size(); ++s)
        makeStepReady(*job, { occurrence, s });
}

void Cell::makeStepReady(CellJob& job, StepRef ref)
{
    CellStep& step = job.step(ref);
    if (step.isFinished() || isEnded(job.phase))
        return;
    if (!step.isReady) {
        for (const uint32_t earlier : job.stepSpec(ref).after) {
            if (!job.step({ ref.occurrence, earlier }).isFinished())
                return;
        }
        step.isReady = true;
        step.readyAt = m_parts.timers.clock().now();
        setLatestStarts(job, ref);
    }
    queueStep(job, ref);
}

void Cell::setLatestStarts(CellJob& job, StepRef ref)
{
    CellStep& step = job.step(ref);
    const QueuePolicy& policy = policyOf(job);
    const absl::Duration objective = objectiveOf(job, policy);
    const absl::Duration remaining = job.criticalPathFrom(ref.step);
    if (job.spec.account.empty()) {
        const Instant begin = job.spec.occurrences > 0 ? step.readyAt : job.acceptedAt;
        step.latestStart = begin + objective - remaining;
        return;
    }
    const Instant begin = job.spec.occurrences > 0 ? dueTimeOf(job, ref.occurrence) : job.acceptedAt;
    step.latestStart = begin + objective - remaining;
    step.lastUsefulStart = begin + usefulObjectives * objective - remaining;
}

Instant Cell::dueTimeOf(const CellJob& job, uint32_t occurrence) const
{
    const int64_t due = job.spec.startUnixMillis + job.spec.intervalMillis * occurrence;
    const int64_t nowUnix = m_parts.timers.clock().wallMicros() / 1000;
    return m_parts.timers.clock().now() - absl::Milliseconds(std::max<int64_t>(0, nowUnix - due));
}

StepKey Cell::keyOf(CellJob& job, StepRef ref)
{
    const StepUrgency urgency = urgencyOf(job.timesOf(ref), m_parts.timers.clock().now());
    return { urgency, policyOf(job).priority, job.step(ref).latestStart };
}

void Cell::insertReady(CellJob& job, StepRef ref)
{
    const StepKey key = keyOf(job, ref);
    job.step(ref).sortKey = key;
    m_ready.insert({ key, job.spec.id, ref });
}

void Cell::dequeueStep(CellJob& job, StepRef ref)
{
    CellStep& step = job.step(ref);
    if (!step.sortKey)
        return;
    m_ready.erase({ *step.sortKey, job.spec.id, ref });
    step.sortKey.reset();
    removeWaiting(step);
}

void Cell::queueStep(CellJob& job, StepRef ref)
{
    const CellStep& step = job.step(ref);
    if (!step.isReady || isEnded(job.phase) || job.isMoving || waitingTasks(step).empty())
        return;
    dequeueStep(job, ref);
    insertReady(job, ref);
    schedulePlacement();
}

std::vector<uint32_t> Cell::waitingTasks(const CellStep& step) const
{
    std::vector<uint32_t> waiting;
    for (uint32_t i = 0; i < step.tasks.size(); ++i) {
        if (step.tasks[i].stage == TaskStage::Waiting)
            waiting.push_back(i);
    }
    return waiting;
}

const std::vector<CellWorker*>& Cell::usableWorkers(const std::string& service)
{
    const auto [found, isNew] = m_usableWorkers.try_emplace(service);
    if (!isNew)
        return found->second;
    const Instant now = m_parts.timers.clock().now();
    for (auto& [id, worker] : m_workers) {
        if (worker.listed.service == service && worker.isUsable(now))
            found->second.push_back(&worker);
    }
    return found->second;
}

std::vector<CellWorker*> Cell::candidates(CellJob& job, const StepSpec& spec)
{
    const std::vector<CellWorker*>& all = usableWorkers(policyOf(job).service);
    if (spec.requiredLabel.empty())
        return all;
    std::vector<CellWorker*> found;
    std::copy_if(all.begin(), all.end(), std::back_inserter(found),
        [&](const CellWorker* worker) { return hasLabel(worker->listed, spec.requiredLabel); });
    return found;
}

std::vector<Cell::Choice> Cell::chooseWorkers(
    CellJob& job, StepRef ref, const std::vector<CellWorker*>& eligible, bool mustPlaceAll, const std::string& onlyRack)
{
    const StepSpec& spec = job.stepSpec(ref);
    const CellStep& step = job.step(ref);
    const Resources demand = demandOf(spec);
    absl::flat_hash_map<std::string, uint32_t> counts;
    if (spec.maxPerWorker > 0)
        counts = step.activeRunsByWorker();
    const bool backfills = mayBackfill(job, ref);
    const bool isTrial = needsTrial(job, ref);
    const Instant now = m_parts.timers.clock().now();
    const bool keepsTrialsApart = isTrial && now - step.readyAt <= maxTrialWait;
    const bool avoidsSuspects = m_suspects.isSuspectGang(job, ref);
    struct FreeCapacity {
        CellWorker* worker;
        Resources free;
        bool isOnDataRack;
    };
    std::vector<FreeCapacity> freeCapacities;
    for (CellWorker* worker : eligible) {
        if (!onlyRack.empty() && worker->listed.rack != onlyRack)
            continue;
        if (keepsTrialsApart && worker->trialUntil > now)
            continue;
        if (avoidsSuspects && runsSuspectOfOthers(*worker, job.spec.id))
            continue;
        if (fits(demand, freeFor(*worker, backfills)))
            freeCapacities.push_back({ worker, freeFor(*worker, backfills),
                !spec.dataRack.empty() && worker->listed.rack == spec.dataRack });
    }
    std::vector<Choice> choices;
    for (const uint32_t index : startableTasks(job, ref)) {
        FreeCapacity* best = nullptr;
        double bestScore = 0;
        for (FreeCapacity& freeCapacity : freeCapacities) {
            if (!fits(demand, freeCapacity.free))
                continue;
            const std::string& id = freeCapacity.worker->listed.incarnation.id;
            if (spec.maxPerWorker > 0 && counts[id] >= spec.maxPerWorker)
                continue;
            // A job on trial begins where a crash would cost least.
            const double score = isTrial
                ? static_cast<double>(freeCapacity.worker->allocations.size())
                : freeShareAfter(freeCapacity.free, demand, freeCapacity.worker->listed.capacity)
                    - (freeCapacity.isOnDataRack ? 10 : 0) + (freeCapacity.worker->slowdown - 1);
            if (!best || score < bestScore) {
                best = &freeCapacity;
                bestScore = score;
            }
        }
        if (!best) {
            if (mustPlaceAll)
                return {};
            break;
        }
        best->free = best->free - demand;
        ++counts[best->worker->listed.incarnation.id];
        choices.push_back({ index, best->worker });
    }
    return choices;
}

bool Cell::chooseWorkersForStep(
    CellJob& job, StepRef ref, const std::vector<CellWorker*>& eligible, std::vector<Choice>& choices)
{
    const StepSpec& spec = job.stepSpec(ref);
    if (spec.prefersOneRack) {
        absl::btree_set<std::string> racks;
        for (const CellWorker* worker : eligible)
            racks.insert(worker->listed.rack);
        for (const std::string& rack : racks) {
            choices = chooseWorkers(job, ref, eligible, true, rack);
            if (!choices.empty())
                return true;
        }
    }
    choices = chooseWorkers(job, ref, eligible, spec.isGang, "");
    return !choices.empty();
}

bool Cell::mayBackfill(CellJob& job, StepRef ref)
{
    const Instant now = m_parts.timers.clock().now();
    if (m_backfillUntil == absl::ZeroDuration())
        return false;
    const StepSpec& spec = job.stepSpec(ref);
    if (spec.isService)
        return urgencyOf(job.timesOf(ref), now) == StepUrgency::LostService;
    return !spec.isGang && spec.estimate > absl::ZeroDuration() && now + spec.estimate <= m_backfillUntil;
}

Resources Cell::freeFor(const CellWorker& worker, bool mayBackfill)
{
    return mayBackfill ? worker.free() + worker.backfillable : worker.free();
}

void Cell::clearUnmetDemands()
{
    m_unmetDemands.clear();
    m_unmetBackfills.clear();
}

bool Cell::hasRoomForTask(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    const bool backfills = mayBackfill(job, ref);
    UnmetDemands& unmet = backfills ? m_unmetBackfills : m_unmetDemands;
    const std::string& service = policyOf(job).service;
    const Resources demand = demandOf(spec);
    if (unmet.includes(service, spec.requiredLabel, demand))
        return false;
    const std::vector<CellWorker*>& workers = usableWorkers(service);
    const bool hasRoom = std::any_of(workers.begin(), workers.end(), [&](const CellWorker* worker) {
        return hasLabel(worker->listed, spec.requiredLabel) && fits(demand, freeFor(*worker, backfills));
    });
    if (!hasRoom)
        unmet.add(service, spec.requiredLabel, demand);
    return hasRoom;
}

Cell::StepOutcome Cell::placeStep(const StepRank& rank)
{
    CellJob* job = findJob(rank.job);
    if (!job || isEnded(job->phase))
        return StepOutcome::Placed;
    CellStep& step = job->step(rank.ref);
    const StepSpec& spec = job->stepSpec(rank.ref);
    const size_t waiting = waitingTasks(step).size();
    if (waiting == 0)
        return StepOutcome::Placed;
    openWorkersTo(isConfined(*job) ? job->policy.queue : "");
    // A gang starts again only when no member of its last run is active.
    const bool mustWait = (spec.isGang && waiting < step.tasks.size()) || step.notBefore > m_parts.timers.clock().now();
    step.lacksRoom = false;
    if (mustWait)
        return StepOutcome::Skipped;
    if (isHeldByLimit(*job, rank.ref)) {
        step.advice.reservation.reset();
        if (m_parts.onMoreQuotaWanted)
            m_parts.onMoreQuotaWanted();
        return StepOutcome::Skipped;
    }
    const bool mayBeHeldBack = m_suspectJobs.contains(rank.job) || needsTrial(*job, rank.ref);
    if (mayBeHeldBack && startableTasks(*job, rank.ref).empty())
        return StepOutcome::Skipped;
    step.lacksRoom = !hasRoomForTask(*job, rank.ref);
    if (step.lacksRoom)
        return StepOutcome::Skipped;
    if (policyOf(*job).advice.isNeeded)
        return placeWithAdvice(rank, *job, waiting) ? StepOutcome::Placed : StepOutcome::Unplaced;
    if (!job->isStored)
        return StepOutcome::Skipped;
    const std::vector<CellWorker*> all = candidates(*job, spec);
    std::vector<Choice> choices;
    step.lacksRoom = !chooseWorkersForStep(*job, rank.ref, all, choices);
    if (step.lacksRoom)
        return StepOutcome::Unplaced;
    storeIntent(*job, rank.ref, choices);
    step.lacksRoom = choices.size() < waiting;
    return choices.size() == waiting ? StepOutcome::Placed : StepOutcome::Unplaced;
}

void Cell::storeIntent(CellJob& job, StepRef ref, const std::vector<Choice>& choices, bool isIsolated)
{
    const StepSpec& spec = job.stepSpec(ref);
    const Resources demand = demandOf(spec);
    const bool isTrial = !isIsolated && needsTrial(job, ref);
    const Instant now = m_parts.timers.clock().now();
    CellStep& step = job.step(ref);
    uint32_t run = 0;
    if (spec.isGang) {
        for (const CellTask& task : step.tasks)
            run = std::max(run, task.run);
    }
    std::vector<TaskRun> runs;
    for (const Choice& choice : choices) {
        CellTask& task = step.tasks[choice.index];
        task.stage = TaskStage::StoringIntent;
        task.run = std::max(run, task.run) + 1;
        task.worker = choice.worker->listed.incarnation.id;
        task.workerStarted = choice.worker->startedUnixMillis;
        task.orderedUnixMillis = m_parts.timers.clock().wallMicros() / 1000;
        runs.push_back({ { job.spec.id, ref.occurrence, ref.step, choice.index }, task.run });
        allocate(*choice.worker, runs.back(), demand, spec.isService, job.spec.account);
        if (isIsolated)
            choice.worker->isolate(runs.back());
        if (isTrial)
            choice.worker->trialUntil = now + trialLength();
    }
    if (job.phase == JobPhase::Queued)
        job.phase = JobPhase::Running;
    // Excess work does not count, so that an account loses none of what it is owed by using capacity that no other work
    // needs.
    if (!job.isExcess && !spec.isService && m_hasAccounts)
        m_accountShares.recordStarted(
            job.spec.account, weightOf(job.spec.account), job.workOfTask(ref) * static_cast<double>(choices.size()));
    storeRuns(job, guarded([this, id = job.spec.id, runs, now] { sendStarts(id, runs, now); }));
}

} // namespace cicada
