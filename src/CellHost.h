#pragma once

/** \file
 * The cells of one entry: joins the directory, the cells that are owned here, the advice lanes and the gateway, and
 * keeps the links that they need. It is the whole of an entry but for its I/O.
 */

#include "Advisor.h"
#include "Cell.h"
#include "CellDirectory.h"
#include "JobGateway.h"

#include "absl/container/btree_map.h"

#include <functional>
#include <memory>

namespace cicada {

/** Used on the decision thread only. */
class CellHost {
public:
    struct Parts {
        TransactionalStore& store;
        WorkerOrders& orders;
        Advisor& advisor;
        PeerLinks& peers;
        TimerQueue& timers;
        EventLog& log;
        Metrics& metrics;
        EntryRecord self;
        CellBounds bounds;
        std::function<std::unique_ptr<WorkerRoster>()> makeRoster;
        std::function<void(std::function<void(std::optional<size_t>)>)> countWorkers;
        std::function<const QueuePolicy*(const std::string& queue)> policyOf;
    };

    /** Everything in `parts` must outlive the host. */
    explicit CellHost(Parts parts);
    ~CellHost();

    void start();
    JobGateway& gateway() { return m_gateway; }
    /** Counts for cells that are taken from now on. */
    void setBounds(const CellBounds& bounds) { m_parts.bounds = bounds; }
    /** Calls back on each link that came or went, after the host has taken it in. */
    void onLinkChange(std::function<void(const std::string& peer, bool isUp)> function);
    /** Begins a planned stop: cells go to others as soon as there is one that can take them. */
    void stop() { m_directory.beginStop(); }
    /** Lets all cells and the entry's record go. */
    void leave() { m_directory.leave(); }
    size_t ownedCells() const { return m_cells.size(); }
    /** The cell if it is owned here, else null. */
    Cell* cellOf(uint32_t cell);

private:
    struct OwnedCell {
        std::unique_ptr<WorkerRoster> roster;
        std::unique_ptr<Cell> cell;
    };

    CellDirectory::Parts directoryParts();
    void handleCellGained(uint32_t number, const std::string& row, uint64_t revision);
    void handleCellLost(uint32_t number);
    void updatePeerLinks();

    Parts m_parts;
    AdvisorSlots m_advisorSlots;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    absl::btree_map<uint32_t, OwnedCell> m_cells;
    /** Cells that were lost within a call of their own. */
    std::vector<OwnedCell> m_closingCells;
    std::function<void(const std::string&, bool)> m_onLinkChange;
    CellDirectory m_directory;
    JobGateway m_gateway;
};

} // namespace cicada
