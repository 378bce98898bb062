#pragma once

/** \file
 * When a worker that fails runs in a row gets no new ones for a while.
 */

#include "Clock.h"

namespace cicada {

/** The failures of one worker and its suspension. */
class WorkerSuspension {
public:
    void recordSuccess();
    /** Returns whether the worker has failed so many runs in a row that it is to be suspended. */
    bool recordFailure() { return ++m_failuresInRow >= maxFailuresInRow; }
    /** Suspends the worker, for longer each time. */
    void suspend(Instant now);
    bool isSuspended(Instant now) const { return m_duration > absl::ZeroDuration() && m_until > now; }

    static constexpr int maxFailuresInRow = 5;
    static constexpr absl::Duration initialDuration = absl::Seconds(10);
    static constexpr absl::Duration maxDuration = absl::Minutes(5);

private:
    int m_failuresInRow = 0;
    Instant m_until;
    absl::Duration m_duration;
};

} // namespace cicada
