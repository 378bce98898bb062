#pragma once

/** \file
 * Limits retries to a share of the recent first attempts, so that retries don't add load that makes a fault worse.
 */

#include "Clock.h"

namespace cicada {

/** A token bucket of retries, filled by a share of each first attempt and by a small constant rate. Not thread-safe. */
class RetryBudget {
public:
    /** Records one request, which adds `retryShare` tokens. */
    void recordFirstAttempt(Instant now);
    /** Takes one token for a retry; returns false if there is none. */
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
