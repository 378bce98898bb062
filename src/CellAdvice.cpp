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
    const StepSpec& spec = job.stepSpec(rank.ref);
    const std::string& service = policyOf(job).service;
    std::vector<CellWorker*> withTicket;
    std::vector<CellWorker*> allowed;
    for (const auto& [id, entry] : step.advice.allowed) {
        if (!entry.worker->isUsable(now) || entry.worker->listed.service != service)
            continue;
        allowed.push_back(entry.worker);
        if (entry.validUntil > now + ticketMargin)
            withTicket.push_back(entry.worker);
    }
    // The hash table has no defined order; sorting keeps placement deterministic.
    const auto byId
        = [](const CellWorker* a, const CellWorker* b) { return a->listed.incarnation.id < b->listed.incarnation.id; };
    std::sort(allowed.begin(), allowed.end(), byId);
    std::sort(withTicket.begin(), withTicket.end(), byId);
    std::vector<Choice> choices;
    if (job.isStored && chooseWorkersForStep(job, rank.ref, withTicket, choices)) {
        const bool isFullyPlaced = choices.size() == waiting;
        storeIntent(job, rank.ref, choices);
        if (isFullyPlaced)
            return true;
    }
    const bool mustWait = step.advice.isRequestInFlight || (!job.isStored && !withTicket.empty())
        || m_parts.advisorSlots.waiting() >= maxWaitingAdviceRequests;
    if (!mustWait) {
        // Send a request only when its reply could let a task start now.
        if (chooseWorkersForStep(job, rank.ref, allowed, choices)) {
            requestStepAdvice(job, rank.ref, allowed, choices.size());
        } else {
            std::vector<CellWorker*> withUnqueried = allowed;
            for (CellWorker* worker : candidates(job, spec)) {
                if (!step.advice.queried.contains(worker->listed.incarnation.id))
                    withUnqueried.push_back(worker);
            }
            if (withUnqueried.size() > allowed.size() && chooseWorkersForStep(job, rank.ref, withUnqueried, choices))
                requestStepAdvice(job, rank.ref, withUnqueried, choices.size());
        }
    }
    return false;
}

void Cell::requestStepAdvice(CellJob& job, StepRef ref, std::vector<CellWorker*> workers, size_t wanted)
{
    CellStep& step = job.step(ref);
    const QueuePolicy& policy = policyOf(job);
    const StepSpec& spec = job.stepSpec(ref);
    const Resources demand = demandOf(spec);
    absl::flat_hash_map<std::string, uint32_t> activeRuns;
    if (spec.maxPerWorker > 0)
        activeRuns = step.activeRunsByWorker();
    const auto placeableTasks = [&](const CellWorker& worker) {
        const uint64_t fitting = countFittingTasks(demand, worker.free());
        if (spec.maxPerWorker == 0)
            return fitting;
        const auto active = activeRuns.find(worker.listed.incarnation.id);
        const uint32_t used = active == activeRuns.end() ? 0 : active->second;
        return std::min<uint64_t>(fitting, used < spec.maxPerWorker ? spec.maxPerWorker - used : 0);
    };
    const auto rankOf = [&](const CellWorker* worker) {
        const bool isAllowed = step.advice.allowed.contains(worker->listed.incarnation.id);
        const bool isOnDataRack = !spec.dataRack.empty() && worker->listed.rack == spec.dataRack;
        const bool hasRoom = placeableTasks(*worker) > 0;
        return std::make_tuple(!hasRoom, !isOnDataRack, !isAllowed, -worker->free().cpuMillis);
    };
    std::stable_sort(workers.begin(), workers.end(),
        [&](const CellWorker* a, const CellWorker* b) { return rankOf(a) < rankOf(b); });
    const double share
        = std::max(minAllowedShare, m_allowedShare.try_emplace(policy.queue, initialAllowedShare).first->second);
    const size_t maxCount = std::min(maxWorkersPerRequest, workers.size());
    const double neededTasks = static_cast<double>(wanted) * spareFactor;
    double expectedTasks = 0;
    size_t count = 0;
    while (count < maxCount && (count < minWorkersPerRequest || expectedTasks < neededTasks)) {
        const CellWorker& worker = *workers[count++];
        const bool isAllowed = step.advice.allowed.contains(worker.listed.incarnation.id);
        expectedTasks
            += static_cast<double>(std::min<uint64_t>(wanted, placeableTasks(worker))) * (isAllowed ? 1 : share);
    }
    AdviceRequest adviceRequest { { job.spec.id, ref.occurrence, ref.step, 0 }, {} };
    for (size_t i = 0; i < count; ++i)
        adviceRequest.workers.push_back(workers[i]->listed.incarnation.id);
    step.advice.isRequestInFlight = true;
    m_parts.metrics.count("cicada_advice_questions");
    const absl::Duration expected = policy.advice.perCall + policy.advice.perWorker * static_cast<double>(count);
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
    step.advice.isRequestInFlight = false;
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
