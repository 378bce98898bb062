#include "WorkerSuspension.h"

#include <algorithm>

namespace cicada {

void WorkerSuspension::recordSuccess()
{
    m_failuresInRow = 0;
    m_duration = absl::ZeroDuration();
}

void WorkerSuspension::suspend(Instant now)
{
    m_duration = std::clamp(m_duration * 2, initialDuration, maxDuration);
    m_until = now + m_duration;
    // A single failure after the suspension suspends the worker again.
    m_failuresInRow = maxFailuresInRow - 1;
}

} // namespace cicada
