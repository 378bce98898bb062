#include "LongRunTracker.h"

#include <vector>

namespace cicada {

void LongRunTracker::begin(uint64_t grantId, absl::string_view service, bool isLong, Instant suspectAt)
{
    m_runs[grantId] = { std::string(service), isLong, suspectAt };
    if (isLong)
        ++m_longRuns[service];
    else
        m_suspects.insert({ suspectAt, grantId });
}

void LongRunTracker::end(uint64_t grantId)
{
    auto it = m_runs.find(grantId);
    if (it == m_runs.end())
        return;
    if (it->second.isLong)
        --m_longRuns[it->second.service];
    else
        m_suspects.erase({ it->second.suspectAt, grantId });
    m_runs.erase(it);
}

uint32_t LongRunTracker::longRuns(absl::string_view service) const
{
    auto it = m_longRuns.find(service);
    return it == m_longRuns.end() ? 0 : it->second;
}

void LongRunTracker::tick(Instant now)
{
    while (!m_suspects.empty() && m_suspects.begin()->first <= now) {
        Run& run = m_runs[m_suspects.begin()->second];
        run.isLong = true;
        ++m_longRuns[run.service];
        m_suspects.erase(m_suspects.begin());
    }
}

void LongRunTracker::reconcile(const SlotLedger& ledger)
{
    std::vector<uint64_t> freed;
    for (const auto& [grantId, run] : m_runs) {
        if (!ledger.find(grantId))
            freed.push_back(grantId);
    }
    for (const uint64_t grantId : freed)
        end(grantId);
}

} // namespace cicada
