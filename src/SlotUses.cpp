#include "SlotUses.h"

#include <vector>

namespace cicada {

void SlotUses::begin(uint64_t grantId, absl::string_view service, bool isLong, Instant suspectAt)
{
    m_uses[grantId] = { std::string(service), isLong, suspectAt };
    if (isLong)
        ++m_longRuns[service];
    else
        m_suspects.insert({ suspectAt, grantId });
}

void SlotUses::end(uint64_t grantId)
{
    auto it = m_uses.find(grantId);
    if (it == m_uses.end())
        return;
    if (it->second.isLong)
        --m_longRuns[it->second.service];
    else
        m_suspects.erase({ it->second.suspectAt, grantId });
    m_uses.erase(it);
}

uint32_t SlotUses::longRuns(absl::string_view service) const
{
    auto it = m_longRuns.find(service);
    return it == m_longRuns.end() ? 0 : it->second;
}

void SlotUses::tick(Instant now)
{
    while (!m_suspects.empty() && m_suspects.begin()->first <= now) {
        Use& use = m_uses[m_suspects.begin()->second];
        use.isLong = true;
        ++m_longRuns[use.service];
        m_suspects.erase(m_suspects.begin());
    }
}

void SlotUses::reconcile(const SlotLedger& ledger)
{
    std::vector<uint64_t> freed;
    for (const auto& [grantId, use] : m_uses) {
        if (!ledger.find(grantId))
            freed.push_back(grantId);
    }
    for (const uint64_t grantId : freed)
        end(grantId);
}

} // namespace cicada
