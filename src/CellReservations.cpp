/** \file
 * The part of Cell that withholds free capacity for gangs, which need it on many workers at the same moment.
 *
 * Gangs get reservations in the order of rank, on a limited share of the workers, so that a queue of them does not idle
 * the cell. That share is less than a wide gang needs, and once it is late, all that is on time goes before it.
 * Therefore one such gang at a time, the one that has waited longest, has the exclusive reservation: as many workers as
 * it needs, whatever the share and its rank, until it starts or its time is up. A wide gang that is on time gets it
 * only where it has room to spare, as GangReservation decides; work that ends before the gang begins may use what it
 * keeps.
 *
 * A gang that has requested tickets for chosen workers keeps their capacity until the replies; see CellAdvice.cpp.
 */

#include "Cell.h"

#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** Waiting gangs may reserve free capacity on at most this share of the workers. */
    constexpr double maxReservedShare = 0.15;
    constexpr absl::Duration reservationDelay = absl::Milliseconds(300);
    /** How long a gang waits before it may have the exclusive reservation. */
    constexpr absl::Duration exclusiveDelay = absl::Seconds(1);
    /** How long a gang may have the exclusive reservation, and how long it then waits for the next one. */
    constexpr absl::Duration maxExclusive = absl::Seconds(10);
    constexpr absl::Duration exclusiveSearchInterval = absl::Milliseconds(100);
    /** How often a gang for which there is no room in time is looked at again. */
    constexpr absl::Duration gatherCheckInterval = absl::Seconds(1);
    /** How often it is decided anew which room a gang keeps. */
    constexpr absl::Duration decisionInterval = absl::Milliseconds(100);
    /** How long a run is expected to last of which only the demand is known; most of these are being stopped. */
    constexpr absl::Duration unknownRunTime = absl::Seconds(1);

    /** The part of what so many tasks need that is free on the worker. */
    Resources freePartOf(const CellWorker& worker, const Resources& demand, uint64_t tasks)
    {
        const Resources free = worker.free();
        const auto count = static_cast<int64_t>(tasks);
        return { std::max<int64_t>(0, std::min(free.cpuMillis, demand.cpuMillis * count)),
            std::max<int64_t>(0, std::min(free.memoryMiB, demand.memoryMiB * count)),
            std::max<int64_t>(0, std::min(free.accelerators, demand.accelerators * count)) };
    }

} // namespace

void CapacityReservation::hold() const
{
    for (const auto& [worker, freeCapacity] : freeCapacities)
        worker->reserved = worker->reserved + freeCapacity;
    for (const auto& [worker, freeCapacity] : freeCapacities)
        worker->backfillable = isBackfilled ? worker->backfillable + freeCapacity : worker->backfillable;
}

void CapacityReservation::release() const
{
    for (const auto& [worker, freeCapacity] : freeCapacities)
        worker->reserved = worker->reserved - freeCapacity;
    for (const auto& [worker, freeCapacity] : freeCapacities)
        worker->backfillable = isBackfilled ? worker->backfillable - freeCapacity : worker->backfillable;
}

Resources freeOn(const CellWorker& worker, RoomBasis basis)
{
    return basis == RoomBasis::FreeNow ? worker.free() : worker.freeInTime();
}

uint64_t roomOn(const StepSpec& spec, absl::Span<CellWorker* const> workers, RoomBasis basis)
{
    const Resources demand = demandOf(spec);
    uint64_t room = 0;
    for (const CellWorker* worker : workers)
        room += countFittingTasks(demand, freeOn(*worker, basis), spec.maxPerWorker);
    return room;
}

