/** \file
 * The part of Cell that runs suspects, which are tasks under which a worker has crashed, apart from other jobs: each on
 * a worker that runs nothing else and gets nothing else meanwhile. A suspect that crashes its worker there takes no
 * other work with it, and shows that it was the cause. Workers are set aside for suspects that wait: they get nothing
 * new until what they run has ended.
 */

#include "Cell.h"

#include "Job.h"

#include <algorithm>
#include <limits>

namespace cicada {

namespace {

    /** Suspects may have this share of a service's workers, while other work waits and otherwise. */
    constexpr double maxIsolatedShare = 0.25;
    constexpr double maxIsolatedShareWhenIdle = 0.75;
    /** As many workers are asked about in one request for advice. */
    constexpr size_t maxAdviceWorkers = 8;
    /** Unknown workers are asked about until so many are known to be allowed. */
    constexpr size_t minAllowedWorkers = 3;
    /** A worker that may not be allowed is set aside only if it is empty this much sooner. */
    constexpr absl::Duration unknownPenalty = absl::Seconds(1);
    /** A task that has been at work this long no longer keeps others from its worker. */
    constexpr absl::Duration suspectProvenAfter = absl::Seconds(10);
    /** How long a task with one crash under it waits for a worker of its own. Then it starts like any other, since
     * otherwise room would stay unused for as long as other suspects crash theirs. */
    constexpr absl::Duration isolationPatience = absl::Seconds(8);
    /** With so many crashed workers, the job as a whole is the suspect. */
    constexpr uint32_t minCrashedWorkers = 2;

    size_t servicesOn(const CellWorker& worker)
    {
        return std::count_if(worker.allocations.begin(), worker.allocations.end(),
            [](const auto& item) { return item.second.isOfService; });
    }

} // namespace

bool Cell::isSuspectAsAWhole(const CellJob& job)
{
    return job.crashedWorkers >= minCrashedWorkers && job.hasSuspects();
}

bool Cell::isHeldBack(const CellJob& job, StepRef ref) const
{
    return !job.stepSpec(ref).isGang && isSuspectAsAWhole(job) && !hasWaitedForIsolation(job);
}

bool Cell::hasWaitedForIsolation(const CellJob& job) const
{
    return m_parts.timers.clock().now() - job.crashedAt > isolationPatience;
}

bool Cell::runsApart(const CellJob& job, const CellTask& task) const
{
    return task.isSuspect && (task.crashedRuns.size() > 1 || !hasWaitedForIsolation(job));
}

std::vector<StepRank> Cell::stepsWithSuspects()
{
    std::vector<StepRank> steps;
    std::vector<std::string> cleared;
    for (const std::string& id : m_suspectJobs) {
        CellJob* job = findJob(id);
        if (!job || isEnded(job->phase) || !job->hasSuspects()) {
            cleared.push_back(id);
            continue;
        }
        for (uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                const CellStep& step = job->step({ k, s });
                const bool isWaiting = step.sortKey && !job->stepSpec({ k, s }).isGang;
                if (isWaiting && !step.waitingSuspects().empty())
                    steps.push_back({ *step.sortKey, id, { k, s } });
            }
        }
    }
    for (const std::string& id : cleared)
        m_suspectJobs.erase(id);
    std::sort(steps.begin(), steps.end());
    return steps;
}

void Cell::placeSuspects()
{
    for (auto& [id, worker] : m_workers)
        worker.isSetAside = false;
    if (m_suspectJobs.empty())
        return;
    m_freeLanes.clear();
    std::vector<std::pair<StepRank, size_t>> open;
    for (const StepRank& rank : stepsWithSuspects()) {
        CellJob* job = findJob(rank.job);
        const bool mayStart = job && job->isStored && job->step(rank.ref).notBefore <= m_parts.timers.clock().now();
        if (mayStart && freeLanes(policyOf(*job).service) > 0)
            open.emplace_back(rank, placeSuspectsOf(*job, rank.ref));
    }
    // Only what no suspect can use now is set aside: one that waits for tickets must not keep others from starting.
    for (const auto& [rank, tasks] : open) {
        if (CellJob* job = findJob(rank.job))
            setWorkersAside(*job, rank.ref, tasks);
    }
}

