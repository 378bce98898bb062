#include "CrossRegionGate.h"

#include <algorithm>

namespace cicada {

void CrossRegionGate::recordPressure(double pressure)
{
    m_hasSample = true;
    m_windowMax = std::max(m_windowMax, pressure);
}

void CrossRegionGate::tick(Instant now, bool isIdle)
{
    if (now < m_windowEnd)
        return;
    m_windowEnd = now + window;
    if (m_hasSample || isIdle)
        m_pressure = m_windowMax;
    m_hasSample = false;
    m_windowMax = 0;
    m_highPressureWindows = m_pressure >= openThreshold ? m_highPressureWindows + 1 : 0;
    if (m_highPressureWindows >= windowsToOpen)
        m_isOpen = true;
    else if (m_pressure <= closeThreshold)
        m_isOpen = false;
}

} // namespace cicada
