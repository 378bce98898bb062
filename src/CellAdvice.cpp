/** \file
 * The part of Cell that requests permission from the policy service to run a step on workers, and starts tasks where a
 * ticket has been granted.
 */

#include "Cell.h"
#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** The minimum remaining validity of a ticket when a start is decided, as the intent is stored and the order sent
     * first. */
    constexpr absl::Duration ticketMargin = absl::Milliseconds(350);
    /** The policy service accepts no more. */
    constexpr size_t maxWorkersPerRequest = 100;
    constexpr size_t minWorkersPerRequest = 8;
    /** The share of workers that a queue's policy is assumed to allow before its first reply. */
    constexpr double initialAllowedShare = 0.5;
    constexpr double minAllowedShare = 0.05;
    constexpr double shareWeight = 0.1;
    /** A request covers this many times the tasks that wait, as other steps may take some of the capacity meanwhile. */
    constexpr double spareFactor = 1.6;
    constexpr absl::Duration adviceRetryDelay = absl::Milliseconds(300);
    /** With this many requests waiting, a further one would be stale by the time its step gets capacity. */
    constexpr size_t maxWaitingAdviceRequests = 12;

} // namespace

bool Cell::placeWithAdvice(const Rank& rank, CellJob& job, size_t waiting)
{
    const Instant now = m_parts.timers.clock().now();
    CellStep& step = job.step(rank.ref);
    const std::vector<CellWorker*> allowed = allowedWorkers(job, rank.ref);
    std::vector<CellWorker*> withTicket;
    std::copy_if(allowed.begin(), allowed.end(), std::back_inserter(withTicket), [&](const CellWorker* worker) {
        return step.advice.allowed.at(worker->listed.incarnation.id).validUntil > now + ticketMargin;
    });
    std::vector<Choice> choices;
    if (job.isStored && chooseWorkersForStep(job, rank.ref, withTicket, choices)) {
        const bool isFullyPlaced = choices.size() == waiting;
        storeIntent(job, rank.ref, choices);
        if (isFullyPlaced)
            return true;
    }
    if (!canAskForAdvice(job, rank.ref) || (!job.isStored && !withTicket.empty()))
        return false;
    // Send a request only when its reply could let a task start now.
    if (chooseWorkersForStep(job, rank.ref, allowed, choices)) {
        requestStepAdvice(job, rank.ref, allowed, choices.size(), RoomBasis::FreeNow);
        return false;
    }
    const std::vector<CellWorker*> possible = possibleWorkers(job, rank.ref);
    if (possible.size() > allowed.size() && chooseWorkersForStep(job, rank.ref, possible, choices))
        requestStepAdvice(job, rank.ref, possible, choices.size(), RoomBasis::FreeNow);
    return false;
}

