#pragma once

/** \file
 * Writes the records of one cell to the store in batches. Each transaction requires that the cell's row is unchanged,
 * so that a former owner's writes fail. It also names the revision of every key that it replaces, so that a write which
 * takes effect late can't overwrite a newer value with an older one. A write without a reply is repeated with the
 * newest value; the revisions that a failed condition returns show whether the first attempt took effect. A write that
 * the store rejects holds up no other one: its keys are sent again one by one, and the one that is rejected alone
 * waits.
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

/** Writes the owner's in-memory values through to their keys in the store. Used on the decision thread only. */
class DurableWriter {
public:
    using Done = absl::AnyInvocable<void()>;
    struct Parts {
        TransactionalStore& store;
        TimerQueue& timers;
        EventLog& log;
        Metrics& metrics;
        /** Returns the value to store for a key now; nothing when the key is to be removed. */
        std::function<std::optional<std::string>(const std::string& key)> valueOf;
        /** Called once when the guard row has changed, which means that another owner has superseded this one. */
        std::function<void()> onSuperseded;
    };

    /** `guard` is the cell's row at the revision at which this owner claimed it. */
    DurableWriter(Parts parts, StoreCondition guard);
    ~DurableWriter();

    /** Records that a key already exists in the store, at this revision. */
    void setStoredRevision(const std::string& key, uint64_t revision) { m_keys[key].revision = revision; }
    /** The revision of the key as last known; 0 when it is not in the store. */
    uint64_t storedRevision(const std::string& key) const;
    /** Drops a durable key, whose value another transaction has replaced or removed. */
    void forget(const std::string& key) { m_keys.erase(key); }
    /** Stores the key's value as it is when the write is sent, and calls `done` once it is durable. */
    void write(const std::string& key, Done done);
    /** As write(), but delayed so that the key joins a later batch; for writes whose completion nothing waits for. */
    void writeDeferred(const std::string& key);
    /** Whether the newest value of the key is stored. */
    bool isDurable(const std::string& key) const;
    /** For how long the store has refused or not answered every write, counted from the sending of the first of them;
     * zero while writes are answered. */
    absl::Duration failingFor() const;
    /** Call when the store is reachable again after an outage: resends at once the batches that have waited long for a
     * reply. */
    void retryNow();

private:
    struct Key {
        uint64_t revision = 0;
        bool isDirty = false;
        bool isInFlight = false;
        /** It was in a batch that the store rejected: it is sent without others until it is stored. */
        bool isSentAlone = false;
        /** Not sent before this time, which is set when it was rejected alone. */
        Instant notBefore = absl::ZeroDuration();
        std::vector<Done> waiting;
    };
    struct Batch {
        std::vector<std::string> keys;
        /** What was sent; nothing for a key that is removed. */
        std::vector<std::optional<std::string>> values;
        /** For each key, what waits for it. */
        std::vector<std::vector<Done>> waiting;
        Instant sentAt = absl::ZeroDuration();
    };

    void sendBatches();
    bool sendBatch();
    /** Whether the key, which is dirty, can join the batch that is being made. */
    bool mayJoin(const Key& key, const Batch& batch, size_t bytes) const;
    /** Adds the key's newest value to the batch and its transaction; returns the value's size. */
    size_t addToBatch(const std::string& name, Batch& batch, Transaction& transaction);
    void handleReply(uint64_t number, const TransactionReply& reply);
    /** Removes a batch from the ones in flight and returns it. */
    Batch takeInFlight(uint64_t number);
    /** Updates the failure count and the reply time-out from the outcome of a batch. */
    void recordOutcome(const Batch& batch, TransactionStatus status);
    void handleApplied(Batch& batch);
    bool isAlreadyApplied(const Batch& batch, const TransactionReply& reply) const;
    bool updateRevisions(const Batch& batch, const TransactionReply& reply);
    void requeue(Batch& batch);
    /** Sends the batch's keys one by one from now on; a single one is kept from being sent for a while. */
    void handleRejected(Batch& batch);
    void scheduleSend(absl::Duration delay);

    Parts m_parts;
    const StoreCondition m_guard;
    RetransmissionTimeout m_replyTimeout;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    absl::btree_map<std::string, Key> m_keys;
    std::vector<std::string> m_dirty;
    /** The batches without a reply yet, by number. */
    absl::btree_map<uint64_t, Batch> m_inFlight;
    uint64_t m_lastNumber = 0;
    bool m_isSendScheduled = false;
    bool m_isSuperseded = false;
    /** Consecutive failures since the last call that got a reply. */
    int m_failures = 0;
    /** When the first of them was sent. */
    Instant m_failingSince = absl::ZeroDuration();
    /** The latest send time among the calls that got a reply. */
    Instant m_lastAnsweredSentAt = absl::ZeroDuration();
};

} // namespace cicada