size_t Cell::placeSuspectsOf(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    std::vector<uint32_t> suspects = job.step(ref).waitingSuspects();
    suspects.resize(std::min<uint64_t>(suspects.size(), startableWithinLimit(job, spec)));
    size_t& lanes = freeLanes(policyOf(job).service);
    size_t allowed = std::min(lanes, workersAllowed(job));
    std::vector<Choice> choices;
    std::vector<CellWorker*> withoutTicket;
    for (CellWorker* worker : isolableWorkers(job, ref)) {
        const bool isEmpty = worker->allocations.size() == servicesOn(*worker);
        if (suspects.empty() || allowed == 0 || !isEmpty)
            break;
        if (!hasTicketFor(job, ref, *worker)) {
            withoutTicket.push_back(worker);
            continue;
        }
        fillWorker(*worker, spec, suspects, choices);
        --allowed;
        --lanes;
    }
    if (!choices.empty())
        storeIntent(job, ref, choices, true);
    if (!suspects.empty() && allowed > 0)
        requestSuspectAdvice(job, ref, std::move(withoutTicket));
    return allowed > 0 ? suspects.size() : 0;
}

void Cell::fillWorker(
    CellWorker& worker, const StepSpec& spec, std::vector<uint32_t>& suspects, std::vector<Choice>& choices)
{
    const uint64_t room = countFittingTasks(demandOf(spec), worker.freeInTime(), spec.maxPerWorker);
    for (uint64_t i = 0; i < room && !suspects.empty(); ++i) {
        choices.push_back({ suspects.front(), &worker });
        suspects.erase(suspects.begin());
    }
}

void Cell::requestSuspectAdvice(CellJob& job, StepRef ref, std::vector<CellWorker*> withoutTicket)
{
    if (!policyOf(job).advice.isNeeded || !canAskForAdvice(job, ref))
        return;
    std::vector<CellWorker*> asked = std::move(withoutTicket);
    // Where few workers are allowed, a suspect waits long for one of them to be empty.
    const std::vector<CellWorker*> unqueried = unqueriedWorkers(job, ref);
    if (asked.empty() && allowedWorkers(job, ref).size() < minAllowedWorkers)
        asked = unqueried;
    asked.resize(std::min(asked.size(), maxAdviceWorkers));
    if (!asked.empty())
        sendAdviceRequests(job, ref, asked, AdvicePurpose::Learning);
}

size_t Cell::workersAllowed(const CellJob& job) const
{
    if (!isSuspectAsAWhole(job))
        return std::numeric_limits<size_t>::max();
    const bool isAnyIsolated = std::any_of(m_workers.begin(), m_workers.end(),
        [&](const auto& item) { return item.second.isolatedRuns > 0 && runsJob(item.second, job.spec.id); });
    return isAnyIsolated ? 0 : 1;
}

std::vector<CellWorker*> Cell::isolableWorkers(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    const Resources demand = demandOf(spec);
    std::vector<CellWorker*> workers;
    for (CellWorker* worker : possibleWorkers(job, ref)) {
        const bool hasRoomWhenEmpty = fits(demand, worker->freeInTime());
        const bool isFree = worker->isolatedRuns == 0 && !worker->isSetAside && worker->confinedTo.empty();
        if (isFree && hasRoomWhenEmpty && hasLabel(worker->listed, spec.requiredLabel))
            workers.push_back(worker);
    }
    std::vector<std::tuple<size_t, Instant, CellWorker*>> ranked;
    ranked.reserve(workers.size());
    const auto& allowed = job.step(ref).advice.allowed;
    for (CellWorker* worker : workers) {
        const bool isKnown = !policyOf(job).advice.isNeeded || allowed.contains(worker->listed.incarnation.id);
        ranked.emplace_back(
            servicesOn(*worker), emptyAt(*worker) + (isKnown ? absl::ZeroDuration() : unknownPenalty), worker);
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return std::tie(std::get<0>(a), std::get<1>(a)) < std::tie(std::get<0>(b), std::get<1>(b));
    });
    workers.clear();
    // Services are beside a suspect only where each worker has some.
    for (const auto& [services, at, worker] : ranked) {
        if (services == 0 || std::get<0>(ranked.front()) > 0)
            workers.push_back(worker);
    }
    return workers;
}

Instant Cell::emptyAt(const CellWorker& worker)
{
    Instant at = absl::ZeroDuration();
    for (const auto& [run, allocation] : worker.allocations)
        at = std::max(at, allocation.isOfService ? at : expectedEndOf(run, worker));
    return at;
}

