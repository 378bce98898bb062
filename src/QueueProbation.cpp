#include "QueueProbation.h"

#include <algorithm>

namespace cicada {

void QueueProbation::recordIsolatedCrash(const std::string& queue, Instant now)
{
    m_isolatedCrashes[queue].push_back(now);
}

void QueueProbation::recordSharedCrash(const std::string& queue, bool ranNothingElse, Instant now)
{
    m_sharedCrashes[queue] = now;
    if (!ranNothingElse)
        return;
    const auto found = m_until.find(queue);
    if (found != m_until.end())
        found->second = std::max(found->second, now + length);
}

std::vector<QueueProbation::Change> QueueProbation::update(Instant now)
{
    std::vector<Change> changes;
    absl::erase_if(m_sharedCrashes, [now](const auto& item) { return now - item.second > length; });
    for (auto it = m_until.begin(); it != m_until.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        changes.push_back({ it->first, false });
        it = m_until.erase(it);
    }
    for (auto it = m_isolatedCrashes.begin(); it != m_isolatedCrashes.end();) {
        auto& [queue, crashes] = *it;
        while (!crashes.empty() && now - crashes.front() > window)
            crashes.pop_front();
        if (crashes.size() >= crashesToBegin && m_sharedCrashes.contains(queue)
            && m_until.emplace(queue, now + length).second)
            changes.push_back({ queue, true });
        it = crashes.empty() ? m_isolatedCrashes.erase(it) : std::next(it);
    }
    return changes;
}

} // namespace cicada
