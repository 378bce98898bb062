#include "ServiceDemand.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration scanInterval = absl::Seconds(1);

} // namespace

bool ServiceDemand::recordRequest(const Profile& profile, absl::Duration typicalRun, Instant now)
{
    m_bounds[profile.name] = { profile.maxWait, now };
    m_minWaitBound = std::min(m_minWaitBound, profile.maxWait);
    return profile.whenShort == ShortageAction::Preempt || typicalRun > m_minWaitBound;
}

void ServiceDemand::recordAdmitted(bool isLong, int urgency, absl::Duration run, Instant now)
{
    m_loads[isLong].at(static_cast<size_t>(urgency)).add(run, now);
}

double ServiceDemand::loadAbove(bool isLong, int urgency, Instant now) const
{
    double sum = 0;
    for (auto above = static_cast<size_t>(urgency) + 1; above < urgencyClasses; ++above)
        sum += m_loads[isLong][above].slots(now);
    return sum;
}

double ServiceDemand::loadBelow(bool isLong, int urgency, Instant now) const
{
    double sum = 0;
    for (int below = 0; below < urgency; ++below)
        sum += m_loads[isLong].at(static_cast<size_t>(below)).slots(now);
    return sum;
}

void ServiceDemand::tick(Instant now)
{
    if (now < m_nextScan)
        return;
    m_nextScan = now + scanInterval;
    m_minWaitBound = absl::InfiniteDuration();
    for (auto it = m_bounds.begin(); it != m_bounds.end();) {
        if (now - it->second.lastUsed > profileLifetime) {
            it = m_bounds.erase(it);
            continue;
        }
        m_minWaitBound = std::min(m_minWaitBound, it->second.maxWait);
        ++it;
    }
}

} // namespace cicada
