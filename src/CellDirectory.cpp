#include "CellDirectory.h"

#include "Pack.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace cicada {

namespace {

    constexpr const char* prefix = "cicada/ctl/";
    constexpr const char* recordPrefix = "cicada/ctl/entry/";
    constexpr const char* rowPrefix = "cicada/ctl/cell/";
    constexpr uint32_t maxCells = CellCount::maxCells;
    /** Up to this many entries, each is linked to all others. */
    constexpr size_t maxFullyLinkedEntries = 12;
    constexpr size_t neighbourCount = 6;
    /** How long a watch of the store waits for a change. It also bounds how long an unresponsive store connection goes
     * unnoticed. */
    constexpr absl::Duration watchWait = absl::Milliseconds(1500);
    /** Gives entries that start together time to discover each other before the first one claims a cell. */
    constexpr absl::Duration firstClaimDelay = absl::Milliseconds(900);
    constexpr absl::Duration rankDelay = absl::Milliseconds(200);
    constexpr size_t maxRank = 12;
    /** How long an owner whose record is gone may take to renew it while its link is up. */
    constexpr absl::Duration linkedOwnerTimeout = absl::Milliseconds(1800);
    constexpr absl::Duration claimTimeout = absl::Milliseconds(1500);
    constexpr absl::Duration evaluationInterval = absl::Milliseconds(150);
    /** An owner that has been isolated from the other entries for this long resigns its cells. */
    constexpr absl::Duration isolationTimeout = absl::Milliseconds(1200);
    /** Rows may be out of date when the last contact with the store is older than this. */
    constexpr absl::Duration maxContactAge = absl::Milliseconds(2500);

    /** An owner whose link has been down for this long, while other links are up, counts as failed. */
    constexpr absl::Duration lostLinkTimeout = absl::Milliseconds(300);
    constexpr const char* ownerService = "cell.owner";

} // namespace

CellDirectory::CellDirectory(Parts parts)
    : m_parts(std::move(parts))
    , m_mirror(
          m_parts.store, m_parts.timers, m_parts.log, prefix, watchWait,
          [this](const std::string& key, const StoreEntry* entry) { handleChange(key, entry); },
          [this] { handleSynced(); })
    , m_presence({ m_parts.store, m_parts.timers, m_parts.log, recordPrefix + m_parts.self.name, m_parts.self,
          [this](bool isReached) { handleContact(isReached); } })
    , m_count({ m_parts.store, m_parts.timers, m_parts.log, m_parts.countWorkers, m_parts.self.processors })
{
    m_parts.peers.handle(ownerService,
        [this](absl::string_view from, absl::string_view bytes) { handleAnnouncement(std::string(from), bytes); });
    m_parts.peers.handle(offerService,
        [this](absl::string_view from, absl::string_view bytes) { handleOffer(std::string(from), bytes); });
    m_parts.peers.handle(
        stopService, [this](absl::string_view from, absl::string_view bytes) { handleStop(std::string(from), bytes); });
}

void CellDirectory::start()
{
    m_startedAt = m_parts.timers.clock().now();
    m_presence.start();
    m_mirror.start();
}

std::string CellDirectory::rowKey(uint32_t cell) const { return absl::StrCat(rowPrefix, cell); }

uint32_t cellOfKey(absl::string_view key, uint32_t cells)
{
    return static_cast<uint32_t>(XXH3_64bits(key.data(), key.size()) % std::max(1u, cells));
}

uint32_t CellDirectory::cellOf(absl::string_view job) const { return cellOfKey(job, cellCount()); }

std::vector<EntryRecord> CellDirectory::neighbours() const
{
    std::vector<EntryRecord> others;
    // In the order of names, beginning after this entry and wrapping around at the end.
    for (auto it = m_entries.upper_bound(m_presence.self().name); it != m_entries.end(); ++it)
        others.push_back(it->second);
    for (auto it = m_entries.begin(); it != m_entries.end() && it->first < m_presence.self().name; ++it)
        others.push_back(it->second);
    if (others.size() >= maxFullyLinkedEntries)
        others.resize(neighbourCount);
    return others;
}

