/** \file
 * The part of Cell that decides whether a job of a client account is accepted.
 */

#include "Cell.h"
#include "SaturatingCast.h"

#include "Job.h"

#include <xxhash.h>

#include <algorithm>

namespace cicada {

namespace {

    /** Writes that have failed for this long count as failing: a single lost reply takes up to 1.5 s to be noticed. */
    constexpr absl::Duration maxStoreFailure = absl::Milliseconds(1500);

    uint64_t hashOf(const std::string& id) { return XXH64(id.data(), id.size(), 0); }

    double widestWorkOf(const CellJob& job)
    {
        double widest = 0;
        for (uint32_t s = 0; s < job.spec.steps.size(); ++s)
            widest = std::max(widest, job.workOfTask({ 0, s }) * job.spec.steps[s].taskCount);
        return widest;
    }

} // namespace

bool Cell::isFullFor(CellJob& job, int64_t& capacity)
{
    const Instant now = m_parts.timers.clock().now();
    const std::string& service = policyOf(job).service;
    bool isFull = true;
    for (const auto& item : m_workers) {
        const CellWorker& worker = item.second;
        if (worker.listed.service != service || !worker.isUsable(now))
            continue;
        capacity += worker.listed.capacity.cpuMillis;
        isFull = isFull && std::none_of(job.spec.steps.begin(), job.spec.steps.end(), [&](const StepSpec& step) {
            return step.after.empty() && hasLabel(worker.listed, step.requiredLabel)
                && fits(demandOf(step), worker.free());
        });
    }
    return isFull;
}

AdmissionInputs Cell::admissionInputs(CellJob& job)
{
    AdmissionInputs inputs;
    inputs.hasAccount = !job.spec.account.empty();
    int64_t capacity = 0;
    // Occurrences that are due later say nothing about the room that they will find.
    inputs.isFull = isFullFor(job, capacity) && job.spec.occurrences == 0 && !isHearingWorkers();
    if (!inputs.isFull)
        return inputs;
    const double weight = weightOf(job.spec.account);
    inputs.capacity = static_cast<double>(capacity);
    inputs.isExcess = m_accountRate.isExcess(job.spec.account, weight, m_parts.timers.clock().now());
    const QueuePolicy& policy = policyOf(job);
    inputs.hasOwedWaiting = m_waitingWork.hasOwed(policy.service);
    inputs.criticalPath = job.criticalPath();
    inputs.widestWork = widestWorkOf(job);
    inputs.idHash = hashOf(job.spec.id);
    const bool hasService = std::any_of(
        job.spec.steps.begin(), job.spec.steps.end(), [](const StepSpec& step) { return step.isService; });
    if (!hasService)
        inputs.objective = objectiveOf(job, policy);
    const Instant latestStart = job.acceptedAt + objectiveOf(job, policy) - inputs.criticalPath;
    const StepUrgency urgency = inputs.isExcess ? StepUrgency::ExcessOnTime : StepUrgency::OnTime;
    inputs.workAhead = m_waitingWork.aheadOf(
        { { urgency, policy.priority, latestStart }, policy.service, job.spec.account, weight, 0 });
    return inputs;
}

AdmissionDecision Cell::admissionOf(CellJob& job)
{
    if (job.spec.account.empty())
        return {};
    // The job's write has not been handed over, so it certainly takes no effect.
    if (m_writer.failingFor() >= maxStoreFailure)
        return { RefusalReason::StoreUnavailable, retryAfterSeconds(absl::Seconds(1), hashOf(job.spec.id)), {} };
    const AdmissionInputs inputs = admissionInputs(job);
    const AdmissionDecision decision = decideAdmission(inputs);
    if (decision.isRefused())
        m_parts.log.write("job-refused", "job", job.spec.id, "queue", job.policy.queue, "account", job.spec.account,
            "why", refusalReasonName(decision.reason), "excess", inputs.isExcess, "priority", job.policy.priority,
            "owedWaits", inputs.hasOwedWaiting, "aheadCoreMs", saturatingCast<int64_t>(inputs.workAhead / 1000),
            "capacityCpuMillis", saturatingCast<int64_t>(inputs.capacity), "drainMs",
            absl::ToInt64Milliseconds(decision.drainTime), "criticalPathMs",
            absl::ToInt64Milliseconds(inputs.criticalPath), "widestCoreMs",
            saturatingCast<int64_t>(inputs.widestWork / 1000), "objectiveMs",
            absl::ToInt64Milliseconds(inputs.objective), "retryAfterS", decision.retryAfterSeconds);
    return decision;
}

void Cell::replyRefused(const CellJob& job, const AdmissionDecision& decision, Reply reply)
{
    const absl::string_view why = refusalReasonName(decision.reason);
    m_parts.metrics.count(absl::StrCat("cicada_jobs_refused{why=\"", why, "\"}"));
    if (decision.reason == RefusalReason::StoreUnavailable)
        m_parts.log.write("job-refused", "job", job.spec.id, "queue", job.policy.queue, "account", job.spec.account,
            "why", why, "storeFailingMs", absl::ToInt64Milliseconds(m_writer.failingFor()), "retryAfterS",
            decision.retryAfterSeconds);
    CellReply refused { CellOutcome::Refused };
    refused.retryAfterSeconds = decision.retryAfterSeconds;
    reply(refused);
}

void Cell::updateWaiting(CellJob& job, StepRef ref)
{
    if (!m_hasAccounts)
        return;
    CellStep& step = job.step(ref);
    removeWaiting(step);
    if (!step.lacksRoom || !step.sortKey)
        return;
    const std::string& account = job.spec.account;
    step.waitingItem
        = WaitingItem { *step.sortKey, policyOf(job).service, account, weightOf(account), waitingWorkOf(job, ref) };
    m_waitingWork.add(*step.waitingItem);
}

void Cell::removeWaiting(CellStep& step)
{
    if (!step.waitingItem)
        return;
    m_waitingWork.remove(*step.waitingItem);
    step.waitingItem.reset();
}

} // namespace cicada
