#pragma once

/** \file
 * How many connections a client keeps open to one server. A server takes a limited number, and those of clients that
 * lost power stay open at its end, so each client makes do with few. It learns from refusals when there is room for
 * fewer still. Without I/O. Not thread-safe.
 */

#include "Clock.h"

#include <cstddef>
#include <limits>

namespace cicada {

/** Bounds of the connections to one server; by default there are none, and refusals change nothing. */
struct ConnectionBounds {
    /** So many are opened whenever a call needs one. */
    size_t usual = std::numeric_limits<size_t>::max();
    /** So many are opened while calls wait for one for long. */
    size_t max = std::numeric_limits<size_t>::max();
    /** Idle connections but the one that was used last are closed after this time. */
    absl::Duration surplusIdleTime = absl::InfiniteDuration();

    bool isUnlimited() const { return max == std::numeric_limits<size_t>::max(); }
};

/** Decides when another connection to a server is opened. */
class ConnectionLimit {
public:
    explicit ConnectionLimit(const ConnectionBounds& bounds)
        : m_bounds(bounds)
    {
    }

    /** Whether a connection may be opened beside `open` others for a call that has waited for this long. If the server
     * has lately refused connections, only calls that may be sent again try whether it still does. */
    bool allowsAnother(size_t open, absl::Duration waited, bool mayRepeat, Instant now) const;
    /** Whether, after a refusal, it is time to try whether the server takes one more connection. */
    bool isTryDue(size_t open, Instant now) const;
    /** The server reset a new connection before it answered anything, and keeps `others`. */
    void recordRefusal(size_t others, Instant now);
    /** The server has answered on so many connections that are open together. */
    void recordAccepted(size_t open);
    /** Whether the server is known to have room for one connection only. */
    bool isSingle() const { return m_hasRefused && m_accepted <= 1; }

    /** A call that waits for so long is reason for one more connection than usual, and so on. */
    static constexpr absl::Duration growthDelay = absl::Milliseconds(200);
    /** After a refusal, the next connection beyond those that the server keeps is tried this much later. */
    static constexpr absl::Duration refusalPause = absl::Seconds(2);

private:
    ConnectionBounds m_bounds;
    bool m_hasRefused = false;
    /** After a refusal: how many connections the server keeps. */
    size_t m_accepted = 0;
    Instant m_nextTryAt = absl::ZeroDuration();
};

} // namespace cicada
