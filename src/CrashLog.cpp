#include "CrashLog.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration sameTime = absl::Milliseconds(500);

} // namespace

bool CrashLog::isSameTime(Instant a, Instant b) { return absl::AbsDuration(a - b) <= sameTime; }

void CrashLog::record(CrashedWorker crash)
{
    const Instant now = crash.foundAt;
    m_crashes.push_back(std::move(crash));
    while (now - m_crashes.front().foundAt > retention)
        m_crashes.pop_front();
}

const CrashedWorker* CrashLog::lastOf(const std::string& worker) const
{
    const auto found = std::find_if(
        m_crashes.rbegin(), m_crashes.rend(), [&worker](const CrashedWorker& crash) { return crash.worker == worker; });
    return found == m_crashes.rend() ? nullptr : &*found;
}

size_t CrashLog::othersAtSameTime(const CrashedWorker& crash, const std::string& job) const
{
    return static_cast<size_t>(std::count_if(m_crashes.begin(), m_crashes.end(), [&](const CrashedWorker& other) {
        return other.worker != crash.worker && isSameTime(other.silentSince, crash.silentSince) && !other.wasIsolated
            && !other.jobs.contains(job);
    }));
}

} // namespace cicada
