#include "SlotReserve.h"

#include <algorithm>
#include <cmath>

namespace cicada {

double AdaptiveReserve::needed(Instant now) const
{
    return m_peak * std::exp(-absl::FDivDuration(now - m_peakAt, forgetTime));
}

void AdaptiveReserve::noteShort(absl::Duration run, Instant now)
{
    m_load.add(run, now);
    const double load = m_load.slots(now);
    if (load < needed(now))
        return;
    m_peak = load;
    m_peakAt = now;
}

uint32_t AdaptiveReserve::longLimit(uint32_t slots, Instant now) const
{
    const double load = needed(now);
    if (load <= 0)
        return slots;
    const double wanted = std::ceil(load + margin * std::sqrt(load));
    const double reserved = std::min(wanted, std::floor(slots * largestShare));
    return slots - static_cast<uint32_t>(reserved);
}

} // namespace cicada