bool Cell::canAskForAdvice(CellJob& job, StepRef ref)
{
    const CellStep& step = job.step(ref);
    const AdvicePolicy& advice = policyOf(job).advice;
    const absl::Duration expected = advice.perCall + advice.perWorker * static_cast<double>(minWorkersPerRequest);
    return step.advice.requestsInFlight == 0 && step.notBefore <= m_parts.timers.clock().now()
        && m_parts.advisorSlots.waitingBefore(expected) < maxWaitingAdviceRequests;
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

std::vector<Cell::AdviceCandidate> Cell::rankForAdvice(
    CellJob& job, StepRef ref, absl::Span<CellWorker* const> workers, RoomBasis basis)
{
    const CellStep& step = job.step(ref);
    const StepSpec& spec = job.stepSpec(ref);
    const Resources demand = demandOf(spec);
    absl::flat_hash_map<std::string, uint32_t> activeRuns;
    if (spec.maxPerWorker > 0)
        activeRuns = step.activeRunsByWorker();
    std::vector<AdviceCandidate> candidates;
    for (CellWorker* worker : workers) {
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

void Cell::requestStepAdvice(
    CellJob& job, StepRef ref, absl::Span<CellWorker* const> workers, size_t wanted, RoomBasis basis)
{
    const double share
        = std::max(minAllowedShare, m_allowedShare.try_emplace(policyOf(job).queue, initialAllowedShare).first->second);
    const double neededTasks = static_cast<double>(wanted) * spareFactor;
    double expectedTasks = 0;
    std::vector<CellWorker*> asked;
    for (const AdviceCandidate& candidate : rankForAdvice(job, ref, workers, basis)) {
        if (asked.size() >= minWorkersPerRequest && expectedTasks >= neededTasks)
            break;
        // Further requests are worth their time only for workers with room.
        if (asked.size() >= maxWorkersPerRequest && candidate.placeable == 0)
            break;
        asked.push_back(candidate.worker);
        const auto tasks = static_cast<double>(std::min<uint64_t>(wanted, candidate.placeable));
        expectedTasks += tasks * (candidate.isAllowed ? 1 : share);
    }
    // Tickets expire soon, so those that are needed together are requested at once.
    const size_t requests = (asked.size() + maxWorkersPerRequest - 1) / maxWorkersPerRequest;
    for (size_t i = 0; i < requests; ++i) {
        const size_t first = asked.size() * i / requests;
        const size_t end = asked.size() * (i + 1) / requests;
        sendAdviceRequest(job, ref, absl::MakeConstSpan(asked).subspan(first, end - first));
    }
}

void Cell::sendAdviceRequest(CellJob& job, StepRef ref, absl::Span<CellWorker* const> workers)
{
    const QueuePolicy& policy = policyOf(job);
    AdviceRequest adviceRequest { { job.spec.id, ref.occurrence, ref.step, 0 }, {} };
    for (const CellWorker* worker : workers)
        adviceRequest.workers.push_back(worker->listed.incarnation.id);
    ++job.step(ref).advice.requestsInFlight;
    m_parts.metrics.count("cicada_advice_questions");
    const absl::Duration expected
        = policy.advice.perCall + policy.advice.perWorker * static_cast<double>(workers.size());
    const std::vector<std::string> queried = adviceRequest.workers;
    m_parts.advisorSlots.request(std::move(adviceRequest), expected,
        guarded([this, id = job.spec.id, ref, queried, now = m_parts.timers.clock().now()](
                    AdviceReply reply) { handleAdvice(id, ref, queried, now, std::move(reply)); }));
}

void Cell::handleAdvice(
    const std::string& id, StepRef ref, const std::vector<std::string>& queried, Instant requestedAt, AdviceReply reply)
{
    CellJob* job = findJob(id);
    if (!job)
        return;
    CellStep& step = job->step(ref);
    step.advice.requestsInFlight -= std::min(step.advice.requestsInFlight, 1U);
    if (isEnded(job->phase))
        return;
    const Instant now = m_parts.timers.clock().now();
    if (!reply.isValid) {
        step.notBefore = std::max(step.notBefore, now + adviceRetryDelay);
        m_parts.timers.after(adviceRetryDelay, guarded([this] { schedulePlacement(); }));
        return;
    }
    const QueuePolicy& policy = policyOf(*job);
    const absl::Duration validity = reply.validity > absl::ZeroDuration() ? reply.validity : policy.advice.validity;
    for (const std::string& worker : queried)
        step.advice.queried.insert(worker);
    for (Ticket& ticket : reply.tickets)
        if (CellWorker* worker = findWorker(ticket.worker))
            step.advice.allowed[ticket.worker] = { worker, std::move(ticket.text), now + validity };
    double& share = m_allowedShare.try_emplace(policy.queue, initialAllowedShare).first->second;
    const double observedShare = static_cast<double>(reply.tickets.size()) / std::max<double>(1, queried.size());
    share += (observedShare - share) * shareWeight;
    m_parts.log.write("advice-taken", "job", id, "occurrence", ref.occurrence, "step", ref.step, "asked",
        queried.size(), "allowed", reply.tickets.size(), "validMs", absl::ToInt64Milliseconds(validity), "tookMs",
        absl::ToInt64Milliseconds(now - requestedAt));
    m_parts.metrics.observe("cicada_advice_ms", absl::ToDoubleMilliseconds(now - requestedAt));
    schedulePlacement();
}

} // namespace cicada
