/** \file
 * The part of Cell that requests permission from the policy service to run a step on workers, and starts tasks where a
 * ticket has been granted.
 */

#include "Cell.h"
#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** The policy service accepts no more. */
    constexpr size_t maxWorkersPerRequest = 100;
    constexpr size_t minWorkersPerRequest = 8;
    /** A request covers this many times the tasks that wait, as other steps may take some of the capacity meanwhile. */
    constexpr double spareFactor = 1.6;
    constexpr absl::Duration adviceRetryDelay = absl::Milliseconds(300);
    /** With this many requests waiting, a further one would be stale by the time its step gets capacity. */
    constexpr size_t maxWaitingAdviceRequests = 12;
    /** How long a gang keeps its capacity for replies that are on their way, beyond the service's own time. */
    constexpr absl::Duration maxTicketWait = absl::Seconds(2);
    /** How long it keeps it after the last reply; the round that places it follows at once. */
    constexpr absl::Duration placingTime = absl::Milliseconds(200);
    /** Gangs that wait for tickets may together keep capacity on this share of the workers. */
    constexpr double maxTicketReservedShare = 0.25;

    TicketReservation reservationOf(absl::Span<const PlacementChoice> choices)
    {
        absl::btree_map<std::string, std::pair<CellWorker*, uint32_t>> tasks;
        for (const PlacementChoice& choice : choices) {
            auto& [worker, count] = tasks[choice.worker->listed.incarnation.id];
            worker = choice.worker;
            ++count;
        }
        TicketReservation reservation;
        for (const auto& [id, item] : tasks)
            reservation.tasksByWorker.push_back(item);
        return reservation;
    }

    /** The workers with what they could take of the step, those first that are best asked. */
    std::vector<AdviceCandidate> rankForAdvice(
        const CellJob& job, StepRef ref, absl::Span<CellWorker* const> workers, RoomBasis basis)
    {
        const CellStep& step = job.step(ref);
        const StepSpec& spec = job.stepSpec(ref);
        const Resources demand = demandOf(spec);
        absl::flat_hash_map<std::string, uint32_t> activeRuns;
        if (spec.maxPerWorker > 0)
            activeRuns = step.activeRunsByWorker();
        std::vector<AdviceCandidate> candidates;
        for (CellWorker* worker : workers) {
            if (worker->isKept())
                continue;
            const std::string& id = worker->listed.incarnation.id;
            const Resources free = freeOn(*worker, basis);
            uint64_t placeable = countFittingTasks(demand, free);
            if (spec.maxPerWorker > 0) {
                const uint32_t used = activeRuns.contains(id) ? activeRuns[id] : 0;
                placeable = std::min<uint64_t>(placeable, used < spec.maxPerWorker ? spec.maxPerWorker - used : 0);
            }
            const bool isOnDataRack = !spec.dataRack.empty() && worker->listed.rack == spec.dataRack;
            candidates.push_back({ worker, placeable, step.advice.allowed.contains(id), isOnDataRack });
        }
        const auto rankOf = [](const AdviceCandidate& candidate) {
            return std::make_tuple(candidate.placeable == 0, !candidate.isOnDataRack, !candidate.isAllowed,
                -candidate.worker->free().cpuMillis);
        };
        std::stable_sort(candidates.begin(), candidates.end(),
            [&](const AdviceCandidate& a, const AdviceCandidate& b) { return rankOf(a) < rankOf(b); });
        return candidates;
    }

} // namespace

bool Cell::placeWithAdvice(const StepRank& rank, CellJob& job, size_t waiting)
{
    CellStep& step = job.step(rank.ref);
    const std::vector<CellWorker*> allowed = allowedWorkers(job, rank.ref);
    const std::vector<CellWorker*> withTicket = workersWithTicket(job, rank.ref);
    std::vector<Choice> choices;
    if (job.isStored && chooseWorkersForStep(job, rank.ref, withTicket, choices)) {
        const bool isFullyPlaced = choices.size() == waiting;
        step.advice.reservation.reset();
        storeIntent(job, rank.ref, choices);
        if (isFullyPlaced)
            return true;
    }
    if (job.stepSpec(rank.ref).isGang && job.isStored) {
        requestGangAdvice(job, rank.ref, allowed);
        return false;
    }
    if (!canAskForAdvice(job, rank.ref) || (!job.isStored && !withTicket.empty()))
        return false;
    // Send a request only when its reply could let a task start now.
    if (chooseWorkersForStep(job, rank.ref, allowed, choices)) {
        requestStepAdvice(
            job, rank.ref, allowed, static_cast<double>(choices.size()) * spareFactor, RoomBasis::FreeNow);
        return false;
    }
    const std::vector<CellWorker*> possible = possibleWorkers(job, rank.ref);
    if (possible.size() > allowed.size() && chooseWorkersForStep(job, rank.ref, possible, choices))
        requestStepAdvice(
            job, rank.ref, possible, static_cast<double>(choices.size()) * spareFactor, RoomBasis::FreeNow);
    return false;
}

