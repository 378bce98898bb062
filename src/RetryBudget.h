#pragma once

/** \file
 * Bounds retries to a share of the recent first attempts, so that a fault isn't made worse by the load of retries.
 */

#include "Clock.h"

namespace cicada {

/** Retries allowed: a share of recent first attempts and a small floor. Not thread-safe. */
class RetryBudget {
public:
    /** Counts one request. */
    void recordFirstAttempt(Instant now);
    /** Takes one retry out of the budget; false when it is used up. */
    bool takeRetry(Instant now);

    static constexpr double retryShare = 0.1;
    static constexpr double minRetriesPerSecond = 5;
    static constexpr double maxTokens = 200;

private:
    void refill(Instant now);

    double m_tokens = minRetriesPerSecond;
    Instant m_refilledAt = absl::ZeroDuration();
    bool m_started = false;
};

} // namespace cicada
