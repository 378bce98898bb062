/** \file
 * The part of Cell that logs why a ready step waits: where its tasks would fit, and what keeps them from there.
 */

#include "Cell.h"

#include "Job.h"

namespace cicada {

namespace {

    /** A step that has waited this long is reported, and again each time that as long has passed. */
    constexpr absl::Duration reportInterval = absl::Seconds(2);

    /** The least time between two reports about steps that one account's limit holds back, which may be thousands. */
    constexpr absl::Duration heldReportInterval = absl::Milliseconds(50);

} // namespace

StepRoom Cell::measureRoom(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    const CellStep& step = job.step(ref);
    const Resources demand = demandOf(spec);
    const Instant now = m_parts.timers.clock().now();
    StepRoom room;
    for (const CellWorker* worker : candidates(job, spec)) {
        const uint64_t whenEmpty = countFittingTasks(demand, worker->listed.capacity);
        const uint64_t unreserved = countFittingTasks(demand, worker->listed.capacity - worker->used);
        const uint64_t fitting = countFittingTasks(demand, worker->free());
        room.whenEmpty += whenEmpty;
        room.unreserved += unreserved;
        room.free += fitting;
        const auto allowed = step.advice.allowed.find(worker->listed.incarnation.id);
        if (allowed == step.advice.allowed.end())
            continue;
        ++room.allowedWorkers;
        room.allowedWhenEmpty += whenEmpty;
        room.freeAllowed += fitting;
        if (allowed->second.validUntil > now)
            room.freeWithTicket += fitting;
    }
    return room;
}

void Cell::reportWait(CellJob& job, StepRef ref)
{
    const Instant now = m_parts.timers.clock().now();
    CellStep& step = job.step(ref);
    if (now - std::max(step.readyAt, step.waitReportedAt) < reportInterval)
        return;
    if (isHeldByLimit(job, ref))
        return reportHeldByLimit(job, ref);
    step.waitReportedAt = now;
    const StepSpec& spec = job.stepSpec(ref);
    const Resources demand = demandOf(spec);
    const StepRoom room = measureRoom(job, ref);
    m_parts.log.write("step-waits", "job", job.spec.id, "occurrence", ref.occurrence, "step", ref.step, "waitedMs",
        absl::ToInt64Milliseconds(now - step.readyAt), "tasks", step.tasks.size(), "waiting", waitingTasks(step).size(),
        "gang", spec.isGang, "cpuMillis", demand.cpuMillis, "memoryMiB", demand.memoryMiB, "urgency",
        stepUrgencyName(urgencyOf(job.timesOf(ref), now)), "ready", m_ready.size(), "stored", job.isStored, "backoff",
        step.notBefore > now, "asking", step.advice.requestsInFlight > 0, "requests", step.advice.requestsSent,
        "keepsRoom", step.advice.reservation && step.advice.reservation->until > now, "asked",
        step.advice.queried.size(), "allowed", room.allowedWorkers, "roomWhenEmpty", room.whenEmpty, "roomUnreserved",
        room.unreserved, "roomFree", room.free, "allowedWhenEmpty", room.allowedWhenEmpty, "freeAllowed",
        room.freeAllowed, "freeWithTicket", room.freeWithTicket);
}

void Cell::reportHeldByLimit(CellJob& job, StepRef ref)
{
    const Instant now = m_parts.timers.clock().now();
    Instant& nextReport = m_nextHeldReports.try_emplace(job.spec.account, absl::ZeroDuration()).first->second;
    if (now < nextReport)
        return;
    nextReport = now + heldReportInterval;
    CellStep& step = job.step(ref);
    step.waitReportedAt = now;
    const StepSpec& spec = job.stepSpec(ref);
    const Resources demand = demandOf(spec);
    const Resources allocated = m_accountUsage.allocatedTo(job.spec.account);
    const ClientAccount* account = accountOf(job.spec);
    const Resources limit = account ? m_parts.quota->limitHere(*account) : Resources();
    // The room on the workers is not measured, as many steps may wait for the same account.
    m_parts.log.write("step-waits", "job", job.spec.id, "occurrence", ref.occurrence, "step", ref.step, "waitedMs",
        absl::ToInt64Milliseconds(now - step.readyAt), "tasks", step.tasks.size(), "waiting", waitingTasks(step).size(),
        "gang", spec.isGang, "cpuMillis", demand.cpuMillis, "memoryMiB", demand.memoryMiB, "urgency",
        stepUrgencyName(urgencyOf(job.timesOf(ref), now)), "ready", m_ready.size(), "why",
        account ? "account-limit" : "accounts-not-known", "account", job.spec.account, "allocatedCpuMillis",
        allocated.cpuMillis, "limitCpuMillis", limit.cpuMillis, "allocatedMemoryMiB", allocated.memoryMiB,
        "limitMemoryMiB", limit.memoryMiB, "allocatedAccelerators", allocated.accelerators, "limitAccelerators",
        limit.accelerators);
}

} // namespace cicada