void Cell::requestGangAdvice(CellJob& job, StepRef ref, const std::vector<CellWorker*>& allowed)
{
    std::vector<Choice> choices;
    if (!canRequestTickets(job, ref))
        return;
    if (chooseWorkersForStep(job, ref, allowed, choices))
        return requestTickets(job, ref, choices);
    if (!canAskForAdvice(job, ref) || isHearingWorkers())
        return;
    const StepSpec& spec = job.stepSpec(ref);
    const uint64_t free = roomOn(spec, allowed, RoomBasis::FreeNow);
    const std::vector<CellWorker*> unqueried = unqueriedWorkers(job, ref);
    const bool mayFitNow
        = free < spec.taskCount && free + roomOn(spec, unqueried, RoomBasis::FreeNow) >= spec.taskCount;
    if (mayFitNow)
        requestStepAdvice(
            job, ref, unqueried, spec.taskCount * spareFactor - static_cast<double>(free), RoomBasis::FreeNow);
    else
        learnAllowedWorkers(job, ref);
}

void Cell::learnAllowedWorkers(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    if (!policyOf(job).advice.isNeeded || !canAskForAdvice(job, ref))
        return;
    const auto known = static_cast<double>(roomOn(spec, allowedWorkers(job, ref), RoomBasis::InTime));
    const double wanted = spec.taskCount * spareFactor;
    if (known >= wanted)
        return;
    const std::vector<CellWorker*> unqueried = unqueriedWorkers(job, ref);
    if (!unqueried.empty())
        requestStepAdvice(job, ref, unqueried, wanted - known, RoomBasis::InTime);
}

void Cell::requestTickets(CellJob& job, StepRef ref, absl::Span<const Choice> choices)
{
    TicketReservation reservation = reservationOf(choices);
    std::vector<CellWorker*> workers;
    for (const auto& [worker, tasks] : reservation.tasksByWorker)
        workers.push_back(worker);
    const AdvicePolicy& policy = policyOf(job).advice;
    const auto named = static_cast<double>(std::min(workers.size(), maxWorkersPerRequest));
    reservation.until = m_parts.timers.clock().now() + policy.perCall + policy.perWorker * named + maxTicketWait;
    const bool isReserved = reserveForTickets(job, ref, std::move(reservation));
    // Without its room, a gang asks only while the service is not busy with others.
    if (isReserved || canAskForAdvice(job, ref))
        sendAdviceRequests(job, ref, workers, AdvicePurpose::Tickets);
}

bool Cell::reserveForTickets(CellJob& job, StepRef ref, TicketReservation reservation)
{
    job.step(ref).advice.reservation.reset();
    if (!mayReserve(job, ref))
        return false;
    const Instant now = m_parts.timers.clock().now();
    size_t keptByOthers = 0;
    bool isExceeded = false;
    for (const StepRank& rank : m_ready) {
        CellJob* other = rank.job == job.spec.id && rank.ref == ref ? nullptr : findJob(rank.job);
        const auto* kept = other ? &other->step(rank.ref).advice.reservation : nullptr;
        if (!kept || !*kept || (*kept)->until <= now)
            continue;
        keptByOthers += (*kept)->tasksByWorker.size();
        isExceeded = isExceeded || (*kept)->exceedsShare;
    }
    const double limit = static_cast<double>(m_workers.size()) * maxTicketReservedShare;
    const auto workers = static_cast<double>(reservation.tasksByWorker.size());
    const bool isWide = workers * 2 > limit;
    reservation.exceedsShare = static_cast<double>(keptByOthers) + workers > limit;
    if (reservation.exceedsShare && !isExclusive(job.spec.id, ref) && (isExceeded || !isWide))
        return false;
    job.step(ref).advice.reservation = std::move(reservation);
    m_parts.metrics.count("cicada_ticket_reservations");
    return true;
}

