#include "ConnectionLimit.h"

#include <algorithm>

namespace cicada {

bool ConnectionLimit::allowsAnother(size_t open, absl::Duration waited, bool mayRepeat, Instant now) const
{
    // Without any connection, nothing else tells whether the server takes one again.
    if (open == 0 || m_bounds.isUnlimited())
        return true;
    if (open >= m_bounds.max)
        return false;
    if (m_hasRefused && open >= m_accepted)
        return mayRepeat && isTryDue(open, now);
    if (open < m_bounds.usual)
        return true;
    return waited >= growthDelay * static_cast<double>(open - m_bounds.usual + 1);
}

bool ConnectionLimit::isTryDue(size_t open, Instant now) const
{
    return m_hasRefused && open >= m_accepted && open < m_bounds.max && now >= m_nextTryAt;
}

void ConnectionLimit::recordRefusal(size_t others, Instant now)
{
    if (m_bounds.isUnlimited())
        return;
    m_hasRefused = true;
    m_accepted = std::max<size_t>(1, others);
    m_nextTryAt = now + refusalPause;
}

void ConnectionLimit::recordAccepted(size_t open)
{
    m_accepted = std::max(m_accepted, open);
    if (m_accepted >= m_bounds.usual)
        m_hasRefused = false;
}

} // namespace cicada