const CellRow* CellDirectory::ownerOf(uint32_t cell) const
{
    const auto found = m_rows.find(cell);
    return found == m_rows.end() || found->second.owner.name.empty() ? nullptr : &found->second;
}

uint64_t CellDirectory::rowRevision(uint32_t cell) const
{
    const auto found = m_rows.find(cell);
    return found == m_rows.end() ? 0 : found->second.revision;
}

std::vector<EntryRecord> CellDirectory::entries() const
{
    std::vector<EntryRecord> all;
    for (const auto& [name, entry] : m_entries)
        all.push_back(entry);
    return all;
}

bool CellDirectory::isIsolated() const
{
    size_t others = 0;
    size_t linked = 0;
    for (const EntryRecord& entry : neighbours()) {
        ++others;
        linked += m_parts.isLinked(entry.name) ? 1 : 0;
    }
    return others >= 2 && linked * 2 < others;
}

void CellDirectory::handleContact(bool isReached)
{
    if (isReached)
        m_parts.onStoreRecovered();
    else
        offerCells();
}

void CellDirectory::handleChange(const std::string& key, const StoreEntry* entry)
{
    const absl::string_view view = key;
    if (absl::StartsWith(view, recordPrefix))
        return handleEntry(key.substr(std::strlen(recordPrefix)), entry);
    if (key == CellCount::key)
        return m_count.applyStored(entry ? &entry->value : nullptr, entry ? entry->index : 0);
    uint32_t cell = 0;
    if (absl::StartsWith(view, rowPrefix) && absl::SimpleAtoi(view.substr(std::strlen(rowPrefix)), &cell)
        && cell < maxCells && entry)
        handleRow(cell, *entry);
}

void CellDirectory::handleEntry(const std::string& name, const StoreEntry* entry)
{
    const auto record = entry ? decodeEntry(entry->value) : std::nullopt;
    m_parts.log.write(record ? "entry-seen" : "entry-gone", "name", name);
    if (record) {
        m_entries[name] = *record;
    } else {
        m_entries.erase(name);
        m_stopping.erase(name);
    }
    if (!entry && name == m_presence.self().name)
        m_presence.restore();
    m_parts.onEntries();
}

void CellDirectory::handleRow(uint32_t cell, const StoreEntry& entry)
{
    CellRow row;
    std::string owner;
    if (!Internal::unpackFields(entry.value, "cell row", owner, row.successor)) {
        m_parts.log.write("cell-row-unreadable", "cell", cell, "revision", entry.index);
        return;
    }
    if (!owner.empty())
        row.owner = decodeEntry(owner).value_or(EntryRecord());
    row.revision = entry.index;
    applyRow(cell, row);
}

void CellDirectory::applyRow(uint32_t cell, const CellRow& row)
{
    // A reply or a peer can report a row before the watch reports the revisions that preceded it.
    const auto known = m_rows.find(cell);
    if (known != m_rows.end() && known->second.revision > row.revision)
        return;
    const bool isNew = known == m_rows.end() || known->second.revision != row.revision;
    m_rows[cell] = row;
    if (isNew) {
        m_parts.log.write("cell-owner", "cell", cell, "owner", row.owner.name, "token", row.revision);
        m_vacantSince.erase(cell);
        m_claimSentAt.erase(cell);
        if (!row.owner.name.empty())
            m_history.record(cell, row.owner, m_parts.timers.clock().now());
    }
    const auto owned = m_ownedCells.find(cell);
    if (owned != m_ownedCells.end() && owned->second != row.revision) {
        m_ownedCells.erase(owned);
        m_parts.onLost(cell);
    }
    if (isNew && row.owner.isSameIncarnation(m_presence.self()) && !m_isLeaving) {
        m_ownedCells[cell] = row.revision;
        m_lastGainedAt = m_parts.timers.clock().now();
        m_parts.onGained(cell, rowKey(cell), row.revision);
        announce(cell);
    }
    if (isNew)
        m_parts.onOwner(cell);
}

void CellDirectory::announce(uint32_t cell)
{
    const CellRow& row = m_rows[cell];
    for (const std::string& peer : m_parts.peers.peerNames())
        m_parts.peers.send(peer, ownerService, Internal::packFields(cell, row.revision, encodeEntry(row.owner)));
}