bool Cell::canAskForAdvice(CellJob& job, StepRef ref)
{
    const CellStep& step = job.step(ref);
    const AdvicePolicy& advice = policyOf(job).advice;
    const absl::Duration expected = advice.perCall + advice.perWorker * static_cast<double>(minWorkersPerRequest);
    const bool isLearning = step.advice.requestsInFlight > step.advice.ticketRequestsInFlight;
    return !isLearning && step.notBefore <= m_parts.timers.clock().now()
        && m_parts.advisorSlots.waitingBefore(expected) < maxWaitingAdviceRequests;
}

bool Cell::canRequestTickets(CellJob& job, StepRef ref)
{
    const CellStep& step = job.step(ref);
    return job.isStored && step.advice.ticketRequestsInFlight == 0 && step.notBefore <= m_parts.timers.clock().now();
}

bool Cell::isHearingWorkers() const
{
    if (m_parts.timers.clock().now() - m_loadedAt >= hearingTime)
        return false;
    return std::any_of(m_workers.begin(), m_workers.end(), [](const auto& item) {
        const CellWorker& worker = item.second;
        return worker.isListed && !worker.hasReplied && worker.failedSyncs == 0;
    });
}

std::vector<CellWorker*> Cell::allowedWorkers(CellJob& job, StepRef ref)
{
    if (!policyOf(job).advice.isNeeded)
        return candidates(job, job.stepSpec(ref));
    const Instant now = m_parts.timers.clock().now();
    const std::string& service = policyOf(job).service;
    std::vector<CellWorker*> allowed;
    for (const auto& [id, entry] : job.step(ref).advice.allowed) {
        if (entry.worker->isUsable(now) && entry.worker->listed.service == service)
            allowed.push_back(entry.worker);
    }
    return allowed;
}

std::vector<CellWorker*> Cell::workersWithTicket(CellJob& job, StepRef ref)
{
    const Instant validUntil = m_parts.timers.clock().now() + ticketMargin;
    std::vector<CellWorker*> withTicket = allowedWorkers(job, ref);
    const auto& entries = job.step(ref).advice.allowed;
    const auto hasExpired
        = [&](const CellWorker* worker) { return entries.at(worker->listed.incarnation.id).validUntil <= validUntil; };
    withTicket.erase(std::remove_if(withTicket.begin(), withTicket.end(), hasExpired), withTicket.end());
    return withTicket;
}

std::vector<CellWorker*> Cell::unqueriedWorkers(CellJob& job, StepRef ref)
{
    std::vector<CellWorker*> unqueried;
    if (!policyOf(job).advice.isNeeded)
        return unqueried;
    const CellStep& step = job.step(ref);
    for (CellWorker* worker : candidates(job, job.stepSpec(ref))) {
        if (!step.advice.queried.contains(worker->listed.incarnation.id))
            unqueried.push_back(worker);
    }
    return unqueried;
}

std::vector<CellWorker*> Cell::possibleWorkers(CellJob& job, StepRef ref)
{
    std::vector<CellWorker*> possible = allowedWorkers(job, ref);
    const std::vector<CellWorker*> unqueried = unqueriedWorkers(job, ref);
    possible.insert(possible.end(), unqueried.begin(), unqueried.end());
    return possible;
}

void Cell::requestStepAdvice(
    CellJob& job, StepRef ref, absl::Span<CellWorker* const> workers, double neededTasks, RoomBasis basis)
{
    const double share = m_allowedShares[policyOf(job).queue].estimate();
    double expectedTasks = 0;
    std::vector<CellWorker*> asked;
    for (const AdviceCandidate& candidate : rankForAdvice(job, ref, workers, basis)) {
        if (asked.size() >= minWorkersPerRequest && expectedTasks >= neededTasks)
            break;
        // Further requests are worth their time only for workers with room.
        if (asked.size() >= maxWorkersPerRequest && candidate.placeable == 0)
            break;
        asked.push_back(candidate.worker);
        const double tasks = std::min(neededTasks, static_cast<double>(candidate.placeable));
        expectedTasks += tasks * (candidate.isAllowed ? 1 : share);
    }
    sendAdviceRequests(job, ref, asked, AdvicePurpose::Learning);
}

void Cell::sendAdviceRequests(CellJob& job, StepRef ref, absl::Span<CellWorker* const> workers, AdvicePurpose purpose)
{
    // Tickets expire soon, so those that are needed together are requested at once.
    const size_t requests = (workers.size() + maxWorkersPerRequest - 1) / maxWorkersPerRequest;
    for (size_t i = 0; i < requests; ++i) {
        const size_t first = workers.size() * i / requests;
        const size_t end = workers.size() * (i + 1) / requests;
        sendAdviceRequest(job, ref, workers.subspan(first, end - first), purpose);
    }
}

