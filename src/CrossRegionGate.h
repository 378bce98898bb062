#pragma once

/** \file
 * Decides whether requests may leave their region. Traffic between regions is slow and billed, so requests leave only
 * while they would otherwise exceed their wait bound, and not for a momentary load peak.
 */

#include "Clock.h"

namespace cicada {

/** Opens after sustained pressure and closes when the pressure is gone. Used on the decision thread only. */
class CrossRegionGate {
public:
    /** Records a request. `pressure` is its expected wait in the own region as a fraction of its wait bound. */
    void recordPressure(double pressure);
    /** Evaluates the recorded pressure once per window. A window without requests keeps the previous pressure, unless
     * `isIdle`, that is, no request is waiting. */
    void tick(Instant now, bool isIdle);
    bool isOpen() const { return m_isOpen; }

    static constexpr absl::Duration window = absl::Milliseconds(50);
    static constexpr double openThreshold = 0.5;
    static constexpr double closeThreshold = 0.2;
    /** Consecutive windows that must reach `openThreshold`. */
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
