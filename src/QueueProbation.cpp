#include "QueueProbation.h"

#include <algorithm>

namespace cicada {

namespace {

    /** No job waits for so long. */
    constexpr absl::Duration forgottenAfter = absl::Minutes(10);

    using TimesByQueue = absl::btree_map<std::string, Instant>;

    void keepLatest(TimesByQueue& times, const std::string& queue, Instant at)
    {
        const auto [entry, isNew] = times.try_emplace(queue, at);
        entry->second = std::max(entry->second, at);
    }

    void forgetOld(std::deque<Instant>& crashes, Instant now)
    {
        while (!crashes.empty() && now - crashes.front() > QueueProbation::window)
            crashes.pop_front();
    }

    bool isWithin(const TimesByQueue& times, const std::string& queue, Instant at, absl::Duration period)
    {
        const auto found = times.find(queue);
        return found != times.end() && at - found->second <= period;
    }

} // namespace

void QueueProbation::recordIsolatedCrash(const std::string& queue, Instant acceptedAt, Instant now)
{
    m_isolatedCrashes[queue].push_back(now);
    keepLatest(m_latestSuspect, queue, acceptedAt);
}

void QueueProbation::recordSuspectedCrash(const std::string& queue, Instant acceptedAt, Instant crashedAt, Instant now)
{
    SuspectedCrashes& crashes = m_suspectedCrashes[queue];
    if (absl::AbsDuration(crashedAt - crashes.lastAt) >= sameCause)
        crashes.foundAt.push_back(now);
    crashes.lastAt = crashedAt;
    keepLatest(m_latestSuspect, queue, acceptedAt);
}

void QueueProbation::recordGivenUp(const std::string& queue, Instant acceptedAt)
{
    keepLatest(m_latestGivenUp, queue, acceptedAt);
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

bool QueueProbation::needsTrial(const std::string& queue, Instant acceptedAt) const
{
    return isWithin(m_latestGivenUp, queue, acceptedAt, trialPeriod)
        || (includes(queue) && isWithin(m_latestSuspect, queue, acceptedAt, confinedPeriod));
}

bool QueueProbation::confines(const std::string& queue, Instant acceptedAt, Instant now) const
{
    return includes(queue) && now - acceptedAt <= maxConfined
        && isWithin(m_latestSuspect, queue, acceptedAt, confinedPeriod);
}

std::vector<QueueProbation::Change> QueueProbation::update(Instant now)
{
    std::vector<Change> changes;
    absl::erase_if(m_latestGivenUp, [now](const auto& item) { return now - item.second > forgottenAfter; });
    absl::erase_if(m_latestSuspect, [now](const auto& item) { return now - item.second > forgottenAfter; });
    absl::erase_if(m_sharedCrashes, [now](const auto& item) { return now - item.second > length; });
    for (auto& [queue, crashes] : m_isolatedCrashes)
        forgetOld(crashes, now);
    for (auto& [queue, crashes] : m_suspectedCrashes)
        forgetOld(crashes.foundAt, now);
    absl::erase_if(m_isolatedCrashes, [](const auto& item) { return item.second.empty(); });
    absl::erase_if(m_suspectedCrashes, [](const auto& item) { return item.second.foundAt.empty(); });
    for (auto it = m_until.begin(); it != m_until.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        changes.push_back({ it->first, false });
        it = m_until.erase(it);
    }
    const auto begin = [&](const std::string& queue) {
        if (m_until.emplace(queue, now + length).second)
            changes.push_back({ queue, true });
    };
    for (const auto& [queue, crashes] : m_isolatedCrashes) {
        if (crashes.size() >= crashesToBegin && m_sharedCrashes.contains(queue))
            begin(queue);
    }
    for (const auto& [queue, crashes] : m_suspectedCrashes) {
        if (crashes.foundAt.size() >= suspectedToBegin)
            begin(queue);
    }
    return changes;
}

} // namespace cicada