void Cell::sendAdviceRequest(CellJob& job, StepRef ref, absl::Span<CellWorker* const> workers, AdvicePurpose purpose)
{
    const QueuePolicy& policy = policyOf(job);
    AdviceRequest adviceRequest { { job.spec.id, ref.occurrence, ref.step, 0 }, {} };
    for (const CellWorker* worker : workers)
        adviceRequest.workers.push_back(worker->listed.incarnation.id);
    StepAdvice& advice = job.step(ref).advice;
    ++advice.requestsInFlight;
    ++advice.requestsSent;
    advice.ticketRequestsInFlight += purpose == AdvicePurpose::Tickets ? 1 : 0;
    m_parts.metrics.count("cicada_advice_questions");
    const absl::Duration expected
        = policy.advice.perCall + policy.advice.perWorker * static_cast<double>(workers.size());
    const std::vector<std::string> queried = adviceRequest.workers;
    m_parts.advisorSlots.request(std::move(adviceRequest), expected,
        guarded([this, id = job.spec.id, ref, purpose, queried, now = m_parts.timers.clock().now()](
                    AdviceReply reply) { handleAdvice(id, ref, purpose, queried, now, std::move(reply)); }));
}

void Cell::handleAdvice(const std::string& id, StepRef ref, AdvicePurpose purpose,
    const std::vector<std::string>& queried, Instant requestedAt, AdviceReply reply)
{
    CellJob* job = findJob(id);
    if (!job)
        return;
    CellStep& step = job->step(ref);
    const Instant now = m_parts.timers.clock().now();
    StepAdvice& advice = step.advice;
    advice.requestsInFlight -= std::min(advice.requestsInFlight, 1U);
    if (purpose == AdvicePurpose::Tickets) {
        advice.ticketRequestsInFlight -= std::min(advice.ticketRequestsInFlight, 1U);
        if (advice.ticketRequestsInFlight == 0 && advice.reservation)
            advice.reservation->until = std::min(advice.reservation->until, now + placingTime);
    }
    if (isEnded(job->phase))
        return;
    advice.hasFailed = !reply.isValid;
    if (!reply.isValid) {
        if (purpose == AdvicePurpose::Tickets)
            advice.reservation.reset();
        endPlannedRoom(*job, ref);
        step.notBefore = std::max(step.notBefore, now + adviceRetryDelay);
        m_parts.timers.after(adviceRetryDelay, guarded([this] { schedulePlacement(); }));
        return;
    }
    const QueuePolicy& policy = policyOf(*job);
    const absl::Duration validity = reply.validity > absl::ZeroDuration() ? reply.validity : policy.advice.validity;
    const size_t tickets = reply.tickets.size();
    recordAdvice(step, policy.queue, queried, std::move(reply.tickets), now + validity);
    m_parts.log.write("advice-taken", "job", id, "occurrence", ref.occurrence, "step", ref.step, "asked",
        queried.size(), "allowed", tickets, "validMs", absl::ToInt64Milliseconds(validity), "tookMs",
        absl::ToInt64Milliseconds(now - requestedAt));
    m_parts.metrics.observe("cicada_advice_ms", absl::ToDoubleMilliseconds(now - requestedAt));
    if (isExclusive(id, ref) && m_exclusive->planned)
        m_exclusive->planned->nextDecisionAt = now;
    schedulePlacement();
}

void Cell::recordAdvice(CellStep& step, const std::string& queue, absl::Span<const std::string> queried,
    std::vector<Ticket> tickets, Instant validUntil)
{
    absl::flat_hash_set<std::string> refused;
    size_t asked = 0;
    for (const std::string& worker : queried) {
        refused.insert(worker);
        asked += step.advice.queried.insert(worker).second ? 1 : 0;
    }
    size_t allowed = 0;
    for (Ticket& ticket : tickets) {
        refused.erase(ticket.worker);
        CellWorker* worker = findWorker(ticket.worker);
        if (!worker)
            continue;
        const auto [entry, isNew] = step.advice.allowed.try_emplace(ticket.worker);
        entry->second = { worker, std::move(ticket.text), validUntil };
        allowed += isNew ? 1 : 0;
    }
    // A worker that was allowed may have started again as another kind, or be away; it is asked about again.
    for (const std::string& worker : refused) {
        if (step.advice.allowed.erase(worker) > 0)
            step.advice.queried.erase(worker);
    }
    m_allowedShares[queue].add(asked, allowed);
}

} // namespace cicada
