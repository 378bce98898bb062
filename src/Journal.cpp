#include "Journal.h"

#include "absl/strings/str_cat.h"

namespace cicada {

Journal::Journal(Store& store, const Clock& clock, absl::string_view owner, absl::Duration retention)
    : m_store(store)
    , m_clock(clock)
    , m_prefix(absl::StrCat(journalPrefix, owner, "/"))
    , m_retention(retention)
{
}

bool Journal::append(ClaimRecord record, absl::AnyInvocable<void()> stored)
{
    if (pendingRecords() >= maxPendingRecords)
        return false;
    m_queue.push_back({ std::move(record), std::move(stored) });
    if (m_group.empty() && (!m_hasWritten || m_clock.now() >= m_nextWrite))
        beginGroup(m_clock.now());
    return true;
}

void Journal::tick(Instant now)
{
    if (now >= m_retryAt) {
        m_retryAt = absl::InfiniteDuration();
        readBack();
    }
    if (m_group.empty() && !m_queue.empty() && now >= m_nextWrite)
        beginGroup(now);
}

void Journal::beginGroup(Instant now)
{
    m_hasWritten = true;
    m_nextWrite = now + minWriteInterval;
    std::vector<ClaimRecord> records;
    while (!m_queue.empty() && m_group.size() < maxGroupRecords) {
        records.push_back(m_queue.front().record);
        m_group.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    m_value = encodeClaims(records);
    chooseKey(now);
}

void Journal::chooseKey(Instant now)
{
    if (!m_segments.empty() && now - m_segments.front().writtenAt > m_retention) {
        m_key = m_segments.front().key;
        m_segments.pop_front();
        return readBack();
    }
    m_key = absl::StrCat(m_prefix, m_nextSegment++);
    write(0);
}

void Journal::write(uint64_t expectedIndex)
{
    m_store.put(m_key, m_value, expectedIndex, [this](const StoreReply& reply) {
        if (reply.status == StoreStatus::Ok)
            groupStored();
        else
            retryLater();
    });
}

void Journal::readBack()
{
    m_store.get(m_key, [this](const StoreReply& reply) {
        if (reply.status == StoreStatus::Unavailable)
            return retryLater();
        if (reply.entries.empty())
            return write(0);
        // Tokens are never reused, so equal bytes mean that this group was written.
        if (reply.entries[0].value == m_value)
            return groupStored();
        write(reply.entries[0].index);
    });
}

void Journal::retryLater() { m_retryAt = m_clock.now() + retryDelay; }

void Journal::groupStored()
{
    m_segments.push_back({ m_key, m_clock.now() });
    std::vector<PendingRecord> group;
    group.swap(m_group);
    for (PendingRecord& item : group)
        item.stored();
}

} // namespace cicada
