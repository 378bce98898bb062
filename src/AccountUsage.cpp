#include "AccountUsage.h"

#include "AccountQuota.h"
#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** How many tasks fit into the limit on one resource. Use may exceed a limit that was lowered. */
    uint64_t startableOf(int64_t limit, int64_t allocated, int64_t demand)
    {
        if (demand <= 0 || limit == unlimitedAmount)
            return std::numeric_limits<uint64_t>::max();
        return static_cast<uint64_t>(std::max<int64_t>(0, limit - allocated) / demand);
    }

} // namespace

void AccountUsage::add(const std::string& account, const std::string& job, const Resources& demand)
{
    if (account.empty())
        return;
    Total& total = m_totals[account];
    total.allocated = total.allocated + demand;
    ++total.runs;
    ++m_runsByJob[job];
}

void AccountUsage::remove(const std::string& account, const std::string& job, const Resources& demand)
{
    const auto total = m_totals.find(account);
    if (total == m_totals.end())
        return;
    total->second.allocated = total->second.allocated - demand;
    if (--total->second.runs == 0)
        m_totals.erase(total);
    const auto runs = m_runsByJob.find(job);
    if (runs != m_runsByJob.end() && --runs->second == 0)
        m_runsByJob.erase(runs);
}

Resources AccountUsage::allocatedTo(absl::string_view account) const
{
    const auto found = m_totals.find(account);
    return found == m_totals.end() ? Resources() : found->second.allocated;
}

size_t AccountUsage::runsOf(absl::string_view job) const
{
    const auto found = m_runsByJob.find(job);
    return found == m_runsByJob.end() ? 0 : found->second;
}

uint64_t AccountUsage::startable(absl::string_view account, const Resources& limit, const Resources& demand) const
{
    const Resources allocated = allocatedTo(account);
    return std::min({ startableOf(limit.cpuMillis, allocated.cpuMillis, demand.cpuMillis),
        startableOf(limit.memoryMiB, allocated.memoryMiB, demand.memoryMiB),
        startableOf(limit.accelerators, allocated.accelerators, demand.accelerators) });
}

} // namespace cicada
