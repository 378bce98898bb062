#include "CellDirectory.h"

#include "Pack.h"

#include "absl/strings/numbers.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstring>

namespace cicada {

namespace {

    constexpr const char* prefix = "cicada/ctl/";
    constexpr const char* recordPrefix = "cicada/ctl/entry/";
    constexpr const char* rowPrefix = "cicada/ctl/cell/";
    constexpr const char* cellCountKey = "cicada/ctl/cells";
    /** How many workers a cell's owner carries with a whole processor. */
    constexpr double workersPerProcessor = 800;
    constexpr uint32_t mostCells = 4096;
    /** With so many entries or less, each is linked to all. */
    constexpr size_t mostFullyLinked = 12;
    constexpr size_t neighbourCount = 6;
    /** How long a watch waits, and so how long a silent connection to the store is believed. */
    constexpr absl::Duration watchWait = absl::Milliseconds(1500);
    constexpr absl::Duration renewRetryDelay = absl::Milliseconds(200);
    /** Entries that start together find each other before the first takes a cell. */
    constexpr absl::Duration firstClaimDelay = absl::Milliseconds(900);
    constexpr absl::Duration rankDelay = absl::Milliseconds(200);
    constexpr absl::Duration countInterval = absl::Milliseconds(1000);
    constexpr absl::Duration countPatience = absl::Seconds(5);
    constexpr size_t maxRank = 12;
    /** A first call to the store that takes longer crosses regions. */
    constexpr absl::Duration farFromStore = absl::Milliseconds(45);
    /** An owner whose link is up and whose record is gone gets this long to renew it. */
    constexpr absl::Duration linkedPatience = absl::Milliseconds(1800);
    constexpr absl::Duration claimTimeout = absl::Milliseconds(1500);
    constexpr absl::Duration considerInterval = absl::Milliseconds(150);
    /** An owner that has lost the others for this long lets its cells go. */
    constexpr absl::Duration isolationPatience = absl::Milliseconds(1200);
    /** Rows older than this are not believed to be the newest. */
    constexpr absl::Duration contactLimit = absl::Milliseconds(2500);

    /** A link to the owner that has been down for this long, while the others are up, speaks for its death. */
    constexpr absl::Duration lostLinkPatience = absl::Milliseconds(450);
    /** So many renewals that fail in a row let an owner offer its cells to peers, which may reach the store. */
    constexpr int failuresToOffer = 2;
    /** An owner does not offer its cells sooner; two that both lose replies would pass them to and fro. */
    constexpr absl::Duration shortestTerm = absl::Milliseconds(1500);
    /** How long a cell stays on an entry that is small for it, as after a fault, before it moves to a larger one. */
    constexpr absl::Duration termOnSmallEntry = absl::Seconds(3);
    constexpr const char* ownerService = "cell.owner";
    constexpr const char* offerService = "cell.offer";

    std::string encodeEntry(const EntryRecord& entry)
    {
        return Internal::packFields(
            entry.name, entry.incarnation, entry.peerAddress, entry.region, entry.processors, entry.isFarFromStore);
    }

