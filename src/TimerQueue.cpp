#include "TimerQueue.h"

namespace cicada {

void TimerQueue::after(absl::Duration delay, absl::AnyInvocable<void()> function)
{
    const Key key(m_clock.now() + delay, ++m_lastNumber);
    const bool isNext = m_timers.empty() || key < m_timers.begin()->first;
    m_timers.emplace(key, std::move(function));
    if (isNext && m_onEarlier)
        m_onEarlier();
}

std::optional<Instant> TimerQueue::nextDue() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first.first;
}

void TimerQueue::runDue()
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_clock.now()) {
        auto function = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        function();
    }
}

} // namespace cicada
