#pragma once

/** \file
 * The clock of the runtime. Logic reads the time only through this interface and never from the operating system, so
 * that tests can pause and advance it. Instants are monotonic and valid within one process only; they are never sent to
 * a peer.
 */

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace cicada {

/** A point on the monotonic clock of this process, as time since an arbitrary start. */
using Instant = absl::Duration;

/** The source of time. Thread-safe. */
class Clock {
public:
    virtual ~Clock() = default;
    /** Monotonic time since an arbitrary start. */
    virtual Instant now() const = 0;
    /** Wall time in microseconds since 1970, which may step by seconds either way. For logs, spans, due times, and the
     * age of stored records. */
    virtual int64_t wallMicros() const = 0;
};

/** The operating system's monotonic clock. */
class SystemClock final : public Clock {
public:
    Instant now() const override;
    int64_t wallMicros() const override;
};

/** A clock that advances only when a test calls advance(). */
class ManualClock final : public Clock {
public:
    Instant now() const override;
    int64_t wallMicros() const override;
    /** Moves time forward; `by` must not be negative. */
    void advance(absl::Duration by);
    /** Steps the wall time, either way; now() is not affected. */
    void stepWall(absl::Duration by);

private:
    mutable absl::Mutex m_mutex;
    absl::Duration m_wallOffset ABSL_GUARDED_BY(m_mutex) = absl::ZeroDuration();
    Instant m_now ABSL_GUARDED_BY(m_mutex) = absl::ZeroDuration();
};

} // namespace cicada
