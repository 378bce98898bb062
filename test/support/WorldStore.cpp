#include "WorldStore.h"

#include "absl/strings/match.h"

#include <algorithm>

namespace cicada::test {

TransactionReply WorldStore::transact(const Transaction& transaction)
{
    TransactionReply reply;
    const bool isTooLong = std::any_of(transaction.writes.begin(), transaction.writes.end(),
        [this](const StoreWrite& write) { return write.value.size() > m_maxValueBytes; });
    if (isTooLong) {
        ++m_refusedValues;
        reply.status = TransactionStatus::Rejected;
        return reply;
    }
    bool holds = true;
    for (const StoreCondition& condition : transaction.conditions) {
        const auto found = m_entries.find(condition.key);
        if ((found == m_entries.end() ? 0 : found->second.index) != condition.revision)
            holds = false;
        if (found != m_entries.end())
            reply.current.push_back(found->second);
    }
    if (!holds) {
        reply.status = TransactionStatus::ConditionFailed;
        return reply;
    }
    for (const StoreWrite& write : transaction.writes) {
        if (write.lease != 0 && !m_leases.contains(write.lease)) {
            reply.status = TransactionStatus::LeaseEnded;
            return reply;
        }
    }
    ++m_revision;
    for (const StoreWrite& write : transaction.writes) {
        m_entries[write.key] = { write.key, write.value, m_revision };
        m_leaseOf[write.key] = write.lease;
        m_history.push_back({ m_entries[write.key], false });
    }
    for (const std::string& key : transaction.removals) {
        if (m_entries.erase(key))
            m_history.push_back({ { key, "", m_revision }, true });
    }
    reply.status = TransactionStatus::Applied;
    reply.revision = m_revision;
    reply.current.clear();
    return reply;
}

StorePage WorldStore::list(const std::string& prefix, const std::string& afterKey)
{
    constexpr size_t pageSize = 50;
    StorePage page;
    page.isValid = true;
    page.storeRevision = m_revision;
    for (auto it = m_entries.lower_bound(prefix); it != m_entries.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        if (it->first <= afterKey)
            continue;
        if (page.entries.size() == pageSize) {
            page.hasMore = true;
            break;
        }
        page.entries.push_back(it->second);
    }
    if (std::find(m_awaitedPrefixes.begin(), m_awaitedPrefixes.end(), prefix) != m_awaitedPrefixes.end()) {
        m_awaitedPrefixes.clear();
        m_afterList();
    }
    return page;
}

void WorldStore::afterNextList(std::vector<std::string> prefixes, absl::AnyInvocable<void()> action)
{
    m_awaitedPrefixes = std::move(prefixes);
    m_afterList = std::move(action);
}

std::optional<std::vector<StoreChange>> WorldStore::changesSince(const std::string& prefix, uint64_t revision) const
{
    if (revision < m_oldest)
        return std::nullopt;
    std::vector<StoreChange> changes;
    for (const StoreChange& change : m_history) {
        if (change.entry.index > revision && change.entry.key.rfind(prefix, 0) == 0)
            changes.push_back(change);
    }
    return changes;
}

uint64_t WorldStore::grant(absl::Duration ttl)
{
    const uint64_t lease = ++m_lastLease;
    m_leases[lease] = { ttl, m_timers.clock().now() + ttl };
    m_timers.after(ttl, [this, lease] { expire(lease); });
    return lease;
}

bool WorldStore::keep(uint64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return false;
    found->second.endsAt = m_timers.clock().now() + found->second.ttl;
    m_timers.after(found->second.ttl, [this, lease] { expire(lease); });
    return true;
}

void WorldStore::expire(uint64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found != m_leases.end() && found->second.endsAt <= m_timers.clock().now())
        endLease(lease);
}

void WorldStore::endLease(uint64_t lease)
{
    if (!m_leases.erase(lease))
        return;
    std::vector<std::string> keys;
    for (const auto& [key, held] : m_leaseOf) {
        if (held == lease && m_entries.contains(key))
            keys.push_back(key);
    }
    for (const std::string& key : keys)
        remove(key);
}

const std::string* WorldStore::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second.value;
}

void WorldStore::put(const std::string& key, const std::string& value) { transact({ {}, { { key, value, 0 } }, {} }); }

void WorldStore::remove(const std::string& key) { transact({ {}, {}, { key } }); }

} // namespace cicada::test