    std::optional<EntryRecord> decodeEntry(const std::string& bytes)
    {
        EntryRecord entry;
        if (!Internal::unpackFields(bytes, "entry record", entry.name, entry.incarnation, entry.peerAddress,
                entry.region, entry.processors, entry.isFarFromStore))
            return std::nullopt;
        return entry;
    }

} // namespace

CellDirectory::CellDirectory(Parts parts)
    : m_parts(std::move(parts))
    , m_mirror(
          m_parts.store, m_parts.timers, m_parts.log, prefix, watchWait,
          [this](const std::string& key, const StoreEntry* entry) { handleChange(key, entry); },
          [this] { handleSynced(); })
{
    m_parts.peers.handle(ownerService,
        [this](absl::string_view from, absl::string_view bytes) { handleAnnounced(std::string(from), bytes); });
    m_parts.peers.handle(offerService,
        [this](absl::string_view from, absl::string_view bytes) { handleOffer(std::string(from), bytes); });
}

void CellDirectory::start()
{
    m_startedAt = m_parts.timers.clock().now();
    grant();
    m_mirror.start();
}

std::string CellDirectory::recordKey() const { return recordPrefix + m_parts.self.name; }
std::string CellDirectory::rowKey(uint32_t cell) const { return absl::StrCat(rowPrefix, cell); }

uint32_t cellOfKey(absl::string_view key, uint32_t cells)
{
    return static_cast<uint32_t>(XXH3_64bits(key.data(), key.size()) % std::max(1u, cells));
}

uint32_t CellDirectory::cellOf(absl::string_view job) const { return cellOfKey(job, cellCount()); }

std::vector<EntryRecord> CellDirectory::neighbours() const
{
    std::vector<EntryRecord> others;
    // Those that come after this entry in the order of names, around the end.
    for (auto it = m_entries.upper_bound(m_parts.self.name); it != m_entries.end(); ++it)
        others.push_back(it->second);
    for (auto it = m_entries.begin(); it != m_entries.end() && it->first < m_parts.self.name; ++it)
        others.push_back(it->second);
    if (others.size() >= mostFullyLinked)
        others.resize(neighbourCount);
    return others;
}

const CellRow* CellDirectory::ownerOf(uint32_t cell) const
{
    const auto found = m_rows.find(cell);
    return found == m_rows.end() || found->second.owner.name.empty() ? nullptr : &found->second;
}

std::vector<EntryRecord> CellDirectory::entries() const
{
    std::vector<EntryRecord> all;
    for (const auto& [name, entry] : m_entries)
        all.push_back(entry);
    return all;
}

bool CellDirectory::isFresh() const
{
    // Counted from the sending of the renewal that was answered, so that nobody can have seen the lease end.
    return m_parts.timers.clock().now() - m_renewedAt < leaseTtl;
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

void CellDirectory::grant()
{
    m_isRecordStored = false;
    const Instant sentAt = m_parts.timers.clock().now();
    m_parts.store.grantLease(leaseTtl, [this, sentAt](LeaseReply reply) {
        if (m_isLeaving)
            return;
        noteRenewal(reply.status == LeaseStatus::Ok);
        if (reply.status != LeaseStatus::Ok)
            return m_parts.timers.after(renewRetryDelay, [this] { grant(); });
        m_lease = reply.lease;
        m_renewedAt = sentAt;
        m_parts.self.isFarFromStore = m_parts.timers.clock().now() - sentAt > farFromStore;
        writeRecord();
        renewLater(renewInterval);
    });
}

void CellDirectory::writeRecord()
{
    if (m_isWriting || m_isLeaving)
        return;
    m_isWriting = true;
    Transaction transaction;
    transaction.writes.push_back({ recordKey(), encodeEntry(m_parts.self), m_lease });
    m_parts.store.transact(std::move(transaction), [this](const TransactionReply& reply) {
        m_isWriting = false;
        if (m_isLeaving)
            return;
        m_isRecordStored = reply.status == TransactionStatus::Applied;
        if (m_isRecordStored)
            m_parts.log.write("entry-recorded", "lease", m_lease, "revision", reply.revision);
        else if (reply.status != TransactionStatus::LeaseEnded)
            m_parts.timers.after(renewRetryDelay, [this] {
                if (!m_isRecordStored)
                    writeRecord();
            });
    });
}

void CellDirectory::renewLater(absl::Duration delay)
{
    m_parts.timers.after(delay, [this] { renew(); });
}

void CellDirectory::renew()
{
    if (m_isLeaving)
        return;
    const Instant sentAt = m_parts.timers.clock().now();
    m_parts.store.keepLease(m_lease, [this, sentAt](LeaseStatus status) {
        if (m_isLeaving)
            return;
        noteRenewal(status != LeaseStatus::Failed);
        if (status == LeaseStatus::Ended) {
            m_parts.log.write("lease-ended", "lease", m_lease);
            return grant();
        }
        if (status == LeaseStatus::Ok)
            m_renewedAt = sentAt;
        renewLater(status == LeaseStatus::Ok ? renewInterval : renewRetryDelay);
    });
}

void CellDirectory::handleChange(const std::string& key, const StoreEntry* entry)
{
    if (absl::string_view(key).substr(0, std::strlen(recordPrefix)) == recordPrefix) {
        const std::string name = key.substr(std::strlen(recordPrefix));
        const auto record = entry ? decodeEntry(entry->value) : std::nullopt;
        m_parts.log.write(record ? "entry-seen" : "entry-gone", "name", name);
        if (record)
            m_entries[name] = *record;
        else
            m_entries.erase(name);
        // Somebody else took the record away, though the lease may live.
        if (!entry && name == m_parts.self.name && m_isRecordStored) {
            m_isRecordStored = false;
            writeRecord();
        }
        return m_parts.onEntries();
    }
    if (key == cellCountKey) {
        if (!entry || !Internal::unpackFields(entry->value, "number of cells", m_cellCount) || m_cellCount > mostCells)
            m_parts.log.write("cell-count-unreadable", "revision", entry ? entry->index : 0);
        else
            m_parts.log.write("cell-count", "cells", m_cellCount, "revision", entry->index);
        return;
    }
    uint32_t cell = 0;
    if (absl::string_view(key).substr(0, std::strlen(rowPrefix)) != rowPrefix
        || !absl::SimpleAtoi(key.substr(std::strlen(rowPrefix)), &cell) || cell >= mostCells || !entry)
        return;
    CellRow row;
    std::string owner;
    if (!Internal::unpackFields(entry->value, "cell row", owner, row.successor)) {
        m_parts.log.write("cell-row-unreadable", "cell", cell, "revision", entry->index);
        return;
    }
    if (!owner.empty())
        row.owner = decodeEntry(owner).value_or(EntryRecord());
    row.revision = entry->index;
    applyRow(cell, row);
}

void CellDirectory::applyRow(uint32_t cell, const CellRow& row)
{
    // A reply or a peer can tell of a row before the watch tells what came before it.
    const auto known = m_rows.find(cell);
    if (known != m_rows.end() && known->second.revision > row.revision)
        return;
    const bool isNew = known == m_rows.end() || known->second.revision != row.revision;
    m_rows[cell] = row;
    if (isNew) {
        m_parts.log.write("cell-owner", "cell", cell, "owner", row.owner.name, "token", row.revision);
        m_vacantSince.erase(cell);
        m_claimSentAt.erase(cell);
    }
    const auto held = m_held.find(cell);
    if (held != m_held.end() && held->second != row.revision) {
        m_held.erase(held);
        m_parts.onLost(cell);
    }
    if (isNew && row.owner.isSameLife(m_parts.self) && !m_isLeaving) {
        m_held[cell] = row.revision;
        m_gainedAt = m_parts.timers.clock().now();
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

void CellDirectory::introduce(const std::string& peer)
{
    for (const auto& [cell, revision] : m_held)
        m_parts.peers.send(peer, ownerService, Internal::packFields(cell, revision, encodeEntry(m_rows[cell].owner)));
}

void CellDirectory::handleAnnounced(const std::string& from, absl::string_view bytes)
{
    uint32_t cell = 0;
    CellRow row;
    std::string owner;
    if (!Internal::unpackFields(bytes, "cell owner", cell, row.revision, owner) || cell >= mostCells) {
        m_parts.log.write("peer-message-malformed", "from", from, "service", ownerService);
        return;
    }
    const auto record = decodeEntry(owner);
    if (!record || record->isSameLife(m_parts.self))
        return;
    row.owner = *record;
    const auto known = m_rows.find(cell);
    const bool isNews = known == m_rows.end() || known->second.revision < row.revision;
    applyRow(cell, row);
    if (isNews)
        announce(cell);
}

void CellDirectory::noteRenewal(bool isReached)
{
    if (isReached && m_failedRenewals > 0)
        m_parts.log.write("lease-regained", "failures", m_failedRenewals);
    m_failedRenewals = isReached ? 0 : m_failedRenewals + 1;
    if (m_failedRenewals >= failuresToOffer)
        offerCells();
}

void CellDirectory::offerCells()
{
    // The store may turn this machine away and serve the others. Whoever can write the row has the cell.
    if (m_parts.timers.clock().now() - m_gainedAt < shortestTerm)
        return;
    const std::vector<std::string> linked = linkedBySize();
    if (linked.empty())
        return;
    const std::string& peer = linked[m_nextOffer++ % linked.size()];
    for (const auto& [cell, revision] : m_held) {
        m_parts.log.write("cell-offered", "cell", cell, "token", revision, "to", peer);
        m_parts.peers.send(peer, offerService, Internal::packFields(cell, revision));
    }
}

std::vector<std::string> CellDirectory::linkedBySize() const
{
    std::vector<const EntryRecord*> linked;
    for (const auto& [name, entry] : m_entries) {
        if (name != m_parts.self.name && m_parts.isLinked(name))
            linked.push_back(&entry);
    }
    const auto sizeOf = [this](const EntryRecord* entry) {
        const double share = entry->processors / (entry->isFarFromStore ? 2 : 1);
        return share / static_cast<double>(1 + ownedBy(entry->name));
    };
    std::stable_sort(linked.begin(), linked.end(),
        [&](const EntryRecord* a, const EntryRecord* b) { return sizeOf(a) > sizeOf(b); });
    std::vector<std::string> names;
    names.reserve(linked.size());
    for (const EntryRecord* entry : linked)
        names.push_back(entry->name);
    return names;
}

void CellDirectory::moveToLarger()
{
    const Instant now = m_parts.timers.clock().now();
    if (m_held.empty() || now - m_gainedAt < termOnSmallEntry || m_failedRenewals > 0)
        return;
    double largest = 0;
    for (const auto& [name, entry] : m_entries) {
        if (m_parts.isLinked(name) && ownedBy(name) == 0)
            largest = std::max(largest, entry.processors);
    }
    if (m_parts.self.processors * 2 < largest && m_parts.onMove)
        m_parts.onMove();
}

void CellDirectory::handleOffer(const std::string& from, absl::string_view bytes)
{
    uint32_t cell = 0;
    uint64_t revision = 0;
    if (!Internal::unpackFields(bytes, "cell offer", cell, revision) || cell >= mostCells) {
        m_parts.log.write("peer-message-malformed", "from", from, "service", offerService);
        return;
    }
    const auto row = m_rows.find(cell);
    const bool isCurrent = row != m_rows.end() && row->second.revision == revision;
    if (isCurrent && isFresh() && m_failedRenewals == 0 && !isIsolated() && !m_isLeaving && !m_takesNoMore)
        claim(cell);
}

void CellDirectory::handleSynced() { reconsider(); }

void CellDirectory::reconsider()
{
    if (!m_mirror.isFilled() || m_isLeaving)
        return;
    checkIsolation();
    moveToLarger();
    if (m_cellCount == 0)
        return considerCellCount();
    for (uint32_t cell = 0; cell < cellCount(); ++cell)
        consider(cell);
}

void CellDirectory::considerLater()
{
    if (m_isConsiderSet)
        return;
    m_isConsiderSet = true;
    m_parts.timers.after(considerInterval, [this] {
        m_isConsiderSet = false;
        reconsider();
    });
}

void CellDirectory::considerCellCount()
{
    considerLater();
    // One entry counts; others step in when it does not get there.
    const size_t rank = std::min(rankFor(0), maxRank);
    const absl::Duration delay
        = firstClaimDelay + (rank == 0 ? absl::ZeroDuration() : countPatience + rankDelay * static_cast<double>(rank));
    const Instant now = m_parts.timers.clock().now();
    if (m_isCounting || now - m_startedAt < delay || now - m_countedAt < countInterval || !m_isRecordStored)
        return;
    m_isCounting = true;
    m_parts.countWorkers([this](std::optional<size_t> workers) {
        const Instant countedAt = m_parts.timers.clock().now();
        m_isCounting = false;
        m_countedAt = countedAt;
        if (!workers || *workers == 0 || m_cellCount != 0)
            return;
        // Workers register one after the other when all machines start together.
        const bool isStable = *workers == m_countedWorkers || countedAt - m_startedAt > countPatience;
        m_countedWorkers = *workers;
        if (isStable)
            writeCellCount(*workers);
    });
}

void CellDirectory::writeCellCount(size_t workers)
{
    const double perCell = std::max(1.0, m_parts.self.processors * workersPerProcessor);
    const double wanted = std::ceil(static_cast<double>(workers) / perCell);
    const auto cells = static_cast<uint32_t>(std::clamp(wanted, 1.0, static_cast<double>(mostCells)));
    m_parts.log.write("cells-planned", "cells", cells, "workers", workers, "processors", m_parts.self.processors);
    Transaction transaction;
    transaction.conditions.push_back({ cellCountKey, 0 });
    transaction.writes.push_back({ cellCountKey, Internal::packFields(cells), 0 });
    m_parts.store.transact(std::move(transaction), [this](const TransactionReply& reply) {
        // The watch tells the number, whoever wrote it.
        if (reply.status == TransactionStatus::Unknown || reply.status == TransactionStatus::NotApplied)
            considerLater();
    });
}

size_t CellDirectory::ownedBy(const std::string& entry) const
{
    return static_cast<size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [&](const auto& row) { return row.second.owner.name == entry; }));
}

size_t CellDirectory::rankFor(uint32_t cell) const
{
    double largest = 0;
    for (const auto& [name, entry] : m_entries)
        largest = std::max(largest, entry.processors);
    const auto order = [this, cell, largest](const EntryRecord& entry) {
        const std::string text = absl::StrCat(cell, "/", entry.name);
        const bool isSmall = entry.processors * 2 < largest;
        return std::make_tuple(ownedBy(entry.name), isSmall, entry.isFarFromStore, -entry.processors,
            XXH3_64bits(text.data(), text.size()));
    };
    const auto own = order(m_parts.self);
    return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [&](const auto& item) { return item.first != m_parts.self.name && order(item.second) < own; }));
}

