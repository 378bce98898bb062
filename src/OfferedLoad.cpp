#include "OfferedLoad.h"

#include <cmath>

namespace cicada {

void OfferedLoad::add(absl::Duration run, Instant now)
{
    m_slots = slots(now) + absl::FDivDuration(run, m_window);
    m_at = now;
}

double OfferedLoad::slots(Instant now) const { return m_slots * std::exp(-absl::FDivDuration(now - m_at, m_window)); }

} // namespace cicada
