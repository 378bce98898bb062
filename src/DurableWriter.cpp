#include "DurableWriter.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cicada {

namespace {

    /** Writes that fall within this interval are batched. */
    constexpr absl::Duration batchInterval = absl::Milliseconds(10);
    constexpr absl::Duration deferredWriteDelay = absl::Milliseconds(1500);
    constexpr size_t maxInFlight = 32;
    constexpr absl::Duration firstRetryDelay = absl::Milliseconds(50);
    constexpr absl::Duration maxRetryDelay = absl::Milliseconds(150);
    /** A key that the store rejects is sent again after this time, when its value may have become acceptable. */
    constexpr absl::Duration rejectedRetryDelay = absl::Seconds(1);
    /** Bounds of the time-out for a reply. */
    constexpr absl::Duration minReplyTimeout = absl::Milliseconds(250);
    constexpr absl::Duration maxReplyTimeout = absl::Milliseconds(1500);
    /** Each key takes one condition and one write; the guard takes one more condition. */
    constexpr size_t keysPerTransaction = (maxTransactionEntries - 1) / 2;
    constexpr size_t maxTransactionBytes = 256 << 10;

} // namespace

DurableWriter::DurableWriter(Parts parts, StoreCondition guard)
    : m_parts(std::move(parts))
    , m_guard(std::move(guard))
    , m_replyTimeout(minReplyTimeout, maxReplyTimeout)
{
}

DurableWriter::~DurableWriter() { *m_alive = false; }

void DurableWriter::write(const std::string& key, Done done)
{
    Key& state = m_keys[key];
    if (done)
        state.waiting.push_back(std::move(done));
    if (!state.isDirty) {
        state.isDirty = true;
        m_dirty.push_back(key);
    }
    if (m_inFlight.size() < maxInFlight && m_failures == 0)
        scheduleSend(batchInterval);
}

void DurableWriter::writeDeferred(const std::string& key)
{
    m_parts.timers.after(deferredWriteDelay, [this, alive = m_alive, key] {
        if (*alive)
            write(key, {});
    });
}

bool DurableWriter::isDurable(const std::string& key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() || (!found->second.isDirty && !found->second.isInFlight);
}

absl::Duration DurableWriter::failingFor() const
{
    return m_failures > 0 ? m_parts.timers.clock().now() - m_failingSince : absl::ZeroDuration();
}

uint64_t DurableWriter::storedRevision(const std::string& key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? 0 : found->second.revision;
}

void DurableWriter::retryNow()
{
    const Instant now = m_parts.timers.clock().now();
    std::vector<uint64_t> overdue;
    for (const auto& [number, batch] : m_inFlight) {
        if (now - batch.sentAt > minReplyTimeout)
            overdue.push_back(number);
    }
    // As after a lost reply, the revisions show whether these batches took effect.
    for (const uint64_t number : overdue) {
        Batch batch = takeInFlight(number);
        requeue(batch);
    }
    m_failures = 0;
    m_replyTimeout.resetBackoff();
    if (!m_dirty.empty())
        scheduleSend(absl::ZeroDuration());
}

void DurableWriter::scheduleSend(absl::Duration delay)
{
    if (m_isSendScheduled || m_isSuperseded)
        return;
    m_isSendScheduled = true;
    m_parts.timers.after(delay, [this, alive = m_alive] {
        if (!*alive)
            return;
        m_isSendScheduled = false;
        sendBatches();
    });
}

void DurableWriter::sendBatches()
{
    // After a failure only one batch at a time is sent, to probe the store.
    const size_t maxBatches = m_failures > 0 ? 1 : maxInFlight;
    while (!m_isSuperseded && m_inFlight.size() < maxBatches && sendBatch()) { }
}

bool DurableWriter::sendBatch()
{
    Batch batch;
    Transaction transaction;
    transaction.replyTimeout = m_replyTimeout.current();
    transaction.conditions.push_back(m_guard);
    size_t bytes = 0;
    std::vector<std::string> remaining;
    for (std::string& name : m_dirty) {
        if (mayJoin(m_keys[name], batch, bytes))
            bytes += addToBatch(name, batch, transaction);
        else
            remaining.push_back(std::move(name));
    }
    m_dirty = std::move(remaining);
    if (batch.keys.empty())
        return false;
    batch.sentAt = m_parts.timers.clock().now();
    const uint64_t number = ++m_lastNumber;
    m_inFlight.emplace(number, std::move(batch));
    m_parts.metrics.count("cicada_store_transactions");
    m_parts.store.transact(std::move(transaction), [this, alive = m_alive, number](const TransactionReply& reply) {
        if (*alive)
            handleReply(number, reply);
    });
    return true;
}

bool DurableWriter::mayJoin(const Key& key, const Batch& batch, size_t bytes) const
{
    const bool isFull = batch.keys.size() == keysPerTransaction || bytes > maxTransactionBytes;
    if (key.isInFlight || isFull || key.notBefore > m_parts.timers.clock().now())
        return false;
    return batch.keys.empty() || (!key.isSentAlone && !m_keys.at(batch.keys.front()).isSentAlone);
}

size_t DurableWriter::addToBatch(const std::string& name, Batch& batch, Transaction& transaction)
{
    Key& key = m_keys[name];
    auto value = m_parts.valueOf(name);
    const size_t bytes = value ? value->size() : 0;
    key.isDirty = false;
    key.isInFlight = true;
    transaction.conditions.push_back({ name, key.revision });
    if (value)
        transaction.writes.push_back({ name, *value, 0 });
    else if (key.revision != 0)
        transaction.removals.push_back(name);
    batch.waiting.push_back(std::exchange(key.waiting, {}));
    batch.values.push_back(std::move(value));
    batch.keys.push_back(name);
    return bytes;
}

