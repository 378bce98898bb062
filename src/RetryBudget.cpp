#include "RetryBudget.h"

#include <algorithm>

namespace cicada {

void RetryBudget::refill(Instant now)
{
    const double seconds = m_started ? absl::ToDoubleSeconds(now - m_refilledAt) : 0;
    m_started = true;
    m_refilledAt = now;
    m_tokens = std::min(maxTokens, m_tokens + std::max(0.0, seconds) * minRetriesPerSecond);
}

void RetryBudget::recordFirstAttempt(Instant now)
{
    refill(now);
    m_tokens = std::min(maxTokens, m_tokens + retryShare);
}

bool RetryBudget::takeRetry(Instant now)
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace cicada
