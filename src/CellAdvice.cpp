/** \file
 * The part of Cell that asks the policy service where a step may run, and starts tasks where it has leave.
 */

#include "Cell.h"
#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** A ticket must hold this long when its start is decided: the intent is stored and the order travels first. */
    constexpr absl::Duration ticketMargin = absl::Milliseconds(350);
    constexpr size_t mostWorkersAsked = 100;
    constexpr size_t fewestWorkersAsked = 8;
    /** The share of workers that a policy is taken to allow before it was asked. */
    constexpr double firstAllowedShare = 0.5;
    constexpr double leastShare = 0.05;
    constexpr double shareWeight = 0.1;
    /** So many times the room that a step needs is asked for, as others take some of it meanwhile. */
    constexpr double spareFactor = 1.6;
    constexpr absl::Duration adviceRetryDelay = absl::Milliseconds(300);
    /** Questions about steps beyond this many waiting ones would be stale when their room comes. */
    constexpr size_t maxWaitingQuestions = 12;

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
    // The table has no order of its own.
    const auto byId = [](const CellWorker* a, const CellWorker* b) { return a->listed.life.id < b->listed.life.id; };
    std::sort(allowed.begin(), allowed.end(), byId);
    std::sort(withTicket.begin(), withTicket.end(), byId);
    std::vector<Choice> choices;
    if (job.isStored && placeWhole(job, rank.ref, withTicket, choices)) {
        const bool isWhole = choices.size() == waiting;
        intend(job, rank.ref, choices);
        if (isWhole)
            return true;
    }
    const bool mustWait = step.advice.isAsking || (!job.isStored && !withTicket.empty())
        || m_parts.advice.waiting() >= maxWaitingQuestions;
    if (!mustWait) {
        // Ask only when an answer could let something start now.
        if (placeWhole(job, rank.ref, allowed, choices)) {
            askAdvice(job, rank.ref, allowed, choices.size());
        } else {
            std::vector<CellWorker*> both = allowed;
            for (CellWorker* worker : candidates(job, spec)) {
                if (!step.advice.asked.contains(worker->listed.life.id))
                    both.push_back(worker);
            }
            if (both.size() > allowed.size() && placeWhole(job, rank.ref, both, choices))
                askAdvice(job, rank.ref, both, choices.size());
        }
    }
    return false;
}

void Cell::askAdvice(CellJob& job, StepRef ref, std::vector<CellWorker*> workers, size_t wanted)
{
    CellStep& step = job.step(ref);
    const QueuePolicy& policy = policyOf(job);
    const Resources demand = demandOf(job.stepSpec(ref));
    const std::string& dataRack = job.stepSpec(ref).dataRack;
    const auto rankOf = [&](const CellWorker* worker) {
        const bool isAllowed = step.advice.allowed.contains(worker->listed.life.id);
        const bool isNear = !dataRack.empty() && worker->listed.rack == dataRack;
        const bool hasRoom = fits(demand, worker->free());
        return std::make_tuple(!hasRoom, !isNear, !isAllowed, -worker->free().cpuMillis);
    };
    std::stable_sort(workers.begin(), workers.end(),
        [&](const CellWorker* a, const CellWorker* b) { return rankOf(a) < rankOf(b); });
    const double share
        = std::max(leastShare, m_allowedShare.try_emplace(policy.queue, firstAllowedShare).first->second);
    const size_t most = std::min(mostWorkersAsked, workers.size());
    const double enough = static_cast<double>(wanted) * spareFactor;
    double expectedRoom = 0;
    size_t count = 0;
    while (count < most && (count < fewestWorkersAsked || expectedRoom < enough)) {
        const CellWorker& worker = *workers[count++];
        const bool isAllowed = step.advice.allowed.contains(worker.listed.life.id);
        expectedRoom += static_cast<double>(std::min<uint64_t>(wanted, roomFor(demand, worker.free())))
            * (isAllowed ? 1 : share);
    }
    AdviceQuestion question { { job.spec.id, ref.occurrence, ref.step, 0 }, {} };
    for (size_t i = 0; i < count; ++i)
        question.workers.push_back(workers[i]->listed.life.id);
    step.advice.isAsking = true;
    m_parts.metrics.count("cicada_advice_questions");
    const absl::Duration expected = policy.advice.perCall + policy.advice.perWorker * static_cast<double>(count);
    const std::vector<std::string> asked = question.workers;
    m_parts.advice.ask(std::move(question), expected,
        guarded([this, id = job.spec.id, ref, asked, now = m_parts.timers.clock().now()](
                    AdviceAnswer answer) { handleAdvice(id, ref, asked, now, std::move(answer)); }));
}

void Cell::handleAdvice(
    const std::string& id, StepRef ref, const std::vector<std::string>& asked, Instant askedAt, AdviceAnswer answer)
{
    CellJob* job = findJob(id);
    if (!job)
        return;
    CellStep& step = job->step(ref);
    step.advice.isAsking = false;
    if (isEnded(job->phase))
        return;
    const Instant now = m_parts.timers.clock().now();
    if (!answer.isValid) {
        step.notBefore = std::max(step.notBefore, now + adviceRetryDelay);
        m_parts.timers.after(adviceRetryDelay, guarded([this] { placeSoon(); }));
        return;
    }
    const QueuePolicy& policy = policyOf(*job);
    const absl::Duration validity = answer.validity > absl::ZeroDuration() ? answer.validity : policy.advice.validity;
    for (const std::string& worker : asked)
        step.advice.asked.insert(worker);
    for (Ticket& ticket : answer.tickets)
        if (CellWorker* worker = findWorker(ticket.worker))
            step.advice.allowed[ticket.worker] = { worker, std::move(ticket.text), now + validity };
    double& share = m_allowedShare.try_emplace(policy.queue, firstAllowedShare).first->second;
    const double seen = static_cast<double>(answer.tickets.size()) / std::max<double>(1, asked.size());
    share += (seen - share) * shareWeight;
    m_parts.log.write("advice-taken", "job", id, "occurrence", ref.occurrence, "step", ref.step, "asked", asked.size(),
        "allowed", answer.tickets.size(), "validMs", absl::ToInt64Milliseconds(validity), "tookMs",
        absl::ToInt64Milliseconds(now - askedAt));
    m_parts.metrics.observe("cicada_advice_ms", absl::ToDoubleMilliseconds(now - askedAt));
    placeSoon();
}

} // namespace cicada
