#pragma once

/** \file
 * Keeps this entry's record in the store under a lease, which it renews. As long as the lease is fresh, no other entry
 * can have seen the record expire. An entry must know this before it replies that something does not exist.
 */

#include "EntryRecord.h"
#include "EventLog.h"
#include "TimerQueue.h"
#include "TransactionalStore.h"

#include <functional>

namespace cicada {

/** Used on the decision thread only. */
class EntryPresence {
public:
    struct Parts {
        TransactionalStore& store;
        TimerQueue& timers;
        EventLog& log;
        /** The record's key in the store. */
        std::string key;
        EntryRecord self;
        /** Called when a renewal has failed, and when one succeeds after failures. */
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

    static constexpr absl::Duration leaseTtl = absl::Milliseconds(2400);
    static constexpr absl::Duration renewInterval = absl::Milliseconds(700);

private:
    void grant();
    void writeRecord();
    void renew();
    void recordContact(bool isReached);

    Parts m_parts;
    uint64_t m_lease = 0;
    bool m_isStored = false;
    bool m_isWriting = false;
    bool m_isLeaving = false;
    int m_failures = 0;
    Instant m_renewedAt = absl::ZeroDuration() - absl::Hours(1);
};

} // namespace cicada