std::vector<Cell::Reservation> Cell::reserveForGangs(const std::vector<StepRank>& ranks)
{
    updateExclusive(ranks);
    if (m_exclusive && m_exclusive->planned)
        m_backfillUntil = m_exclusive->planned->decision.backfillUntil;
    const auto maxReserved = static_cast<size_t>(static_cast<double>(m_workers.size()) * maxReservedShare);
    const Instant now = m_parts.timers.clock().now();
    std::vector<Reservation> reservations;
    const auto hold = [&](Reservation reservation) {
        reservation.hold();
        reservations.push_back(std::move(reservation));
    };
    absl::flat_hash_set<const StepRank*> served;
    for (const StepRank& rank : ranks) {
        CellJob* job = findJob(rank.job);
        Reservation reservation = job ? ticketReservationOf(*job, rank) : Reservation();
        if (reservation.freeCapacities.empty())
            continue;
        served.insert(&rank);
        hold(std::move(reservation));
    }
    const auto exclusive = std::find_if(
        ranks.begin(), ranks.end(), [this](const StepRank& rank) { return isExclusive(rank.job, rank.ref); });
    if (exclusive != ranks.end() && served.insert(&*exclusive).second)
        hold(m_exclusive->planned ? plannedReservationOf(*findJob(exclusive->job), *exclusive)
                                  : reserveFor(*findJob(exclusive->job), *exclusive, m_workers.size()));
    size_t reserved = 0;
    for (const StepRank& rank : ranks) {
        if (reserved >= maxReserved)
            break;
        CellJob* job = findJob(rank.job);
        if (!job || served.contains(&rank) || !mayReserve(*job, rank.ref) || !job->stepSpec(rank.ref).isGang
            || now - job->step(rank.ref).readyAt < reservationDelay || isHeldByLimit(*job, rank.ref))
            continue;
        Reservation reservation = reserveFor(*job, rank, maxReserved - reserved);
        if (reservation.freeCapacities.empty())
            continue;
        reserved += reservation.freeCapacities.size();
        hold(std::move(reservation));
    }
    // A pass over the ranks meets the reservations in this order.
    std::sort(reservations.begin(), reservations.end(),
        [](const Reservation& a, const Reservation& b) { return a.rank < b.rank; });
    return reservations;
}

Cell::Reservation Cell::reserveFor(CellJob& job, const StepRank& rank, size_t maxWorkers)
{
    const StepSpec& spec = job.stepSpec(rank.ref);
    std::vector<CellWorker*> eligible = allowedWorkers(job, rank.ref);
    // Workers with the most free processors are likely to have enough capacity first.
    std::stable_sort(eligible.begin(), eligible.end(),
        [](const CellWorker* a, const CellWorker* b) { return a->free().cpuMillis > b->free().cpuMillis; });
    Reservation reservation { &rank, {} };
    const Resources demand = demandOf(spec);
    uint64_t remaining = job.step(rank.ref).tasks.size();
    for (CellWorker* worker : eligible) {
        if (remaining == 0 || reservation.freeCapacities.size() == maxWorkers)
            break;
        const uint64_t tasks = std::min(remaining, countFittingTasks(demand, worker->freeInTime(), spec.maxPerWorker));
        if (tasks == 0)
            continue;
        reservation.freeCapacities.emplace_back(worker, freePartOf(*worker, demand, tasks));
        remaining -= tasks;
    }
    // A gang that can't fit even on all these workers would block them for nothing.
    if (remaining > 0)
        reservation.freeCapacities.clear();
    return reservation;
}

bool Cell::isExclusive(const std::string& job, StepRef ref) const
{
    return m_exclusive && m_exclusive->job == job && m_exclusive->ref == ref;
}

bool Cell::mayBeExclusive(CellJob& job, StepRef ref)
{
    const CellStep& step = job.step(ref);
    const Instant now = m_parts.timers.clock().now();
    // A gang starts again only when no member of its last run is active.
    const bool isWaiting = job.isStored && !job.isMoving && !isEnded(job.phase) && job.stepSpec(ref).isGang
        && waitingTasks(step).size() == step.tasks.size();
    const absl::Duration delay = step.latestStart < now ? exclusiveDelay : reservationDelay;
    if (!isWaiting || isHeldByLimit(job, ref) || now - std::max(step.readyAt, job.arrivedAt) < delay
        || now < step.noExclusiveBefore)
        return false;
    return mayReserve(job, ref) && needsMoreThanShare(job, job.stepSpec(ref));
}

bool Cell::mayReserve(const CellJob& job, StepRef ref) const
{
    const StepUrgency urgency = urgencyOf(job.timesOf(ref), m_parts.timers.clock().now());
    if (urgency == StepUrgency::Hopeless)
        return false;
    return isOwed(urgency) || !m_waitingWork.hasOwed(job.policy.service);
}

bool Cell::needsMoreThanShare(CellJob& job, const StepSpec& spec)
{
    const auto room = static_cast<double>(roomOn(spec, candidates(job, spec), RoomBasis::InTime));
    return room * maxReservedShare < spec.taskCount;
}