void CellDirectory::announceOwnedCells(const std::string& peer)
{
    for (const auto& [cell, revision] : m_ownedCells)
        m_parts.peers.send(peer, ownerService, Internal::packFields(cell, revision, encodeEntry(m_rows[cell].owner)));
    if (m_isStopping)
        announceStop(peer);
}

void CellDirectory::handleAnnouncement(const std::string& from, absl::string_view bytes)
{
    uint32_t cell = 0;
    CellRow row;
    std::string owner;
    if (!Internal::unpackFields(bytes, "cell owner", cell, row.revision, owner) || cell >= maxCells) {
        m_parts.log.write("peer-message-malformed", "from", from, "service", ownerService);
        return;
    }
    const auto record = decodeEntry(owner);
    if (!record || record->isSameIncarnation(m_presence.self()))
        return;
    row.owner = *record;
    const auto known = m_rows.find(cell);
    const bool isNewer = known == m_rows.end() || known->second.revision < row.revision;
    applyRow(cell, row);
    if (isNewer)
        announce(cell);
}

void CellDirectory::handleSynced() { evaluateCells(); }

void CellDirectory::evaluateCells()
{
    if (!m_mirror.isPopulated() || m_isLeaving)
        return;
    checkIsolation();
    handOverCells();
    moveToBetterEntry();
    if (cellCount() == 0) {
        scheduleEvaluation();
        if (m_presence.isStored())
            m_count.countIfDue(std::min(rankFor(0), maxRank), m_parts.timers.clock().now() - m_startedAt);
        return;
    }
    for (uint32_t cell = 0; cell < cellCount(); ++cell)
        evaluateCell(cell);
}

void CellDirectory::scheduleEvaluation()
{
    if (m_isEvaluationScheduled)
        return;
    m_isEvaluationScheduled = true;
    m_parts.timers.after(evaluationInterval, [this] {
        m_isEvaluationScheduled = false;
        evaluateCells();
    });
}

size_t CellDirectory::ownedBy(const std::string& entry) const
{
    return static_cast<size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [&](const auto& row) { return row.second.owner.name == entry; }));
}

size_t CellDirectory::rankFor(uint32_t cell) const
{
    double maxProcessors = 0;
    for (const auto& [name, entry] : m_entries)
        maxProcessors = std::max(maxProcessors, entry.processors);
    const size_t claims = claimsBesides(cell);
    const auto order = [this, cell, maxProcessors](const EntryRecord& entry, size_t claimed) {
        const std::string text = absl::StrCat(cell, "/", entry.name);
        const bool isSmall = entry.processors * 2 < maxProcessors;
        return std::make_tuple(ownedBy(entry.name) + claimed, isSmall, entry.isFarFromStore, -entry.processors,
            XXH3_64bits(text.data(), text.size()));
    };
    const auto own = order(m_presence.self(), claims);
    return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        return item.first != m_presence.self().name && !isStopping(item.second) && order(item.second, 0) < own;
    }));
}

size_t CellDirectory::claimsBesides(uint32_t cell) const
{
    const Instant now = m_parts.timers.clock().now();
    return static_cast<size_t>(std::count_if(m_claimSentAt.begin(), m_claimSentAt.end(), [&](const auto& claim) {
        return claim.first != cell && !m_ownedCells.contains(claim.first) && now - claim.second < claimTimeout;
    }));
}

std::optional<absl::Duration> CellDirectory::claimDelay(uint32_t cell, const CellRow* row) const
{
    const absl::Duration byRank = rankDelay * static_cast<double>(std::min(rankFor(cell), maxRank));
    if (!row || row->owner.name.empty()) {
        if (row && row->successor == m_presence.self().name)
            return absl::ZeroDuration();
        return byRank + (row && !row->successor.empty() ? rankDelay * 2 : absl::ZeroDuration());
    }
    if (row->owner.name == m_presence.self().name)
        return absl::ZeroDuration();
    const auto entry = m_entries.find(row->owner.name);
    if (m_parts.lostSince(row->owner.name))
        return lostLinkTimeout + byRank;
    if (entry != m_entries.end() && entry->second.isSameIncarnation(row->owner))
        return std::nullopt;
    if (entry == m_entries.end() && m_parts.isLinked(row->owner.name))
        return linkedOwnerTimeout + byRank;
    return byRank;
}

