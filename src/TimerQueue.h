#pragma once

/** \file
 * Timers of the decision thread. The logic asks to be called at an instant of the runtime's clock; whoever drives the
 * thread waits until the next timer is due and runs it, and a test does so by advancing a paused clock.
 */

#include "Clock.h"

#include "absl/container/btree_map.h"
#include "absl/functional/any_invocable.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace cicada {

/** One-shot timers in the order in which they are due. Used on the decision thread only. */
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
    /** Runs every timer that is due now, also those that are added meanwhile with no delay. */
    void runDue();
    /** Sets what is called when a timer becomes the next one. */
    void onEarlier(absl::AnyInvocable<void()> function) { m_onEarlier = std::move(function); }

private:
    using Key = std::pair<Instant, uint64_t>;

    const Clock& m_clock;
    absl::btree_map<Key, absl::AnyInvocable<void()>> m_timers;
    uint64_t m_lastNumber = 0;
    absl::AnyInvocable<void()> m_onEarlier;
};

} // namespace cicada
