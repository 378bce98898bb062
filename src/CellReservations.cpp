/** \file
 * The part of Cell that withholds free capacity for gangs, which need it on many workers at the same moment.
 *
 * Gangs get reservations in the order of rank, on a limited share of the workers, so that a queue of them does not idle
 * the cell. That share is less than a wide gang needs, and once it is late, all that is on time goes before it.
 * Therefore one such gang at a time, the one that has waited longest, has the exclusive reservation: as many workers as
 * it needs, whatever the share and its rank, until it starts or its time is up.
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

} // namespace

void Cell::Reservation::hold() const
{
    for (const auto& [worker, freeCapacity] : freeCapacities)
        worker->reserved = worker->reserved + freeCapacity;
}

void Cell::Reservation::release() const
{
    for (const auto& [worker, freeCapacity] : freeCapacities)
        worker->reserved = worker->reserved - freeCapacity;
}

std::vector<Cell::Reservation> Cell::reserveForGangs(const std::vector<StepRank>& ranks)
{
    updateExclusive(ranks);
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
        hold(reserveFor(*findJob(exclusive->job), *exclusive, m_workers.size()));
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
        const Resources free = worker->free();
        const auto count = static_cast<int64_t>(tasks);
        reservation.freeCapacities.emplace_back(worker,
            Resources { std::max<int64_t>(0, std::min(free.cpuMillis, demand.cpuMillis * count)),
                std::max<int64_t>(0, std::min(free.memoryMiB, demand.memoryMiB * count)),
                std::max<int64_t>(0, std::min(free.accelerators, demand.accelerators * count)) });
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
    if (!isWaiting || isHeldByLimit(job, ref) || now - std::max(step.readyAt, job.arrivedAt) < exclusiveDelay
        || now < step.noExclusiveBefore)
        return false;
    return step.latestStart < now && mayReserve(job, ref) && needsMoreThanShare(job, job.stepSpec(ref));
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

Resources Cell::freeOn(const CellWorker& worker, RoomBasis basis)
{
    return basis == RoomBasis::FreeNow ? worker.free() : worker.freeInTime();
}

uint64_t Cell::roomOn(const StepSpec& spec, absl::Span<CellWorker* const> workers, RoomBasis basis) const
{
    const Resources demand = demandOf(spec);
    uint64_t room = 0;
    for (const CellWorker* worker : workers)
        room += countFittingTasks(demand, freeOn(*worker, basis), spec.maxPerWorker);
    return room;
}

void Cell::updateExclusive(absl::Span<const StepRank> ranks)
{
    const Instant now = m_parts.timers.clock().now();
    if (m_exclusive) {
        CellJob* job = findJob(m_exclusive->job);
        const bool isValid = job && mayBeExclusive(*job, m_exclusive->ref) && now < m_exclusive->until;
        if (isValid)
            return learnAllowedWorkers(*job, m_exclusive->ref);
        endExclusive();
    }
    if (now < m_nextExclusiveSearch)
        return;
    m_nextExclusiveSearch = now + exclusiveSearchInterval;
    const StepRank* longest = findLongestWaiting(ranks);
    if (!longest)
        return;
    m_exclusive = ExclusiveReservation { longest->job, longest->ref, now + maxExclusive };
    CellJob& job = *findJob(longest->job);
    m_parts.log.write("reservation-begun", "job", longest->job, "occurrence", longest->ref.occurrence, "step",
        longest->ref.step, "tasks", job.step(longest->ref).tasks.size(), "waitedMs",
        absl::ToInt64Milliseconds(now - job.step(longest->ref).readyAt));
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
        if (canGatherRoom(job, rank->ref))
            return rank;
        job.step(rank->ref).noExclusiveBefore = m_parts.timers.clock().now() + gatherCheckInterval;
    }
    return nullptr;
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
    for (const auto& [worker, tasks] : tickets->tasksByWorker) {
        Resources held;
        for (uint32_t i = 0; i < tasks; ++i)
            held = held + demand;
        reservation.freeCapacities.emplace_back(worker, held);
    }
    return reservation;
}

} // namespace cicada