void CellDirectory::evaluateCell(uint32_t cell)
{
    if (m_ownedCells.contains(cell))
        return;
    const Instant now = m_parts.timers.clock().now();
    const auto row = m_rows.find(cell);
    const auto delay = claimDelay(cell, row == m_rows.end() ? nullptr : &row->second);
    if (!delay) {
        m_vacantSince.erase(cell);
        return;
    }
    scheduleEvaluation();
    const Instant since = m_vacantSince.try_emplace(cell, now).first->second;
    const bool isHealthy = m_presence.isStored() && now - m_mirror.lastContact() < maxContactAge && isFresh();
    const bool isFirst = row == m_rows.end();
    const bool isEarly = now - since < *delay || (isFirst && now - m_startedAt < firstClaimDelay);
    if (isEarly || !isHealthy || isIsolated() || m_isStopping)
        return;
    const auto sent = m_claimSentAt.find(cell);
    if (sent != m_claimSentAt.end() && now - sent->second < claimTimeout)
        return;
    claim(cell);
}

void CellDirectory::claim(uint32_t cell)
{
    m_claimSentAt[cell] = m_parts.timers.clock().now();
    const auto row = m_rows.find(cell);
    const uint64_t revision = row == m_rows.end() ? 0 : row->second.revision;
    m_parts.log.write("cell-claimed", "cell", cell, "overRevision", revision, "formerOwner",
        row == m_rows.end() ? "none" : row->second.owner.name);
    Transaction transaction;
    transaction.conditions.push_back({ rowKey(cell), revision });
    const std::string value = Internal::packFields(encodeEntry(m_presence.self()), std::string());
    transaction.writes.push_back({ rowKey(cell), value, 0 });
    m_parts.store.transact(std::move(transaction), [this, cell, value](const TransactionReply& reply) {
        // The watch reports the new row as well, which covers a lost reply; applying it here is faster.
        if (reply.status == TransactionStatus::Applied) {
            const StoreEntry entry { rowKey(cell), value, reply.revision };
            handleChange(entry.key, &entry);
        }
    });
}

void CellDirectory::checkIsolation()
{
    const Instant now = m_parts.timers.clock().now();
    if (!isIsolated() || m_ownedCells.empty()) {
        m_isolatedSince = absl::InfiniteDuration();
        return;
    }
    if (m_isolatedSince == absl::InfiniteDuration())
        m_isolatedSince = now;
    scheduleEvaluation();
    if (now - m_isolatedSince < isolationTimeout)
        return;
    m_isolatedSince = absl::InfiniteDuration();
    resignAll("isolated");
}

void CellDirectory::resign(uint32_t cell, const std::string& why, const std::string& successor)
{
    const auto owned = m_ownedCells.find(cell);
    if (owned == m_ownedCells.end())
        return;
    const uint64_t revision = owned->second;
    m_parts.log.write("cell-resigned", "cell", cell, "token", revision, "why", why, "successor", successor);
    Transaction transaction;
    transaction.conditions.push_back({ rowKey(cell), revision });
    transaction.writes.push_back({ rowKey(cell), Internal::packFields(std::string(), successor), 0 });
    // Until the store answers, the row still names this entry, which must not claim it back meanwhile.
    m_claimSentAt[cell] = m_parts.timers.clock().now();
    m_parts.store.transact(std::move(transaction), [this, cell](const TransactionReply& reply) {
        if (reply.status == TransactionStatus::Applied)
            return;
        m_parts.log.write("cell-resign-failed", "cell", cell);
        m_claimSentAt.erase(cell);
        scheduleEvaluation();
    });
    m_ownedCells.erase(owned);
    m_parts.onLost(cell);
}

void CellDirectory::forgetOwnership(uint32_t cell)
{
    m_ownedCells.erase(cell);
    scheduleEvaluation();
}

void CellDirectory::leave()
{
    resignAll("leaves");
    m_isLeaving = true;
    m_presence.leave();
}

} // namespace cicada
