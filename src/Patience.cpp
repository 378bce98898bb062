#include "Patience.h"

#include <algorithm>

namespace cicada {

namespace {

    // The weights and the factor are those of TCP's retransmission timeout.
    constexpr double meanWeight = 0.125;
    constexpr double deviationWeight = 0.25;
    constexpr double deviations = 4;
    constexpr double longestBackoff = 64;

} // namespace

absl::Duration Patience::current() const
{
    if (!m_isTimed)
        return m_most;
    return std::min(std::max(m_mean + m_deviation * deviations, m_least) * m_backoff, m_most);
}

void Patience::answered(absl::Duration took)
{
    m_backoff = 1;
    if (!m_isTimed) {
        m_isTimed = true;
        m_mean = took;
        m_deviation = took / 2;
        return;
    }
    m_deviation += (absl::AbsDuration(took - m_mean) - m_deviation) * deviationWeight;
    m_mean += (took - m_mean) * meanWeight;
}

void Patience::missed() { m_backoff = std::min(longestBackoff, m_backoff * 2); }

} // namespace cicada
