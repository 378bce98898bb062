#pragma once

/** \file
 * Writes the records of one cell to the store in groups. Each transaction requires that the cell's row is unchanged,
 * so that a former owner's writes fail, and names the revision of every key that it replaces, so that a write which
 * takes effect late can't put an older value over a newer one. A write without a reply is repeated with the newest
 * value; what the first attempt did shows in the revisions that a failed condition returns.
 */

#include "EventLog.h"
#include "Metrics.h"
#include "RetransmissionTimeout.h"
#include "TimerQueue.h"
#include "TransactionalStore.h"

#include "absl/container/btree_map.h"

#include <functional>
#include <memory>

namespace cicada {

/** Keeps keys of the store equal to values that the owner holds in memory. Used on the decision thread only. */
class DurableWriter {
public:
    using Done = absl::AnyInvocable<void()>;
    struct Parts {
        TransactionalStore& store;
        TimerQueue& timers;
        EventLog& log;
        Metrics& metrics;
        /** The value of a key as it is to be stored now; nothing when the key is to be removed. */
        std::function<std::optional<std::string>(const std::string& key)> valueOf;
        /** The row that proves the ownership has changed. */
        std::function<void()> onSuperseded;
    };

    /** `guard` is the cell's row at the revision under which this owner holds it. */
    DurableWriter(Parts parts, StoreCondition guard);
    ~DurableWriter();

    /** Says that a key exists already, at this revision. */
    void setStoredRevision(const std::string& key, uint64_t revision) { m_keys[key].revision = revision; }
    /** Stores the key's value as it is when the write is sent, and calls `done` once it is durable. */
    void write(const std::string& key, Done done);
    /** As write(), for what nobody waits for: it goes with a later group. */
    void writeDeferred(const std::string& key);
    /** Whether the newest value of the key is stored. */
    bool isDurable(const std::string& key) const;
    /** The store answers again after it did not: what has waited for long is sent once more at once. */
    void retryNow();

private:
    struct Key {
        uint64_t revision = 0;
        bool isDirty = false;
        bool isInFlight = false;
        std::vector<Done> waiting;
    };
    struct Batch {
        std::vector<std::string> keys;
        /** What was sent; nothing for a key that is removed. */
        std::vector<std::optional<std::string>> values;
        std::vector<Done> done;
        Instant sentAt = absl::ZeroDuration();
    };

    void sendBatches();
    bool sendBatch();
    void handleReply(uint64_t number, const TransactionReply& reply);
    /** Takes a batch out of those that await their reply. */
    Batch takeInFlight(uint64_t number);
    /** Judges by the outcome whether the store is well. */
    void recordOutcome(const Batch& batch, TransactionStatus status);
    void handleApplied(Batch& batch);
    bool isAlreadyApplied(const Batch& batch, const TransactionReply& reply) const;
    bool updateRevisions(const Batch& batch, const TransactionReply& reply);
    void requeue(Batch& batch);
    void scheduleSend(absl::Duration delay);

    Parts m_parts;
    const StoreCondition m_guard;
    RetransmissionTimeout m_replyTimeout;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    absl::btree_map<std::string, Key> m_keys;
    std::vector<std::string> m_dirty;
    /** The batches that await their reply. */
    absl::btree_map<uint64_t, Batch> m_inFlight;
    uint64_t m_lastNumber = 0;
    bool m_isSendScheduled = false;
    bool m_isSuperseded = false;
    /** Failures in a row since the last call that was answered. */
    int m_failures = 0;
    /** When the latest of the calls that were answered was sent. */
    Instant m_lastAnsweredSentAt = absl::ZeroDuration();
};

} // namespace cicada
