#pragma once

/** \file
 * The cells of one entry. Connects the cell directory, the cells owned by this entry, the advisor slots and the job
 * gateway, and maintains the peer links that they need. It is a complete entry except for the I/O.
 */

#include "AccountLimitService.h"
#include "AccountMetrics.h"
#include "Advisor.h"
#include "Cell.h"
#include "CellDirectory.h"
#include "CellRoomFinder.h"
#include "JobGateway.h"

#include "absl/container/btree_map.h"

#include <functional>
#include <memory>

namespace cicada {

/** Used on the decision thread only. */
class CellHost {
public:
    struct Parts {
        ObservedStore& store;
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
        /** The client account in force, or null; empty where there are no accounts. */
        std::function<const ClientAccount*(const std::string& account)> accountOf = nullptr;
        /** Whether the configuration has been read. Empty for always. */
        std::function<bool()> areAccountsKnown = nullptr;
    };

    /** Everything in `parts` must outlive the host. */
    explicit CellHost(Parts parts);
    ~CellHost();

    void start();
    JobGateway& gateway() { return m_gateway; }
    /** The configuration in force has changed. */
    void handleConfigurationChange();
    /** Applies to cells that are gained from now on. */
    void setBounds(const CellBounds& bounds) { m_parts.bounds = bounds; }
    /** Calls back on each link that came up or went down, after the host has handled the change. */
    void onLinkChange(std::function<void(const std::string& peer, bool isUp)> function);
    /** Begins a planned stop: cells are handed over as soon as another entry can take them. */
    void stop() { m_directory.beginStop(); }
    /** Gives up all cells and removes the entry's record. */
    void leave() { m_directory.leave(); }
    const AccountLimitService& accountLimits() const { return m_accountLimits; }
    size_t ownedCells() const { return m_cells.size(); }
    /** The cell if this entry owns it, else null. */
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
    void publishAccountUse();
    AccountLimitService::Parts accountLimitParts();

    /** The directory's rows, as the accounts' limits need them. */
    class Owners final : public CellOwners {
    public:
        explicit Owners(const CellDirectory& directory)
            : m_directory(directory)
        {
        }

        uint32_t cellCount() const override { return m_directory.cellCount(); }
        uint64_t knownRevision() const override { return m_directory.knownRevision(); }
        CellOwner ownerOf(uint32_t cell) const override;

    private:
        const CellDirectory& m_directory;
    };

    Parts m_parts;
    AdvisorSlots m_advisorSlots;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    absl::btree_map<uint32_t, OwnedCell> m_cells;
    /** Lost cells that are destroyed after the current call, as the call may come from the cell itself. */
    std::vector<OwnedCell> m_closingCells;
    AccountMetrics m_accountMetrics;
    std::function<void(const std::string&, bool)> m_onLinkChange;
    CellDirectory m_directory;
    JobGateway m_gateway;
    CellRoomFinder m_rooms;
    Owners m_owners;
    AccountLimitService m_accountLimits;
};

} // namespace cicada
