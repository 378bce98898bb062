#pragma once

/** \file
 * Keeps this entry's record in the store, under a lease that is renewed. As long as the lease is fresh nobody can have
 * seen the record go, which is what an entry needs to know before it says that something does not exist.
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
        /** The store has answered a renewal after some that failed, or one has failed. */
        std::function<void(bool isReached)> onContact;
    };

    /** Everything in `parts` must outlive the presence. */
    explicit EntryPresence(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    void start() { grant(); }
    /** Lets the record go, for good. */
    void leave();
    /** Somebody else took the record away, though the lease may live. */
    void restore();

    const EntryRecord& self() const { return m_parts.self; }
    bool isStored() const { return m_isStored; }
    /** Whether the lease was renewed recently enough that it can't have ended. */
    bool isFresh() const;
    /** Renewals in a row that failed. */
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
