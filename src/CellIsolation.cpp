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

    /** Suspects may have this share of a service's workers, while other work waits and otherwise, or where it has left
     * workers empty. */
    constexpr double maxIsolatedShare = 0.25;
    constexpr double maxIsolatedShareWhenIdle = 0.75;
    /** Tickets are requested so long before the worker is expected to be empty. */
    constexpr absl::Duration ticketLead = absl::Seconds(1);
    /** As many workers are asked about in one request for advice. */
    constexpr size_t maxAdviceWorkers = 8;
    /** Unknown workers are asked about until so many are known to be allowed. */
    constexpr size_t minAllowedWorkers = 3;
    /** A worker that may not be allowed is set aside only if it is empty this much sooner. */
    constexpr absl::Duration unknownPenalty = absl::Seconds(1);
    constexpr absl::Duration isolationReportInterval = absl::Seconds(2);

    size_t servicesOn(const CellWorker& worker)
    {
        return std::count_if(worker.allocations.begin(), worker.allocations.end(),
            [](const auto& item) { return item.second.isOfService; });
    }

    /** Puts as many of the suspects on the worker as it has room for. */
    void fillWorker(CellWorker& worker, const StepSpec& spec, std::vector<uint32_t>& suspects,
        std::vector<PlacementChoice>& choices)
    {
        const uint64_t room = countFittingTasks(demandOf(spec), worker.freeInTime(), spec.maxPerWorker);
        for (uint64_t i = 0; i < room && !suspects.empty(); ++i) {
            choices.push_back({ suspects.front(), &worker });
            suspects.erase(suspects.begin());
        }
    }

} // namespace

void Cell::isolateInherited()
{
    for (auto& [id, worker] : m_workers) {
        absl::btree_set<std::string> jobs;
        std::vector<TaskRun> suspects;
        for (const auto& [run, allocation] : worker.allocations) {
            CellJob* job = findJob(run.task.job);
            if (!job)
                continue;
            if (!allocation.isOfService)
                jobs.insert(run.task.job);
            if (job->find(run.task)->isSuspect && !job->spec.steps[run.task.step].isGang)
                suspects.push_back(run);
        }
        // One that runs several jobs was not kept for suspects.
        if (jobs.size() > 1)
            continue;
        for (const TaskRun& run : suspects)
            worker.isolate(run);
    }
}

void Cell::placeSuspects()
{
    for (auto& [id, worker] : m_workers)
        worker.isSetAside = false;
    if (m_suspectJobs.empty())
        return;
    m_isolationQuotas.clear();
    std::vector<std::pair<StepRank, size_t>> open;
    for (const StepRank& rank : stepsWithSuspects()) {
        CellJob* job = findJob(rank.job);
        const bool mayStart = job && job->isStored && job->step(rank.ref).notBefore <= m_parts.timers.clock().now();
        if (mayStart && isolationQuota(policyOf(*job).service) > 0)
            open.emplace_back(rank, placeSuspectsOf(*job, rank.ref));
    }
    // Only what no suspect can use now is set aside: one that waits for tickets must not keep others from starting.
    for (const auto& [rank, tasks] : open) {
        if (CellJob* job = findJob(rank.job))
            setWorkersAside(*job, rank.ref, tasks);
    }
}

void Cell::placeSuspectsOnIdleWorkers()
{
    if (m_suspectJobs.empty())
        return;
    m_isolationQuotas.clear();
    m_mayUseIdleWorkers = true;
    for (const StepRank& rank : stepsWithSuspects()) {
        CellJob* job = findJob(rank.job);
        const bool mayStart = job && job->isStored && job->step(rank.ref).notBefore <= m_parts.timers.clock().now();
        if (mayStart && isolationQuota(policyOf(*job).service) > 0)
            placeSuspectsOf(*job, rank.ref);
    }
    m_mayUseIdleWorkers = false;
    m_isolationQuotas.clear();
}

size_t Cell::placeSuspectsOf(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    std::vector<uint32_t> suspects = m_suspects.waitingSuspects(job, ref);
    suspects.resize(std::min<uint64_t>(suspects.size(), startableWithinLimit(job, spec)));
    size_t& quota = isolationQuota(policyOf(job).service);
    size_t allowed = std::min(quota, workersAllowed(job));
    std::vector<Choice> choices;
    std::vector<CellWorker*> withoutTicket;
    const Instant soon = m_parts.timers.clock().now() + ticketLead;
    for (CellWorker* worker : isolableWorkers(job, ref)) {
        const bool isEmpty = worker->allocations.size() == servicesOn(*worker);
        if (suspects.empty() || allowed == 0 || emptyAt(*worker) > soon)
            break;
        if (!hasTicketFor(job, ref, *worker)) {
            withoutTicket.push_back(worker);
            continue;
        }
        if (!isEmpty)
            continue;
        fillWorker(*worker, spec, suspects, choices);
        --allowed;
        --quota;
    }
    if (!choices.empty())
        storeIntent(job, ref, choices, true);
    if (!suspects.empty() && allowed > 0)
        requestSuspectAdvice(job, ref, std::move(withoutTicket));
    return allowed > 0 ? suspects.size() : 0;
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
    if (!m_suspects.isSuspectAsAWhole(job))
        return std::numeric_limits<size_t>::max();
    const bool isAnyIsolated = std::any_of(m_workers.begin(), m_workers.end(),
        [&](const auto& item) { return item.second.isolatedRuns > 0 && item.second.runsJob(job.spec.id); });
    return isAnyIsolated ? 0 : 1;
}