std::optional<absl::Duration> CellDirectory::claimDelay(uint32_t cell, const CellRow* row) const
{
    const absl::Duration byRank = rankDelay * static_cast<double>(std::min(rankFor(cell), maxRank));
    if (!row || row->owner.name.empty()) {
        if (row && row->successor == m_parts.self.name)
            return absl::ZeroDuration();
        return byRank + (row && !row->successor.empty() ? rankDelay * 2 : absl::ZeroDuration());
    }
    if (row->owner.name == m_parts.self.name)
        return absl::ZeroDuration();
    const auto entry = m_entries.find(row->owner.name);
    const auto lost = m_parts.lostSince(row->owner.name);
    if (lost)
        return std::max(absl::ZeroDuration(), lostLinkPatience - (m_parts.timers.clock().now() - *lost)) + byRank;
    if (entry != m_entries.end() && entry->second.isSameLife(row->owner))
        return std::nullopt;
    if (entry == m_entries.end() && m_parts.isLinked(row->owner.name))
        return linkedPatience + byRank;
    return byRank;
}

void CellDirectory::consider(uint32_t cell)
{
    if (m_held.contains(cell))
        return;
    const Instant now = m_parts.timers.clock().now();
    const auto row = m_rows.find(cell);
    const auto delay = claimDelay(cell, row == m_rows.end() ? nullptr : &row->second);
    if (!delay) {
        m_vacantSince.erase(cell);
        return;
    }
    considerLater();
    const Instant since = m_vacantSince.try_emplace(cell, now).first->second;
    const bool isHealthy = m_isRecordStored && now - m_mirror.lastContact() < contactLimit && isFresh();
    const bool isFirst = row == m_rows.end();
    const bool isEarly = now - since < *delay || (isFirst && now - m_startedAt < firstClaimDelay);
    if (isEarly || !isHealthy || isIsolated() || m_takesNoMore)
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
    const std::string value = Internal::packFields(encodeEntry(m_parts.self), std::string());
    transaction.writes.push_back({ rowKey(cell), value, 0 });
    m_parts.store.transact(std::move(transaction), [this, cell, value](const TransactionReply& reply) {
        // The watch tells it too, which settles a lost reply; this is sooner.
        if (reply.status == TransactionStatus::Applied) {
            const StoreEntry entry { rowKey(cell), value, reply.revision };
            handleChange(entry.key, &entry);
        }
    });
}

