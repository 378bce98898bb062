#pragma once

/** \file
 * The interface of a store with transactions over several keys, leases, and watches from a revision. All state that
 * must outlive a process is kept in it. A reply can be lost after the call took effect, and a call without a reply can
 * take effect later as long as its conditions hold; each write therefore names the revisions that it replaces.
 */

#include "Store.h"

#include "absl/time/time.h"

namespace cicada {

/** The key must have this revision; 0 means that it must not exist. */
struct StoreCondition {
    std::string key;
    uint64_t revision = 0;
};

/** One key to write; with a lease, the key is removed when the lease ends. */
struct StoreWrite {
    std::string key;
    std::string value;
    uint64_t lease = 0;
};

/** Writes and removals that take effect together, if all conditions hold. */
struct Transaction {
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;
    /** How long to wait for the reply. */
    absl::Duration replyTimeout = absl::Milliseconds(1500);
};

/** The outcome of a transaction, as far as this side can know it. */
enum class TransactionStatus {
    Applied,
    ConditionFailed,
    LeaseEnded,
    /** The store rejected it or was not reached: it has no effect now or later. */
    NotApplied,
    /** The store answered that it never takes this call, as when a value is too long: it has no effect. */
    Rejected,
    /** No reply: it may have taken effect, or may still take effect. */
    Unknown,
};

struct TransactionReply {
    TransactionStatus status = TransactionStatus::Unknown;
    /** The revision of all written keys. */
    uint64_t revision = 0;
    /** After ConditionFailed, the current state of the conditions' keys that exist. */
    std::vector<StoreEntry> current;
};

/** One page of a listing. */
struct StorePage {
    bool isValid = false;
    std::vector<StoreEntry> entries;
    bool hasMore = false;
    uint64_t storeRevision = 0;
};

/** One change reported by a watch; a removed key has no value. */
struct StoreChange {
    StoreEntry entry;
    bool isRemoved = false;
};

enum class WatchStatus {
    Ok,
    /** The changes since the given revision are no longer available: list again. */
    HistoryGone,
    Failed,
};

struct WatchReply {
    WatchStatus status = WatchStatus::Failed;
    std::vector<StoreChange> changes;
    uint64_t storeRevision = 0;
};

/** How a lease call ended. */
enum class LeaseStatus { Ok, Ended, Failed };

struct LeaseReply {
    LeaseStatus status = LeaseStatus::Failed;
    uint64_t lease = 0;
};

/** The maximum total of conditions, writes and removals in one transaction. */
constexpr size_t maxTransactionEntries = 32;

/** Calls return at once; callbacks run on the decision thread, never within the call. Not thread-safe. */
class TransactionalStore {
public:
    virtual ~TransactionalStore() = default;
    virtual void transact(Transaction, absl::AnyInvocable<void(TransactionReply)>) = 0;
    /** Lists one page of the keys below `prefix` that come after `afterKey`. */
    virtual void listPage(const std::string& prefix, const std::string& afterKey, absl::AnyInvocable<void(StorePage)>)
        = 0;
    /** Calls back when a key below `prefix` has changed after `revision`, or when `wait` has passed. */
    virtual void awaitChange(
        const std::string& prefix, uint64_t revision, absl::Duration wait, absl::AnyInvocable<void(WatchReply)>)
        = 0;
    virtual void grantLease(absl::Duration ttl, absl::AnyInvocable<void(LeaseReply)>) = 0;
    virtual void keepLease(uint64_t lease, absl::AnyInvocable<void(LeaseStatus)>) = 0;
    virtual void endLease(uint64_t lease) = 0;
};

} // namespace cicada
