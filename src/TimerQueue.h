#pragma once

/** \file
 * Timers of the decision thread, based on the runtime's clock. The owner of the thread waits until the next timer is
 * due and runs it; a test does the same by advancing a paused clock.
 */

#include "Clock.h"

#include "absl/container/btree_map.h"
#include "absl/functional/any_invocable.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace cicada {

/** One-shot timers, ordered by due time. Used on the decision thread only. */
class TimerQueue {
public:
    /** `clock` must outlive the queue. */
    explicit TimerQueue(const Clock& clock)
        : m_clock(clock)
    {
    }

    const Clock& clock() const { return m_clock; }
    /** Calls `function` once `delay` has passed. */
    void after(absl::Duration delay, absl::AnyInvocable<void()> function);
    /** When the next timer is due. */
    std::optional<Instant> nextDue() const;
    /** Runs every timer that is due now, including those that these timers add with no delay. */
    void runDue();
    /** Sets a function to be called when a new timer is due before all others. */
    void onEarlier(absl::AnyInvocable<void()> function) { m_onEarlier = std::move(function); }

private:
    using Key = std::pair<Instant, uint64_t>;

    const Clock& m_clock;
    absl::btree_map<Key, absl::AnyInvocable<void()>> m_timers;
    uint64_t m_lastNumber = 0;
    absl::AnyInvocable<void()> m_onEarlier;
};

} // namespace cicada
