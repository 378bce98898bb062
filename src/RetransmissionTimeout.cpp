#include "RetransmissionTimeout.h"

#include <algorithm>

namespace cicada {

namespace {

    // The weights and the factor are those of TCP's retransmission timeout.
    constexpr double meanWeight = 0.125;
    constexpr double deviationWeight = 0.25;
    constexpr double deviationFactor = 4;
    constexpr double maxBackoff = 64;

} // namespace

absl::Duration RetransmissionTimeout::current() const
{
    if (!m_hasSample)
        return m_max;
    return std::min(std::max(m_mean + m_deviation * deviationFactor, m_min) * m_backoff, m_max);
}

void RetransmissionTimeout::recordReply(absl::Duration roundTrip)
{
    m_backoff = 1;
    if (!m_hasSample) {
        m_hasSample = true;
        m_mean = roundTrip;
        m_deviation = roundTrip / 2;
        return;
    }
    m_deviation += (absl::AbsDuration(roundTrip - m_mean) - m_deviation) * deviationWeight;
    m_mean += (roundTrip - m_mean) * meanWeight;
}

void RetransmissionTimeout::recordTimeout() { m_backoff = std::min(maxBackoff, m_backoff * 2); }

} // namespace cicada
