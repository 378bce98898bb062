/** \file
 * The part of Cell that decides which steps are looked at in a placement round.
 */

#include "Cell.h"

#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** Placements that fall within this interval are batched. */
    constexpr absl::Duration placementDelay = absl::Milliseconds(5);
    /** A round is followed by a pause of this many times what it took, so that orders, replies and watches have their
     * share of the thread however many steps wait. */
    constexpr double pausePerRoundTime = 2;
    /** A pass over the ready steps ends when it has cost this much. */
    constexpr size_t maxRoundCost = 1500;
    /** What a step costs that was tried on the workers, and one that need not be tried. */
    constexpr size_t unplacedStepCost = 10;
    constexpr size_t skippedStepCost = 1;
    /** Steps that a pass from the front does not get to are passed over in turn at this interval. */
    constexpr absl::Duration continuationDelay = absl::Milliseconds(50);

} // namespace

void Cell::schedulePlacement()
{
    if (m_isPlacementScheduled || m_ready.empty())
        return;
    m_isPlacementScheduled = true;
    m_parts.timers.after(std::max(placementDelay, m_lastRoundTook * pausePerRoundTime), guarded([this] {
        m_isPlacementScheduled = false;
        const Instant begun = m_parts.timers.clock().now();
        runPlacementRound();
        m_lastRoundTook = m_parts.timers.clock().now() - begun;
    }));
}

void Cell::scheduleContinuation()
{
    if (m_isContinuationScheduled)
        return;
    m_isContinuationScheduled = true;
    m_parts.timers.after(continuationDelay, guarded([this] {
        m_isContinuationScheduled = false;
        m_isContinuationDue = true;
        schedulePlacement();
    }));
}

void Cell::runPlacementRound()
{
    if (m_isSuperseded)
        return;
    const std::vector<StepRank> ranks = orderReadySteps();
    m_usableWorkers.clear();
    clearUnmetDemands();
    updateProbation();
    placeSuspects();
    const std::vector<Reservation> reservations = reserveForGangs(ranks);
    placeWithReservedTickets(reservations);
    const size_t end = placeFrom(ranks, 0, reservations);
    if (m_isContinuationDue)
        continueRound(ranks, end, reservations);
    if (end < ranks.size())
        scheduleContinuation();
    openWorkersTo("");
    placeSuspectsOnIdleWorkers();
    // Advice that arrives later is used in the next round, which makes new reservations.
    for (auto& [id, worker] : m_workers) {
        worker.reserved = Resources();
        worker.backfillable = Resources();
    }
    m_backfillUntil = absl::ZeroDuration();
}

std::vector<StepRank> Cell::orderReadySteps()
{
    std::vector<StepRank> ranks(m_ready.begin(), m_ready.end());
    if (!m_hasAccounts)
        return ranks;
    const auto endOfOwed
        = std::find_if(ranks.begin(), ranks.end(), [](const StepRank& rank) { return !isOwed(rank.key.urgency); });
    std::vector<AccountShares::Waiting> steps;
    steps.reserve(static_cast<size_t>(endOfOwed - ranks.begin()));
    for (auto rank = ranks.begin(); rank != endOfOwed; ++rank) {
        const CellJob* job = findJob(rank->job);
        if (!job)
            continue;
        const std::string& account = job->spec.account;
        steps.push_back({ &*rank, account, weightOf(account), waitingWorkOf(*job, rank->ref) });
    }
    m_accountShares.assignTags(steps);
    std::sort(ranks.begin(), endOfOwed, isBeforeByShare);
    return ranks;
}

void Cell::continueRound(absl::Span<const StepRank> ranks, size_t end, absl::Span<const Reservation> reservations)
{
    m_isContinuationDue = false;
    size_t first = end;
    if (m_continueAt)
        first = std::max<size_t>(
            end, std::lower_bound(ranks.begin(), ranks.end(), *m_continueAt, isBeforeByShare) - ranks.begin());
    const size_t next = placeFrom(ranks, first, reservations);
    m_continueAt = next < ranks.size() ? std::optional<StepRank>(ranks[next]) : std::nullopt;
}

size_t Cell::placeFrom(absl::Span<const StepRank> ranks, size_t first, absl::Span<const Reservation> reservations)
{
    const auto* reserved = std::find_if(reservations.begin(), reservations.end(),
        [&](const Reservation& reservation) { return reservation.rank >= ranks.data() + first; });
    size_t cost = 0;
    size_t index = first;
    for (; index < ranks.size() && cost < maxRoundCost; ++index) {
        const StepRank& rank = ranks[index];
        const bool hasReservation = reserved != reservations.end() && reserved->rank == &rank;
        if (hasReservation) {
            reserved->release();
            clearUnmetDemands();
        }
        const StepOutcome outcome = placeStep(rank);
        if (outcome != StepOutcome::Placed)
            holdAgain(rank, hasReservation ? &*reserved : nullptr);
        reserved += hasReservation ? 1 : 0;
        if (outcome == StepOutcome::Placed)
            removeRank(rank);
        else
            updateRank(rank);
        cost += outcome == StepOutcome::Unplaced ? unplacedStepCost : skippedStepCost;
    }
    return index;
}

void Cell::placeWithReservedTickets(absl::Span<const Reservation> reservations)
{
    for (const Reservation& reservation : reservations) {
        const StepRank& rank = *reservation.rank;
        CellJob* job = findJob(rank.job);
        const StepAdvice* advice = job ? &job->step(rank.ref).advice : nullptr;
        if (!advice || !advice->reservation || advice->ticketRequestsInFlight > 0)
            continue;
        reservation.release();
        clearUnmetDemands();
        if (placeStep(rank) == StepOutcome::Placed)
            removeRank(rank);
        // The pass that meets the reservation releases it.
        reservation.hold();
    }
}

void Cell::holdAgain(const StepRank& rank, const Reservation* former)
{
    CellJob* job = findJob(rank.job);
    const Reservation tickets = job ? ticketReservationOf(*job, rank) : Reservation();
    if (!tickets.freeCapacities.empty())
        tickets.hold();
    // Another step of the account may have used up its limit in this round.
    else if (former && !(job && isHeldByLimit(*job, rank.ref)))
        former->hold();
}

void Cell::removeRank(const StepRank& rank)
{
    if (CellJob* job = findJob(rank.job))
        dequeueStep(*job, rank.ref);
    // A rank whose job is gone.
    m_ready.erase(rank);
}

void Cell::updateRank(const StepRank& rank)
{
    CellJob* job = findJob(rank.job);
    if (!job)
        return;
    reportWait(*job, rank.ref);
    const StepUrgency urgency = urgencyOf(job->timesOf(rank.ref), m_parts.timers.clock().now());
    if (urgency != rank.key.urgency) {
        dequeueStep(*job, rank.ref);
        insertReady(*job, rank.ref);
    }
    updateWaiting(*job, rank.ref);
}

} // namespace cicada
