#include "OfferedLoad.h"

#include <cmath>

namespace cicada {

void OfferedLoad::add(absl::Duration run, Instant now)
{
    m_slots = slots(now) + absl::FDivDuration(run, m_window);
    m_updatedAt = now;
}

double OfferedLoad::slots(Instant now) const
{
    return m_slots * std::exp(-absl::FDivDuration(now - m_updatedAt, m_window));
}

} // namespace cicada
