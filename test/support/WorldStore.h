#pragma once

/** \file
 * The platform's store in the tests' world: transactions, leases that run out on the paused clock, and a history that
 * can be dropped.
 */

#include "TimerQueue.h"
#include "TransactionalStore.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"

#include <optional>
#include <string>
#include <vector>

namespace cicada::test {

/** The store's contents, shared by all entries. */
class WorldStore {
public:
    explicit WorldStore(TimerQueue& timers)
        : m_timers(timers)
    {
    }

    TransactionReply transact(const Transaction&);
    StorePage list(const std::string& prefix, const std::string& afterKey);
    /** Does something once, right after the next listing of one of the prefixes has been read. */
    void afterNextList(std::vector<std::string> prefixes, absl::AnyInvocable<void()> action);
    /** Changes after a revision, or nothing when they were dropped. */
    std::optional<std::vector<StoreChange>> changesSince(const std::string& prefix, uint64_t revision) const;
    uint64_t revision() const { return m_revision; }
    uint64_t grant(absl::Duration ttl);
    bool keep(uint64_t lease);
    void endLease(uint64_t lease);
    /** Transactions with a longer value are refused for good. */
    void setMaxValueBytes(size_t bytes) { m_maxValueBytes = bytes; }
    /** How many were. */
    size_t refusedValues() const { return m_refusedValues; }
    void dropHistory() { m_oldest = m_revision; }
    const std::string* find(const std::string& key) const;
    /** Writes as the operator or a worker does. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct Lease {
        absl::Duration ttl;
        Instant endsAt;
    };
    void expire(uint64_t lease);

    TimerQueue& m_timers;
    absl::btree_map<std::string, StoreEntry> m_entries;
    absl::flat_hash_map<std::string, uint64_t> m_leaseOf;
    std::vector<StoreChange> m_history;
    absl::btree_map<uint64_t, Lease> m_leases;
    uint64_t m_revision = 1;
    uint64_t m_oldest = 0;
    uint64_t m_lastLease = 0;
    size_t m_maxValueBytes = 1 << 20;
    size_t m_refusedValues = 0;
    std::vector<std::string> m_awaitedPrefixes;
    absl::AnyInvocable<void()> m_afterList;
};

} // namespace cicada::test