bool Cell::hasTicketFor(CellJob& job, StepRef ref, const CellWorker& worker)
{
    if (!policyOf(job).advice.isNeeded)
        return true;
    const auto& allowed = job.step(ref).advice.allowed;
    const auto entry = allowed.find(worker.listed.incarnation.id);
    return entry != allowed.end() && entry->second.validUntil > m_parts.timers.clock().now() + ticketMargin;
}

size_t& Cell::freeLanes(const std::string& service)
{
    const auto [lanes, isNew] = m_freeLanes.try_emplace(service);
    if (!isNew)
        return lanes->second;
    // Workers that suspects have crashed and that are not back yet count, too.
    size_t listed = 0;
    size_t taken = 0;
    for (const auto& [id, worker] : m_workers) {
        if (!worker.isListed || worker.listed.service != service)
            continue;
        ++listed;
        taken += worker.isolatedRuns > 0 ? 1 : 0;
    }
    const double share = hasOtherWorkWaiting(service) ? maxIsolatedShare : maxIsolatedShareWhenIdle;
    const auto limit = std::max<size_t>(1, static_cast<size_t>(static_cast<double>(listed) * share));
    lanes->second = limit > taken ? limit - taken : 0;
    return lanes->second;
}

bool Cell::hasOtherWorkWaiting(const std::string& service)
{
    const auto isOther = [](const CellTask& task) { return task.stage == TaskStage::Waiting && !task.isSuspect; };
    return std::any_of(m_ready.begin(), m_ready.end(), [&](const StepRank& rank) {
        CellJob* job = findJob(rank.job);
        if (!job || policyOf(*job).service != service || isHeldBack(*job, rank.ref)
            || m_probation.includes(policyOf(*job).queue))
            return false;
        const std::vector<CellTask>& tasks = job->step(rank.ref).tasks;
        return std::any_of(tasks.begin(), tasks.end(), isOther);
    });
}

void Cell::setWorkersAside(CellJob& job, StepRef ref, size_t tasks)
{
    const StepSpec& spec = job.stepSpec(ref);
    size_t& lanes = freeLanes(policyOf(job).service);
    size_t allowed = std::min(lanes, workersAllowed(job));
    uint64_t room = 0;
    for (CellWorker* worker : isolableWorkers(job, ref)) {
        if (allowed == 0 || room >= tasks)
            return;
        worker->isSetAside = true;
        room += countFittingTasks(demandOf(spec), worker->freeInTime(), spec.maxPerWorker);
        --allowed;
        --lanes;
    }
}

void Cell::publishIsolation()
{
    size_t suspects = 0;
    for (const std::string& id : m_suspectJobs) {
        if (const CellJob* job = findJob(id))
            suspects += job->openSuspects();
    }
    const auto isolated = std::count_if(m_workers.begin(), m_workers.end(),
        [](const auto& item) { return item.second.isolatedRuns > 0 || item.second.isSetAside; });
    const std::string label = absl::StrCat("{cell=\"", m_term.cell, "\"}");
    m_parts.metrics.gauge(absl::StrCat("cicada_suspect_tasks", label), static_cast<double>(suspects));
    m_parts.metrics.gauge(absl::StrCat("cicada_isolated_workers", label), static_cast<double>(isolated));
}

void Cell::clearProvenSuspects(CellWorker& worker)
{
    const Instant now = m_parts.timers.clock().now();
    if (worker.isolatedRuns == 0 || worker.failedSyncs > 0)
        return;
    std::vector<TaskRun> proven;
    for (const auto& [run, allocation] : worker.allocations) {
        CellJob* job = allocation.isIsolated ? findJob(run.task.job) : nullptr;
        CellTask* task = job ? job->find(run.task) : nullptr;
        const bool isProven = task && task->run == run.run && task->stage == TaskStage::Running
            && now - task->startedAt >= suspectProvenAfter;
        if (!isProven)
            continue;
        task->isSuspect = false;
        proven.push_back(run);
    }
    for (const TaskRun& run : proven) {
        m_parts.log.write("suspect-cleared", "run", describeRun(run), "worker", worker.listed.incarnation.id);
        worker.endIsolation(run);
    }
}

} // namespace cicada
