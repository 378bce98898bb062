#include "Clock.h"

#include "absl/time/clock.h"

#include <ctime>

namespace cicada {

Instant SystemClock::now() const
{
    timespec spec;
    // Leases keep expiring while this machine is suspended, so the clock must include the time in suspend.
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return absl::DurationFromTimespec(spec);
}

int64_t SystemClock::wallMicros() const { return absl::ToUnixMicros(absl::Now()); }

Instant ManualClock::now() const
{
    absl::MutexLock lock(&m_mutex);
    return m_now;
}

int64_t ManualClock::wallMicros() const
{
    absl::MutexLock lock(&m_mutex);
    return absl::ToInt64Microseconds(m_now + m_wallOffset);
}

void ManualClock::advance(absl::Duration by)
{
    absl::MutexLock lock(&m_mutex);
    m_now += by;
}

void ManualClock::stepWall(absl::Duration by)
{
    absl::MutexLock lock(&m_mutex);
    m_wallOffset += by;
}

} // namespace cicada