void Cell::updateExclusive(absl::Span<const StepRank> ranks)
{
    const Instant now = m_parts.timers.clock().now();
    if (m_exclusive) {
        CellJob* job = findJob(m_exclusive->job);
        const bool isValid = job && mayBeExclusive(*job, m_exclusive->ref) && now < m_exclusive->until;
        if (isValid)
            return m_exclusive->planned ? planRoom(*job, m_exclusive->ref)
                                        : learnAllowedWorkers(*job, m_exclusive->ref);
        endExclusive();
    }
    if (now < m_nextExclusiveSearch)
        return;
    m_nextExclusiveSearch = now + exclusiveSearchInterval;
    const StepRank* longest = findLongestWaiting(ranks);
    if (!longest)
        return;
    m_exclusive = ExclusiveReservation { longest->job, longest->ref, now + maxExclusive, std::nullopt };
    CellJob& job = *findJob(longest->job);
    if (job.step(longest->ref).latestStart >= now)
        m_exclusive->planned = PlannedRoom();
    m_parts.log.write("reservation-begun", "job", longest->job, "occurrence", longest->ref.occurrence, "step",
        longest->ref.step, "tasks", job.step(longest->ref).tasks.size(), "waitedMs",
        absl::ToInt64Milliseconds(now - job.step(longest->ref).readyAt), "planned", m_exclusive->planned.has_value());
    if (m_exclusive->planned)
        planRoom(job, longest->ref);
    else
        learnAllowedWorkers(job, longest->ref);
}

const StepRank* Cell::findLongestWaiting(absl::Span<const StepRank> ranks)
{
    std::vector<std::pair<Instant, const StepRank*>> waiting;
    for (const StepRank& rank : ranks) {
        CellJob* job = findJob(rank.job);
        if (job && mayBeExclusive(*job, rank.ref))
            waiting.emplace_back(job->step(rank.ref).readyAt, &rank);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [readyAt, rank] : waiting) {
        CellJob& job = *findJob(rank->job);
        if (hasRoomInTime(job, rank->ref))
            return rank;
        CellStep& step = job.step(rank->ref);
        const absl::Duration interval = step.advice.hasFailed ? reservationDelay : gatherCheckInterval;
        step.noExclusiveBefore = m_parts.timers.clock().now() + interval;
    }
    return nullptr;
}

bool Cell::hasRoomInTime(CellJob& job, StepRef ref)
{
    if (job.step(ref).latestStart < m_parts.timers.clock().now())
        return canGatherRoom(job, ref);
    // Room is kept again once the policy service replies.
    if (job.step(ref).advice.hasFailed) {
        if (canAskForAdvice(job, ref))
            requestStepAdvice(job, ref, possibleWorkers(job, ref), job.stepSpec(ref).taskCount, RoomBasis::InTime);
        return false;
    }
    return GangReservation::hasSpareRoom(gangStateOf(job, ref, allowedWorkers(job, ref)));
}

void Cell::endExclusive()
{
    const Instant now = m_parts.timers.clock().now();
    CellJob* job = findJob(m_exclusive->job);
    const bool isStillWaiting = job && mayBeExclusive(*job, m_exclusive->ref);
    if (isStillWaiting)
        job->step(m_exclusive->ref).noExclusiveBefore = now + maxExclusive;
    m_parts.log.write("reservation-ended", "job", m_exclusive->job, "occurrence", m_exclusive->ref.occurrence, "step",
        m_exclusive->ref.step, "waits", isStillWaiting, "tookMs",
        absl::ToInt64Milliseconds(now - (m_exclusive->until - maxExclusive)));
    m_exclusive.reset();
}

bool Cell::canGatherRoom(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    return roomOn(spec, possibleWorkers(job, ref), RoomBasis::InTime) >= spec.taskCount;
}

Cell::Reservation Cell::ticketReservationOf(CellJob& job, const StepRank& rank)
{
    Reservation reservation { &rank, {} };
    const auto& tickets = job.step(rank.ref).advice.reservation;
    if (!tickets || tickets->until <= m_parts.timers.clock().now() || isHeldByLimit(job, rank.ref))
        return reservation;
    const Resources demand = demandOf(job.stepSpec(rank.ref));
    reservation.isBackfilled = isExclusive(rank.job, rank.ref) && m_exclusive->planned;
    for (const auto& [worker, tasks] : tickets->tasksByWorker)
        reservation.freeCapacities.emplace_back(worker, freePartOf(*worker, demand, tasks));
    return reservation;
}

bool Cell::isKeptHere(const std::string& job, StepRef ref) const
{
    return isExclusive(job, ref) && !(m_exclusive->planned && m_exclusive->planned->decision.mayTransfer);
}

