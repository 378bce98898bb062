#pragma once

/** \file
 * How long tasks take to crash their worker, learnt from crashes of workers that ran one job alone. A run that had been
 * at work for longer than that is hardly the cause of a crash if another one had just begun beside it; and one that had
 * just begun is a likely cause, whatever else happened at that time. Not thread-safe.
 */

#include "Clock.h"

#include <deque>
#include <optional>

namespace cicada {

/** For how long runs had been at work when their worker crashed. */
struct RunAges {
    /** That of the run in question; infinite if unknown. */
    absl::Duration own = absl::InfiniteDuration();
    /** The least age of the runs of other jobs; infinite if there were none. */
    absl::Duration youngestOther = absl::InfiniteDuration();
};

/** Remembers the ages at which tasks have lately crashed their workers. */
class CrashDelays {
public:
    /** A run crashed its worker; has no effect if its age is not known. */
    void record(const RunAges& ages, Instant now);
    /** The age above which a run is not expected to crash its worker any more; nothing if nothing is remembered. */
    std::optional<absl::Duration> limit(Instant now) const;
    /** Whether the run had just begun. */
    bool isSoonAfterStart(const RunAges& ages, Instant now) const;
    /** Whether another run is the likely cause of a crash. */
    bool isLikelyCausedByOther(const RunAges& ages, Instant now) const;
    /** Whether the run is the only likely cause of a crash. */
    bool isLikelyCause(const RunAges& ages, Instant now) const;

    static constexpr absl::Duration retention = absl::Seconds(30);
    /** The latest ones are remembered. */
    static constexpr size_t maxRemembered = 32;
    /** The limit while nothing is remembered, for runs that have just begun. */
    static constexpr absl::Duration defaultLimit = absl::Milliseconds(500);

private:
    struct Delay {
        absl::Duration age;
        Instant recordedAt;
    };
    std::deque<Delay> m_delays;
};

} // namespace cicada
