#pragma once

/** \file
 * Keeps this entry's record in the store under a lease, which it renews. As long as the lease is fresh, no other entry
 * can have seen the record expire. An entry must know this before it replies that something does not exist.
 */

#include "EntryRecord.h"
#include "EventLog.h"
#include "ObservedStore.h"
#include "TimerQueue.h"

#include <functional>

namespace cicada {

/** Used on the decision thread only. */
class EntryPresence {
public:
    struct Parts {
        ObservedStore& store;
        TimerQueue& timers;
        EventLog& log;
        /** The record's key in the store. */
        std::string key;
        EntryRecord self;
        /** Called when a renewal has failed, and when one succeeds after some during which the store answered nothing.
         */
        std::function<void(bool isReached)> onContact;
    };

    /** Everything in `parts` must outlive the presence. */
    explicit EntryPresence(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    void start() { grant(); }
    /** Ends the lease and with it the record; the entry does not come back. */
    void leave();
    /** Call when another process has removed the record although the lease may still be valid: writes it again. */
    void restore();

    const EntryRecord& self() const { return m_parts.self; }
    bool isStored() const { return m_isStored; }
    /** Whether the lease was renewed recently enough that it can't have expired. */
    bool isFresh() const;
    /** The number of consecutive failed renewals. */
    int failures() const { return m_failures; }
    /** The number of consecutive renewals during which the store answered no call of this process at all. A renewal
     * that timed out while others were answered is late, which says nothing about whether the store can be reached. */
    int unansweredRenewals() const { return m_unanswered; }
    /** How long ago the store last answered. */
    absl::Duration sinceAnswer() const { return m_parts.timers.clock().now() - m_parts.store.lastAnsweredAt(); }

    static constexpr absl::Duration leaseTtl = absl::Milliseconds(2400);
    static constexpr absl::Duration renewInterval = absl::Milliseconds(700);

private:
    void grant();
    void writeRecord();
    void renew();
    void recordContact(bool isReached, Instant sentAt);
    void recordFailure(Instant sentAt);
    /** Records the time that a lease call took. Returns whether that shows the store to be near after all. */
    bool recordRoundTrip(Instant sentAt);

    Parts m_parts;
    uint64_t m_lease = 0;
    bool m_isStored = false;
    bool m_isWriting = false;
    bool m_isLeaving = false;
    absl::Duration m_minRoundTrip = absl::InfiniteDuration();
    int m_failures = 0;
    int m_unanswered = 0;
    /** When the first renewal was sent that m_unanswered counts. */
    Instant m_unansweredSince = absl::ZeroDuration();
    Instant m_renewedAt = absl::ZeroDuration() - absl::Hours(1);
};

} // namespace cicada
