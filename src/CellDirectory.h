#pragma once

/** \file
 * Who owns each cell. An owner is a compare-and-swap on the cell's row, whose revision is the fencing token, so a
 * token never repeats and always rises. When the owner's record is gone, its link is down, or it has resigned, another
 * entry takes the row. Two entries that both believe to own a cell can do no harm, so the rules here only decide how
 * fast and how calmly a cell changes hands.
 */

#include "CellCount.h"
#include "EntryPresence.h"
#include "PeerBus.h"
#include "PrefixMirror.h"

#include "absl/container/btree_map.h"

#include <functional>

namespace cicada {

/** Of `cells` cells, the one to which a job's id or a rack's name belongs. */
uint32_t cellOfKey(absl::string_view key, uint32_t cells);

/** A cell's row. */
struct CellRow {
    /** No name when the owner has resigned. */
    EntryRecord owner;
    /** Whom the owner that resigned would have as the next one. */
    std::string successor;
    uint64_t revision = 0;
};

/** Keeps this entry's record, follows the rows, and takes cells. Used on the decision thread only. */
class CellDirectory {
public:
    struct Parts {
        TransactionalStore& store;
        TimerQueue& timers;
        EventLog& log;
        EntryRecord self;
        PeerBus& peers;
        std::function<bool(const std::string& peer)> isLinked;
        /** Since when the link to a peer is down that was up. */
        std::function<std::optional<Instant>(const std::string& peer)> lostSince;
        /** Calls back with how many workers the platform lists, or with nothing when that can't be read. */
        std::function<void(std::function<void(std::optional<size_t>)>)> countWorkers;
        /** The entries changed. */
        std::function<void()> onEntries;
        /** The owner of a cell changed. */
        std::function<void(uint32_t cell)> onOwner;
        /** This entry owns the cell from now on, under this row and revision. */
        std::function<void(uint32_t cell, const std::string& row, uint64_t revision)> onGained;
        /** The cell's row has changed. */
        std::function<void(uint32_t cell)> onLost;
        /** The store answers again after it did not. */
        std::function<void()> onStoreRecovered;
    };

    explicit CellDirectory(Parts parts);

    void start();
    /** Considers the rows again, after a link came or went. */
    void evaluateCells();
    /** Gives up a cell, for another entry to take at once. */
    void resign(uint32_t cell, const std::string& why);
    /** Tells a peer that has just been linked who owns the cells here. */
    void announceOwnedCells(const std::string& peer);
    /** Says that this entry can't act for the cell under its row any more. */
    void forgetOwnership(uint32_t cell);
    /** Takes no cells any more, and hands those that it owns to others as soon as there is one that is not stopping. */
    void beginStop();
    /** Gives up all cells, also to nobody, and lets the entry's record go. */
    void leave();

    /** How many cells there are; 0 until that is known. */
    uint32_t cellCount() const { return m_count.number(); }
    /** The cell of a job. Requires that the number of cells is known. */
    uint32_t cellOf(absl::string_view job) const;
    /** The entries that this one keeps links to besides the owners of cells: all of them as long as they are few. */
    std::vector<EntryRecord> neighbours() const;
    /** The owner of the cell, or null when it has none that is known. */
    const CellRow* ownerOf(uint32_t cell) const;
    std::vector<EntryRecord> entries() const;
    bool isOwned(uint32_t cell) const { return m_ownedCells.contains(cell); }
    /** Whether this entry's lease was renewed recently enough that nobody can have taken its cells. */
    bool isFresh() const { return m_presence.isFresh(); }
    /** Whether this entry has links to less than half of the others. */
    bool isIsolated() const;

private:
    void handleChange(const std::string& key, const StoreEntry* entry);
    void handleSynced();
    void handleEntry(const std::string& name, const StoreEntry* entry);
    void handleRow(uint32_t cell, const StoreEntry& entry);
    std::string rowKey(uint32_t cell) const;
    void evaluateCell(uint32_t cell);
    std::optional<absl::Duration> claimDelay(uint32_t cell, const CellRow* row) const;
    size_t rankFor(uint32_t cell) const;
    void claim(uint32_t cell);
    void checkIsolation();
    void scheduleEvaluation();
    size_t ownedBy(const std::string& entry) const;
    void applyRow(uint32_t cell, const CellRow& row);
    void announce(uint32_t cell);
    void handleAnnouncement(const std::string& from, absl::string_view bytes);
    void handleContact(bool isReached);

    // CellMoves.cpp: cells that go to another entry before this one is gone.
    void offerCells();
    void handleOffer(const std::string& from, absl::string_view bytes);
    /** The linked entries that are not stopping, those with the most processor to spare first. */
    std::vector<std::string> linkedByCapacity() const;
    bool isStopping(const EntryRecord& entry) const;
    void announceStop(const std::string& peer);
    void handleStop(const std::string& from, absl::string_view bytes);
    void handOverCells();
    void moveToLargerEntry();
    void resignAll(const std::string& why);

    static constexpr const char* offerService = "cell.offer";
    static constexpr const char* stopService = "cell.stop";

    Parts m_parts;
    PrefixMirror m_mirror;
    EntryPresence m_presence;
    CellCount m_count;
    absl::btree_map<std::string, EntryRecord> m_entries;
    absl::btree_map<uint32_t, CellRow> m_rows;
    /** The cells that this entry owns, with the revisions of their rows. */
    absl::btree_map<uint32_t, uint64_t> m_ownedCells;
    absl::btree_map<uint32_t, Instant> m_vacantSince;
    absl::btree_map<uint32_t, Instant> m_claimSentAt;
    /** The lives of entries that have said that they are stopping, by name. */
    absl::btree_map<std::string, std::string> m_stopping;
    size_t m_nextOffer = 0;
    Instant m_lastGainedAt = absl::ZeroDuration() - absl::Hours(1);
    bool m_isStopping = false;
    bool m_isLeaving = false;
    bool m_isEvaluationScheduled = false;
    Instant m_startedAt = absl::ZeroDuration();
    Instant m_isolatedSince = absl::InfiniteDuration();
};

} // namespace cicada
