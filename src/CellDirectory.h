#pragma once

/** \file
 * Tracks which entry owns each cell. An entry becomes the owner by a compare-and-swap on the cell's row, whose revision
 * is the fencing token, so tokens are unique and increase. When the owner's record is gone, its link is down, or it has
 * resigned, another entry claims the row. Two entries that both act as the owner of a cell can do no harm, since the
 * tokens fence the older one; the rules here only decide how fast ownership moves and how rarely it moves needlessly.
 */

#include "CellCount.h"
#include "EntryPresence.h"
#include "OwnerHistory.h"
#include "PeerBus.h"
#include "PrefixMirror.h"

#include "absl/container/btree_map.h"

#include <functional>

namespace cicada {

/** The cell, of `cells` cells, to which a job's id or a rack's name belongs. */
uint32_t cellOfKey(absl::string_view key, uint32_t cells);

/** A cell's row. */
struct CellRow {
    /** Has an empty name when the owner has resigned. */
    EntryRecord owner;
    /** The successor preferred by the owner that resigned; empty for none. */
    std::string successor;
    uint64_t revision = 0;
};

/** Maintains this entry's record, watches the rows of all cells and claims cells. Used on the decision thread only. */
class CellDirectory {
public:
    struct Parts {
        ObservedStore& store;
        TimerQueue& timers;
        EventLog& log;
        EntryRecord self;
        PeerBus& peers;
        std::function<bool(const std::string& peer)> isLinked;
        /** When the link to a peer was lost; std::nullopt unless the link was up before and is down now. */
        std::function<std::optional<Instant>(const std::string& peer)> lostSince;
        /** Calls back with the number of workers that the platform lists, or std::nullopt when it can't be read. */
        std::function<void(std::function<void(std::optional<size_t>)>)> countWorkers;
        /** The set of entries changed. */
        std::function<void()> onEntries;
        /** The owner of a cell changed. */
        std::function<void(uint32_t cell)> onOwner;
        /** This entry now owns the cell, under this row and revision. */
        std::function<void(uint32_t cell, const std::string& row, uint64_t revision)> onGained;
        /** This entry no longer owns the cell: its row has changed, or the entry resigned. */
        std::function<void(uint32_t cell)> onLost;
        /** The store responds again after failures. */
        std::function<void()> onStoreRecovered;
    };

    explicit CellDirectory(Parts parts);

    void start();
    /** Checks all cells for whether to claim, offer or resign them; called after a link came up or went down. */
    void evaluateCells();
    /** Gives up a cell, so that another entry can claim it at once, the successor before all others. */
    void resign(uint32_t cell, const std::string& why, const std::string& successor);
    /** Tells a newly linked peer which cells this entry owns. */
    void announceOwnedCells(const std::string& peer);
    /** Records that this entry can no longer act for the cell under its row. */
    void forgetOwnership(uint32_t cell);
    /** Stops claiming cells, and hands over the owned ones as soon as there is a linked entry that is not stopping. */
    void beginStop();
    /** Gives up all cells, even without a successor, and removes the entry's record. */
    void leave();

    /** The number of cells; 0 until it is known. */
    uint32_t cellCount() const { return m_count.number(); }
    /** The cell of a job. The number of cells must be known. */
    uint32_t cellOf(absl::string_view job) const;
    /** The entries to which this one keeps links besides the owners of cells: all others as long as there are few
     * entries. */
    std::vector<EntryRecord> neighbours() const;
    /** The owner of the cell, or null when there is no known owner. */
    const CellRow* ownerOf(uint32_t cell) const;
    /** The revision of the cell's row, with or without an owner; 0 when there is no known row. */
    uint64_t rowRevision(uint32_t cell) const;
    /** All changes of rows up to this revision of the store are known, and perhaps later ones. */
    uint64_t knownRevision() const { return m_mirror.knownRevision(); }
    std::vector<EntryRecord> entries() const;
    /** Whether the entry has announced a planned stop. */
    bool isStopping(const std::string& entry) const;
    bool isOwned(uint32_t cell) const { return m_ownedCells.contains(cell); }
    /** Whether this entry's lease was renewed recently enough that no other entry can have claimed its cells. */
    bool isFresh() const { return m_presence.isFresh(); }
    /** Whether this entry has links to less than half of its neighbours. */
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
    /** The number of other cells that this entry is claiming and may soon own. */
    size_t claimsBesides(uint32_t cell) const;
    void claim(uint32_t cell);
    void checkIsolation();
    void scheduleEvaluation();
    size_t ownedBy(const std::string& entry) const;
    void applyRow(uint32_t cell, const CellRow& row);
    void announce(uint32_t cell);
    void handleAnnouncement(const std::string& from, absl::string_view bytes);
    void handleContact(bool isReached);

    // CellMoves.cpp: cells that move to another entry while this one is running.
    void offerCells();
    void handleOffer(const std::string& from, absl::string_view bytes);
    /** The linked entries that are not stopping, those with the most processors per owned cell first; `given` are cells
     * that they will own besides. */
    std::vector<std::string> linkedByCapacity(const absl::btree_map<std::string, size_t>& given = {}) const;
    bool isStopping(const EntryRecord& entry) const;
    void announceStop(const std::string& peer);
    void handleStop(const std::string& from, absl::string_view bytes);
    void handOverCells();
    void moveToBetterEntry();
    /** The free entry to which the cell should move by choice; empty for none. */
    std::string betterEntryFor(uint32_t cell) const;
    void resignAll(const std::string& why);

    static constexpr const char* offerService = "cell.offer";
    static constexpr const char* stopService = "cell.stop";

    Parts m_parts;
    PrefixMirror m_mirror;
    EntryPresence m_presence;
    CellCount m_count;
    OwnerHistory m_history;
    absl::btree_map<std::string, EntryRecord> m_entries;
    absl::btree_map<uint32_t, CellRow> m_rows;
    /** The cells that this entry owns, with the revision of each one's row. */
    absl::btree_map<uint32_t, uint64_t> m_ownedCells;
    absl::btree_map<uint32_t, Instant> m_vacantSince;
    absl::btree_map<uint32_t, Instant> m_claimSentAt;
    /** The incarnations of entries that have announced a planned stop, by name. */
    absl::btree_map<std::string, std::string> m_stopping;
    size_t m_nextOffer = 0;
    Instant m_lastGainedAt = absl::ZeroDuration() - absl::Hours(1);
    Instant m_lastMoveAt = absl::ZeroDuration() - absl::Hours(1);
    bool m_isStopping = false;
    bool m_isLeaving = false;
    bool m_isEvaluationScheduled = false;
    Instant m_startedAt = absl::ZeroDuration();
    Instant m_isolatedSince = absl::InfiniteDuration();
};

} // namespace cicada