std::vector<CellWorker*> Cell::isolableWorkers(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    const Resources demand = demandOf(spec);
    std::vector<CellWorker*> workers;
    for (CellWorker* worker : possibleWorkers(job, ref)) {
        const bool hasRoomWhenEmpty = fits(demand, worker->freeInTime());
        const bool isReserved = worker->reserved.cpuMillis > 0 || worker->reserved.memoryMiB > 0;
        const bool isFree
            = worker->isolatedRuns == 0 && !worker->isSetAside && worker->confinedTo.empty() && !isReserved;
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

size_t& Cell::isolationQuota(const std::string& service)
{
    const auto [quota, isNew] = m_isolationQuotas.try_emplace(service);
    if (!isNew)
        return quota->second;
    // Workers that suspects have crashed and that are not back yet count, too.
    size_t listed = 0;
    size_t taken = 0;
    for (const auto& [id, worker] : m_workers) {
        if (!worker.isListed || worker.listed.service != service)
            continue;
        ++listed;
        taken += worker.isolatedRuns > 0 ? 1 : 0;
    }
    const bool isIdle = m_mayUseIdleWorkers || !hasOtherWorkWaiting(service);
    const double share = isIdle ? maxIsolatedShareWhenIdle : maxIsolatedShare;
    const auto limit = std::max<size_t>(1, static_cast<size_t>(static_cast<double>(listed) * share));
    quota->second = limit > taken ? limit - taken : 0;
    return quota->second;
}

bool Cell::hasOtherWorkWaiting(const std::string& service)
{
    return std::any_of(m_ready.begin(), m_ready.end(), [&](const StepRank& rank) {
        CellJob* job = findJob(rank.job);
        if (!job || policyOf(*job).service != service || m_suspects.isHeldBack(*job, rank.ref) || isConfined(*job))
            return false;
        return m_suspects.hasWorkForSharedWorkers(*job, rank.ref);
    });
}

void Cell::setWorkersAside(CellJob& job, StepRef ref, size_t tasks)
{
    const StepSpec& spec = job.stepSpec(ref);
    size_t& quota = isolationQuota(policyOf(job).service);
    size_t allowed = std::min(quota, workersAllowed(job));
    uint64_t room = 0;
    for (CellWorker* worker : isolableWorkers(job, ref)) {
        if (allowed == 0 || room >= tasks)
            return;
        worker->isSetAside = true;
        room += countFittingTasks(demandOf(spec), worker->freeInTime(), spec.maxPerWorker);
        --allowed;
        --quota;
    }
}

void Cell::publishIsolation()
{
    size_t suspects = 0;
    for (const std::string& id : m_suspectJobs) {
        if (const CellJob* job = findJob(id))
            suspects += job->openSuspects();
    }
    const auto count = [this](auto predicate) {
        return std::count_if(m_workers.begin(), m_workers.end(),
            [&](const auto& item) { return item.second.isListed && predicate(item.second); });
    };
    const auto isolated = count([](const CellWorker& worker) { return worker.isolatedRuns > 0; });
    const auto setAside = count([](const CellWorker& worker) { return worker.isSetAside; });
    const std::string label = absl::StrCat("{cell=\"", m_term.cell, "\"}");
    m_parts.metrics.gauge(absl::StrCat("cicada_suspect_tasks", label), static_cast<double>(suspects));
    m_parts.metrics.gauge(absl::StrCat("cicada_isolated_workers", label), static_cast<double>(isolated + setAside));
    const Instant now = m_parts.timers.clock().now();
    if (suspects == 0 || now < m_nextIsolationReport)
        return;
    m_nextIsolationReport = now + isolationReportInterval;
    m_parts.log.write("isolation", "cell", m_term.cell, "suspects", suspects, "isolatedWorkers", isolated, "setAside",
        setAside, "confined", count([](const CellWorker& worker) { return !worker.confinedTo.empty(); }), "silent",
        count([](const CellWorker& worker) { return worker.failedSyncs > 0; }), "empty",
        count([](const CellWorker& worker) { return worker.failedSyncs == 0 && worker.allocations.empty(); }), "listed",
        count([](const CellWorker&) { return true; }));
}

} // namespace cicada