void CellDirectory::checkIsolation()
{
    const Instant now = m_parts.timers.clock().now();
    if (!isIsolated() || m_held.empty()) {
        m_isolatedSince = absl::InfiniteDuration();
        return;
    }
    if (m_isolatedSince == absl::InfiniteDuration())
        m_isolatedSince = now;
    considerLater();
    if (now - m_isolatedSince < isolationPatience)
        return;
    m_isolatedSince = absl::InfiniteDuration();
    const auto held = m_held;
    for (const auto& [cell, revision] : held)
        resign(cell, "isolated");
}

void CellDirectory::resign(uint32_t cell, const std::string& why)
{
    const auto held = m_held.find(cell);
    if (held == m_held.end())
        return;
    const uint64_t revision = held->second;
    const std::vector<std::string> linked = linkedBySize();
    const std::string successor = linked.empty() ? std::string() : linked.front();
    m_parts.log.write("cell-resigned", "cell", cell, "token", revision, "why", why, "successor", successor);
    Transaction transaction;
    transaction.conditions.push_back({ rowKey(cell), revision });
    transaction.writes.push_back({ rowKey(cell), Internal::packFields(std::string(), successor), 0 });
    m_parts.store.transact(std::move(transaction), [this, cell](const TransactionReply& reply) {
        if (reply.status != TransactionStatus::Applied)
            m_parts.log.write("cell-resign-failed", "cell", cell);
    });
    m_held.erase(held);
    m_parts.onLost(cell);
}

void CellDirectory::drop(uint32_t cell)
{
    m_held.erase(cell);
    considerLater();
}

void CellDirectory::leave()
{
    m_isLeaving = true;
    if (m_lease != 0)
        m_parts.store.endLease(m_lease);
}

} // namespace cicada