DurableWriter::Batch DurableWriter::takeInFlight(uint64_t number)
{
    const auto found = m_inFlight.find(number);
    Batch batch = std::move(found->second);
    m_inFlight.erase(found);
    for (const std::string& name : batch.keys)
        m_keys[name].isInFlight = false;
    return batch;
}

void DurableWriter::handleReply(uint64_t number, const TransactionReply& reply)
{
    // A late reply to a batch that has been resent carries nothing that the reply to the resent batch will not.
    if (!m_inFlight.contains(number) || m_isSuperseded)
        return;
    Batch batch = takeInFlight(number);
    recordOutcome(batch, reply.status);
    if (reply.status == TransactionStatus::Applied) {
        for (const std::string& name : batch.keys)
            m_keys[name].revision = reply.revision;
        handleApplied(batch);
    } else if (reply.status == TransactionStatus::ConditionFailed) {
        if (!updateRevisions(batch, reply)) {
            m_isSuperseded = true;
            m_parts.log.write("cell-row-changed", "row", m_guard.key, "revision", m_guard.revision);
            return m_parts.onSuperseded();
        }
        // An earlier attempt without a reply may have written the same values.
        isAlreadyApplied(batch, reply) ? handleApplied(batch) : requeue(batch);
    } else if (reply.status == TransactionStatus::Rejected) {
        handleRejected(batch);
    } else {
        if (m_failures == 1)
            m_parts.log.write("store-write-failed", "keys", batch.keys.size(), "unknown",
                reply.status == TransactionStatus::Unknown ? 1 : 0);
        requeue(batch);
    }
    const absl::Duration backoff = std::min(maxRetryDelay, firstRetryDelay * std::min(8, 1 << std::min(m_failures, 3)));
    if (!m_dirty.empty())
        scheduleSend(m_failures > 0 ? backoff : absl::ZeroDuration());
}

void DurableWriter::recordOutcome(const Batch& batch, TransactionStatus status)
{
    const bool isAnswered = status == TransactionStatus::Applied || status == TransactionStatus::ConditionFailed
        || status == TransactionStatus::Rejected;
    if (isAnswered) {
        if (m_failures > 0)
            m_parts.log.write("store-writes-resumed", "failures", m_failures);
        m_failures = 0;
        m_lastAnsweredSentAt = std::max(m_lastAnsweredSentAt, batch.sentAt);
        return m_replyTimeout.recordReply(m_parts.timers.clock().now() - batch.sentAt);
    }
    // A single lost reply, when calls sent later got replies, does not mean that the store is unavailable.
    if (batch.sentAt < m_lastAnsweredSentAt)
        return;
    if (m_failures == 0)
        m_failingSince = batch.sentAt;
    ++m_failures;
    if (status == TransactionStatus::Unknown)
        m_replyTimeout.recordTimeout();
}

void DurableWriter::handleApplied(Batch& batch)
{
    for (size_t i = 0; i < batch.keys.size(); ++i) {
        const auto key = m_keys.find(batch.keys[i]);
        key->second.isSentAlone = false;
        if (batch.values[i])
            continue;
        key->second.revision = 0;
        if (!key->second.isDirty && key->second.waiting.empty())
            m_keys.erase(key);
    }
    for (std::vector<Done>& waiting : batch.waiting) {
        for (Done& done : waiting)
            done();
    }
}

bool DurableWriter::isAlreadyApplied(const Batch& batch, const TransactionReply& reply) const
{
    absl::btree_map<std::string, absl::string_view> current;
    for (const StoreEntry& entry : reply.current)
        current[entry.key] = entry.value;
    for (size_t i = 0; i < batch.keys.size(); ++i) {
        const auto found = current.find(batch.keys[i]);
        const bool isThere = found != current.end();
        if (isThere != batch.values[i].has_value() || (isThere && found->second != *batch.values[i]))
            return false;
    }
    return true;
}

bool DurableWriter::updateRevisions(const Batch& batch, const TransactionReply& reply)
{
    absl::btree_map<std::string, uint64_t> current;
    for (const StoreEntry& entry : reply.current)
        current[entry.key] = entry.index;
    const auto guard = current.find(m_guard.key);
    if (guard == current.end() || guard->second != m_guard.revision)
        return false;
    for (const std::string& name : batch.keys) {
        const auto found = current.find(name);
        m_keys[name].revision = found == current.end() ? 0 : found->second;
    }
    return true;
}

void DurableWriter::requeue(Batch& batch)
{
    for (size_t i = 0; i < batch.keys.size(); ++i) {
        Key& key = m_keys[batch.keys[i]];
        std::move(batch.waiting[i].begin(), batch.waiting[i].end(), std::back_inserter(key.waiting));
        if (key.isDirty)
            continue;
        key.isDirty = true;
        m_dirty.push_back(batch.keys[i]);
    }
}

void DurableWriter::handleRejected(Batch& batch)
{
    for (const std::string& name : batch.keys)
        m_keys[name].isSentAlone = true;
    if (batch.keys.size() == 1) {
        m_parts.metrics.count("cicada_store_rejections");
        m_parts.log.write("store-write-rejected", "key", batch.keys.front(), "bytes",
            batch.values.front() ? batch.values.front()->size() : 0);
        m_keys[batch.keys.front()].notBefore = m_parts.timers.clock().now() + rejectedRetryDelay;
        m_parts.timers.after(rejectedRetryDelay, [this, alive = m_alive] {
            if (*alive)
                scheduleSend(absl::ZeroDuration());
        });
    }
    requeue(batch);
}

} // namespace cicada
