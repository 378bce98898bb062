/** \file
 * The part of Cell that keeps client accounts within their limits: it counts what their runs hold and says how far a
 * step may be started.
 */

#include "Cell.h"

#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** Ready steps that are looked at for what the accounts want. */
    constexpr size_t maxScannedSteps = 1000;

    /** The number of tasks that must start together. */
    uint32_t smallestStart(const StepSpec& spec) { return spec.isGang ? spec.taskCount : 1; }

} // namespace

void Cell::allocate(
    CellWorker& worker, const TaskRun& run, const Resources& demand, bool isOfService, const std::string& account)
{
    worker.allocate(run, demand, isOfService, account, m_accountUsage);
}

void Cell::release(CellWorker& worker, const TaskRun& run)
{
    if (!worker.release(run, m_accountUsage))
        return;
    const std::string& id = run.task.job;
    const CellJob* job = findJob(id);
    if (job && isEnded(job->storedPhase))
        removeJobRecord(id);
    // What the account has released may let a step start that its limit held back.
    schedulePlacement();
}

void Cell::removeJobRecord(const std::string& id)
{
    if (m_accountUsage.runsOf(id) == 0)
        m_writer.writeDeferred(jobKey(id));
}

void Cell::handleLimitsChange()
{
    if (m_isLoaded)
        schedulePlacement();
}

const ClientAccount* Cell::accountOf(const Submission& spec) const
{
    return spec.account.empty() || !m_parts.accountOf ? nullptr : m_parts.accountOf(spec.account);
}

uint64_t Cell::startableWithinLimit(const CellJob& job, const StepSpec& spec) const
{
    if (job.spec.account.empty())
        return spec.taskCount;
    // The limit is not known before the configuration is.
    if (m_parts.areAccountsKnown && !m_parts.areAccountsKnown())
        return 0;
    const ClientAccount* account = accountOf(job.spec);
    if (!account || !account->isLimited())
        return spec.taskCount;
    return m_accountUsage.startable(
        account->name, withUnlimited(*account, m_parts.quota->limitHere(*account)), demandOf(spec));
}

std::vector<AccountNeed> Cell::needs() const
{
    absl::btree_map<std::string, AccountNeed> needs;
    for (const auto& [account, total] : m_accountUsage.totals())
        needs[account] = { account, total.allocated, {}, false };
    size_t scanned = 0;
    for (auto it = m_ready.begin(); it != m_ready.end() && scanned < maxScannedSteps; ++it, ++scanned) {
        const auto found = m_jobs.find(it->job);
        if (found == m_jobs.end() || found->second->spec.account.empty())
            continue;
        CellJob& job = *found->second;
        AccountNeed& need = needs[job.spec.account];
        need.account = job.spec.account;
        // A gang that comes first gets what it needs before others take part of it.
        if (need.isIndivisible)
            continue;
        const StepSpec& spec = job.stepSpec(it->ref);
        need.isIndivisible = spec.isGang && need.wanted.cpuMillis == 0 && need.wanted.memoryMiB == 0;
        need.wanted = need.wanted + demandOf(spec) * static_cast<int64_t>(waitingTasks(job.step(it->ref)).size());
    }
    std::vector<AccountNeed> list;
    for (auto& [account, need] : needs)
        list.push_back(std::move(need));
    return list;
}

bool Cell::isHeldByLimit(const CellJob& job, StepRef ref) const
{
    const StepSpec& spec = job.stepSpec(ref);
    return startableWithinLimit(job, spec) < smallestStart(spec);
}

std::vector<uint32_t> Cell::startableTasks(CellJob& job, StepRef ref) const
{
    const StepSpec& spec = job.stepSpec(ref);
    std::vector<uint32_t> waiting = waitingTasks(job.step(ref));
    const bool hasSuspects = m_suspectJobs.contains(job.spec.id);
    if (hasSuspects && m_suspects.isHeldBack(job, ref))
        return {};
    const std::vector<CellTask>& tasks = job.step(ref).tasks;
    // Suspects start apart, but for the members of a gang.
    if (hasSuspects && !spec.isGang)
        waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                          [&](uint32_t index) { return m_suspects.runsApart(job, tasks[index]); }),
            waiting.end());
    if (needsTrial(job, ref))
        waiting.resize(std::min<size_t>(waiting.size(), isTrialUnderWay(job) ? 0 : 1));
    const uint64_t startable = startableWithinLimit(job, spec);
    if (startable >= waiting.size())
        return waiting;
    waiting.resize(spec.isGang ? 0 : startable);
    return waiting;
}

bool Cell::exceedsLimit(const Submission& spec) const
{
    const ClientAccount* account = accountOf(spec);
    if (!account)
        return false;
    // Other cells keep their fixed parts, so a cell never gets the whole limit.
    const Resources largest = fixedPart(account->limit, m_term.cells) + poolOf(account->limit, m_term.cells);
    const Resources limit = withUnlimited(*account, largest);
    return std::any_of(spec.steps.begin(), spec.steps.end(),
        [&limit](const StepSpec& step) { return countFittingTasks(demandOf(step), limit) < smallestStart(step); });
}

} // namespace cicada
