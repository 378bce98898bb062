#pragma once

/** \file
 * How long to wait for a reply before the call is repeated. A lost reply should cost little and a slow one should still
 * be waited for, so the time follows what replies have taken of late, as a retransmission timeout does.
 */

#include "absl/time/time.h"

namespace cicada {

/** Not thread-safe. */
class RetransmissionTimeout {
public:
    /** The time stays within these bounds; it is the longer one until a reply has been timed. */
    RetransmissionTimeout(absl::Duration min, absl::Duration max)
        : m_min(min)
        , m_max(max)
    {
    }

    absl::Duration current() const;
    /** A reply came after `roundTrip`. */
    void recordReply(absl::Duration roundTrip);
    /** The time passed without a reply. */
    void recordTimeout();
    /** What was missed is over. */
    void resetBackoff() { m_backoff = 1; }

private:
    const absl::Duration m_min;
    const absl::Duration m_max;
    /** The mean of replies and of their distance from it; nothing while none has come. */
    absl::Duration m_mean = absl::ZeroDuration();
    absl::Duration m_deviation = absl::ZeroDuration();
    bool m_hasSample = false;
    /** Doubles with each miss. */
    double m_backoff = 1;
};

} // namespace cicada
