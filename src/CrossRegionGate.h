#pragma once

/** \file
 * Whether requests may leave their region. Traffic between regions is slow and paid for, so they leave only while
 * their wait bound would break otherwise, and not for a moment's peak.
 */

#include "Clock.h"

namespace cicada {

/** Opens after a while of pressure and closes when it is gone. Used on the decision thread only. */
class CrossRegionGate {
public:
    /** A request came in whose expected wait in the own region is this part of its wait bound. */
    void recordPressure(double pressure);
    /** Looks at what was noted, once in each window. Without requests the last window holds, unless `isIdle`: nothing
     * waits any more. */
    void tick(Instant now, bool isIdle);
    bool isOpen() const { return m_isOpen; }

    static constexpr absl::Duration window = absl::Milliseconds(50);
    static constexpr double openThreshold = 0.5;
    static constexpr double closeThreshold = 0.2;
    /** Windows in a row that must be above `openThreshold`. */
    static constexpr int windowsToOpen = 2;

private:
    bool m_isOpen = false;
    bool m_hasSample = false;
    double m_windowMax = 0;
    double m_pressure = 0;
    int m_highPressureWindows = 0;
    Instant m_windowEnd = absl::ZeroDuration();
};

} // namespace cicada
