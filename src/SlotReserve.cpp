#include "SlotReserve.h"

#include <algorithm>
#include <cmath>

namespace cicada {

double AdaptiveReserve::neededSlots(Instant now) const
{
    return m_peak * std::exp(-absl::FDivDuration(now - m_peakAt, decayTime));
}

void AdaptiveReserve::recordShortRequest(absl::Duration run, Instant now)
{
    m_load.add(run, now);
    const double load = m_load.slots(now);
    if (load < neededSlots(now))
        return;
    m_peak = load;
    m_peakAt = now;
}

uint32_t AdaptiveReserve::maxLongSlots(uint32_t slots, Instant now) const
{
    const double load = neededSlots(now);
    if (load <= 0)
        return slots;
    const double wanted = std::ceil(load + marginStdDevs * std::sqrt(load));
    const double reserved = std::min(wanted, std::floor(slots * maxReservedShare));
    return slots - static_cast<uint32_t>(reserved);
}

} // namespace cicada
