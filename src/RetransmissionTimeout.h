#pragma once

/** \file
 * How long to wait for a reply before the call is repeated. A lost reply should cost little time and a slow reply
 * should not be cut off, so the time-out is derived from recent round trips, as TCP derives its retransmission timeout.
 */

#include "absl/time/time.h"

namespace cicada {

/** An adaptive time-out for one kind of call. Not thread-safe. */
class RetransmissionTimeout {
public:
    /** The time-out stays within these bounds; it is `max` until the first round trip has been measured. */
    RetransmissionTimeout(absl::Duration min, absl::Duration max)
        : m_min(min)
        , m_max(max)
    {
    }

    absl::Duration current() const;
    /** Records a reply that took `roundTrip`; also resets the backoff. */
    void recordReply(absl::Duration roundTrip);
    /** Records that no reply came within the time-out; doubles the backoff. */
    void recordTimeout();
    /** Resets the backoff, for when the outage behind the time-outs has ended. */
    void resetBackoff() { m_backoff = 1; }

private:
    const absl::Duration m_min;
    const absl::Duration m_max;
    /** The smoothed round trip and its mean deviation; zero until the first reply. */
    absl::Duration m_mean = absl::ZeroDuration();
    absl::Duration m_deviation = absl::ZeroDuration();
    bool m_hasSample = false;
    /** Doubles with each time-out. */
    double m_backoff = 1;
};

} // namespace cicada
