/** \file
 * The part of CellDirectory that moves cells away from an owner that is still running: when it can't reach the store,
 * during a planned stop, and when a better entry is free.
 */

#include "CellDirectory.h"

#include "Pack.h"

#include <algorithm>

namespace cicada {

namespace {

    /** After this many renewals in a row during which the store answered nothing, an owner offers its cells to peers,
     * which may still reach the store. */
    constexpr int unansweredToOffer = 2;
    /** The minimum time between gaining a cell and offering it; two owners that both lose replies would otherwise pass
     * cells back and forth. */
    constexpr absl::Duration minTerm = absl::Milliseconds(1500);
    /** Time for the row of a cell that moved to show its new owner, before another cell moves. */
    constexpr absl::Duration movePause = absl::Seconds(1);

    /** An entry's processors, halved when the store is far away: every write of the owner then takes longer. */
    double effectiveProcessors(const EntryRecord& entry) { return entry.processors / (entry.isFarFromStore ? 2 : 1); }

} // namespace

void CellDirectory::offerCells()
{
    // The store may be unreachable from this machine only. The peer that succeeds in writing the row becomes the owner.
    const Instant now = m_parts.timers.clock().now();
    if (m_presence.unansweredRenewals() < unansweredToOffer || now - m_lastGainedAt < minTerm)
        return;
    const std::vector<std::string> linked = linkedByCapacity();
    if (linked.empty())
        return;
    // Each cell is work of its own, and a peer may not reach the store either.
    for (const auto& [cell, revision] : m_ownedCells) {
        const std::string& peer = linked[m_nextOffer++ % linked.size()];
        m_parts.log.write("cell-offered", "cell", cell, "token", revision, "to", peer, "unansweredMs",
            absl::ToInt64Milliseconds(m_presence.sinceAnswer()));
        m_parts.peers.send(peer, offerService, Internal::packFields(cell, revision));
    }
}

void CellDirectory::handleOffer(const std::string& from, absl::string_view bytes)
{
    uint32_t cell = 0;
    uint64_t revision = 0;
    if (!Internal::unpackFields(bytes, "cell offer", cell, revision) || cell >= CellCount::maxCells) {
        m_parts.log.write("peer-message-malformed", "from", from, "service", offerService);
        return;
    }
    const auto row = m_rows.find(cell);
    const bool isCurrent = row != m_rows.end() && row->second.revision == revision;
    const bool isHealthy = isFresh() && m_presence.failures() == 0 && !isIsolated();
    if (isCurrent && isHealthy && !m_isStopping && !m_isLeaving)
        claim(cell);
}

bool CellDirectory::isStopping(const EntryRecord& entry) const
{
    const auto found = m_stopping.find(entry.name);
    return found != m_stopping.end() && found->second == entry.incarnation;
}

bool CellDirectory::isStopping(const std::string& entry) const
{
    const auto found = m_entries.find(entry);
    return found != m_entries.end() && isStopping(found->second);
}

std::vector<std::string> CellDirectory::linkedByCapacity(const absl::btree_map<std::string, size_t>& given) const
{
    std::vector<const EntryRecord*> linked;
    for (const auto& [name, entry] : m_entries) {
        if (name != m_presence.self().name && m_parts.isLinked(name) && !isStopping(entry))
            linked.push_back(&entry);
    }
    const auto processorsPerCell = [&](const EntryRecord* entry) {
        const auto more = given.find(entry->name);
        const size_t cells = ownedBy(entry->name) + (more == given.end() ? 0 : more->second);
        return effectiveProcessors(*entry) / static_cast<double>(1 + cells);
    };
    std::stable_sort(linked.begin(), linked.end(),
        [&](const EntryRecord* a, const EntryRecord* b) { return processorsPerCell(a) > processorsPerCell(b); });
    std::vector<std::string> names;
    names.reserve(linked.size());
    for (const EntryRecord* entry : linked)
        names.push_back(entry->name);
    return names;
}

void CellDirectory::beginStop()
{
    m_isStopping = true;
    for (const std::string& peer : m_parts.peers.peerNames())
        announceStop(peer);
    handOverCells();
}

void CellDirectory::announceStop(const std::string& peer)
{
    m_parts.peers.send(peer, stopService, Internal::packFields(m_presence.self().incarnation));
}

void CellDirectory::handleStop(const std::string& from, absl::string_view bytes)
{
    std::string incarnation;
    if (!Internal::unpackFields(bytes, "entry stop", incarnation)) {
        m_parts.log.write("peer-message-malformed", "from", from, "service", stopService);
        return;
    }
    m_parts.log.write("entry-stopping", "name", from);
    m_stopping[from] = incarnation;
}

void CellDirectory::handOverCells()
{
    if (!m_isStopping || m_ownedCells.empty())
        return;
    // With no entry to take them over, the cells stay here instead of being left without an owner.
    if (linkedByCapacity().empty())
        return scheduleEvaluation();
    resignAll("planned-stop");
}

void CellDirectory::moveToBetterEntry()
{
    const Instant now = m_parts.timers.clock().now();
    if (m_presence.failures() > 0 || now - m_lastMoveAt < movePause)
        return;
    for (const auto& [cell, revision] : m_ownedCells) {
        const std::string target = betterEntryFor(cell);
        if (target.empty())
            continue;
        m_lastMoveAt = now;
        return resign(cell, "moves-to-a-better-entry", target);
    }
}

std::string CellDirectory::betterEntryFor(uint32_t cell) const
{
    const Instant now = m_parts.timers.clock().now();
    if (!m_history.mayMove(cell, now))
        return {};
    const EntryRecord* best = nullptr;
    for (const auto& [name, entry] : m_entries) {
        const bool isFree = m_parts.isLinked(name) && ownedBy(name) == 0 && !isStopping(entry);
        if (!isFree || m_history.hasGivenUp(cell, entry, now))
            continue;
        if (!best || effectiveProcessors(entry) > effectiveProcessors(*best))
            best = &entry;
    }
    // An owner of several cells divides its processors among them.
    const double own = effectiveProcessors(m_presence.self()) / static_cast<double>(m_ownedCells.size());
    const bool isBetter = best && own * 2 <= effectiveProcessors(*best);
    return isBetter ? best->name : std::string();
}

void CellDirectory::resignAll(const std::string& why)
{
    absl::btree_map<std::string, size_t> given;
    const auto owned = m_ownedCells;
    for (const auto& [cell, revision] : owned) {
        const std::vector<std::string> linked = linkedByCapacity(given);
        const std::string successor = linked.empty() ? std::string() : linked.front();
        resign(cell, why, successor);
        ++given[successor];
    }
}

} // namespace cicada
