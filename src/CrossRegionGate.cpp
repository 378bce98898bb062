#include "CrossRegionGate.h"

#include <algorithm>

namespace cicada {

void CrossRegionGate::note(double pressure)
{
    m_isNoted = true;
    m_highest = std::max(m_highest, pressure);
}

void CrossRegionGate::tick(Instant now, bool isIdle)
{
    if (now < m_windowEnd)
        return;
    m_windowEnd = now + window;
    if (m_isNoted || isIdle)
        m_pressure = m_highest;
    m_isNoted = false;
    m_highest = 0;
    m_pressedWindows = m_pressure >= openAt ? m_pressedWindows + 1 : 0;
    if (m_pressedWindows >= windowsToOpen)
        m_isOpen = true;
    else if (m_pressure <= closeAt)
        m_isOpen = false;
}

} // namespace cicada
