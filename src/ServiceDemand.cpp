#include "ServiceDemand.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration sweepInterval = absl::Seconds(1);

} // namespace

bool ServiceDemand::note(const Profile& profile, absl::Duration typicalRun, Instant now)
{
    m_bounds[profile.name] = { profile.maxWait, now };
    m_shortestWait = std::min(m_shortestWait, profile.maxWait);
    return profile.whenShort == ShortageAction::Preempt || typicalRun > m_shortestWait;
}

void ServiceDemand::admitted(bool isLong, int urgency, absl::Duration run, Instant now)
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
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepInterval;
    m_shortestWait = absl::InfiniteDuration();
    for (auto it = m_bounds.begin(); it != m_bounds.end();) {
        if (now - it->second.lastUsed > profileLifetime) {
            it = m_bounds.erase(it);
            continue;
        }
        m_shortestWait = std::min(m_shortestWait, it->second.maxWait);
        ++it;
    }
}

} // namespace cicada