GangState Cell::gangStateOf(CellJob& job, StepRef ref, absl::Span<CellWorker* const> allowed)
{
    const StepSpec& spec = job.stepSpec(ref);
    const QueuePolicy& policy = policyOf(job);
    const StepAdvice& advice = job.step(ref).advice;
    GangState state;
    state.width = spec.taskCount;
    state.now = m_parts.timers.clock().now();
    state.advice = policy.advice;
    state.ticketMargin = ticketMargin;
    for (const CellWorker* worker : allowed) {
        state.allowed.push_back({ roomsOn(*worker, spec), absl::InfiniteDuration() });
        const auto ticket = advice.allowed.find(worker->listed.incarnation.id);
        if (policy.advice.isNeeded && ticket != advice.allowed.end())
            state.allowed.back().ticketUntil = ticket->second.validUntil;
    }
    if (!policy.advice.isNeeded)
        return state;
    const std::vector<CellWorker*> unqueried = unqueriedWorkers(job, ref);
    state.unknownFree = roomOn(spec, unqueried, RoomBasis::FreeNow);
    state.unknownInTime = roomOn(spec, unqueried, RoomBasis::InTime);
    state.allowedShare = m_allowedShares[policy.queue].estimate();
    return state;
}

std::vector<RoomFrom> Cell::roomsOn(const CellWorker& worker, const StepSpec& spec)
{
    const Resources demand = demandOf(spec);
    Resources free = worker.listed.capacity - worker.used;
    std::vector<std::pair<Instant, Resources>> ends;
    for (const auto& [run, allocation] : worker.allocations) {
        if (!allocation.isOfService)
            ends.emplace_back(expectedEndOf(run, worker), allocation.demand);
    }
    std::sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<RoomFrom> rooms;
    const auto addRoom = [&](Instant from) {
        const uint64_t tasks = countFittingTasks(demand, free, spec.maxPerWorker);
        if (tasks > (rooms.empty() ? 0 : rooms.back().tasks))
            rooms.push_back({ from, tasks });
    };
    addRoom(m_parts.timers.clock().now());
    for (const auto& [end, freed] : ends) {
        free = free + freed;
        addRoom(end);
    }
    return rooms;
}

Instant Cell::expectedEndOf(const TaskRun& run, const CellWorker& worker)
{
    const Instant now = m_parts.timers.clock().now();
    CellJob* job = findJob(run.task.job);
    const CellTask* task = job ? job->find(run.task) : nullptr;
    if (!task || task->run != run.run)
        return now + unknownRunTime;
    const bool isStartKnown = task->stage != TaskStage::StoringIntent && task->startedAt > absl::ZeroDuration();
    const Instant startedAt = isStartKnown ? task->startedAt : now;
    const Instant end = startedAt + job->spec.steps[run.task.step].estimate * worker.slowdown;
    // A run that is overdue is expected to last as long again as it is overdue.
    return end >= now ? end : now + (now - end);
}

void Cell::planRoom(CellJob& job, StepRef ref)
{
    const Instant now = m_parts.timers.clock().now();
    PlannedRoom& planned = *m_exclusive->planned;
    if (now < planned.nextDecisionAt)
        return;
    planned.nextDecisionAt = now + decisionInterval;
    const std::vector<CellWorker*> allowed = allowedWorkers(job, ref);
    planned.decision = planned.reservation.decide(gangStateOf(job, ref, allowed));
    const GangDecision& decision = planned.decision;
    planned.tasksByWorker.clear();
    std::vector<Choice> choices;
    for (const auto& [index, tasks] : decision.hold) {
        planned.tasksByWorker.emplace_back(allowed[index], tasks);
        for (uint64_t i = 0; i < tasks; ++i)
            choices.push_back({ static_cast<uint32_t>(choices.size()), allowed[index] });
    }
    if (decision.needsTickets && canRequestTickets(job, ref))
        requestTickets(job, ref, choices);
    if (!canAskForAdvice(job, ref) || isHearingWorkers())
        return;
    if (decision.unknownFreeWanted > 0)
        requestStepAdvice(job, ref, unqueriedWorkers(job, ref), decision.unknownFreeWanted, RoomBasis::FreeNow);
    else if (decision.unknownInTimeWanted > 0)
        requestStepAdvice(job, ref, unqueriedWorkers(job, ref), decision.unknownInTimeWanted, RoomBasis::InTime);
}

Cell::Reservation Cell::plannedReservationOf(CellJob& job, const StepRank& rank)
{
    Reservation reservation { &rank, {}, true };
    const Resources demand = demandOf(job.stepSpec(rank.ref));
    for (const auto& [worker, tasks] : m_exclusive->planned->tasksByWorker)
        reservation.freeCapacities.emplace_back(worker, freePartOf(*worker, demand, tasks));
    return reservation;
}

void Cell::endPlannedRoom(CellJob& job, StepRef ref)
{
    if (!isExclusive(job.spec.id, ref) || !m_exclusive->planned)
        return;
    endExclusive();
    job.step(ref).noExclusiveBefore = m_parts.timers.clock().now() + reservationDelay;
}

} // namespace cicada
