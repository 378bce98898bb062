#include "CellHost.h"

namespace cicada {

namespace {

    constexpr absl::Duration accountMetricsInterval = absl::Seconds(1);

} // namespace

CellHost::CellHost(Parts parts)
    : m_parts(std::move(parts))
    , m_advisorSlots(m_parts.self.name, m_parts.advisor, m_parts.peers, m_parts.timers, m_parts.log)
    , m_accountMetrics(m_parts.metrics)
    , m_directory(directoryParts())
    , m_gateway({ m_directory, m_parts.peers, m_parts.timers, m_parts.log, m_parts.metrics, m_parts.self.name,
          [this](uint32_t cell) { return cellOf(cell); },
          [this](const std::string& peer) { return m_parts.peers.isLinked(peer); } })
    , m_rooms(
          { m_directory, m_parts.peers, m_parts.timers, m_parts.log, [this](uint32_t cell) { return cellOf(cell); } })
    , m_owners(m_directory)
    , m_accountLimits(accountLimitParts())
{
    m_advisorSlots.setSlotFilter([this](const std::string& entry) {
        return m_cells.contains(cellOfKey(entry, m_directory.cellCount())) && !m_directory.isStopping(entry);
    });
    m_parts.peers.onLinkChange([this](const std::string& peer, bool isUp) {
        if (isUp)
            m_directory.announceOwnedCells(peer);
        else
            m_advisorSlots.handleLinkLost(peer);
        m_directory.evaluateCells();
        m_gateway.resendOpenRequests();
        if (m_onLinkChange)
            m_onLinkChange(peer, isUp);
    });
}

CellHost::~CellHost()
{
    *m_alive = false;
    m_cells.clear();
    m_closingCells.clear();
}

CellDirectory::Parts CellHost::directoryParts()
{
    return { m_parts.store, m_parts.timers, m_parts.log, m_parts.self, m_parts.peers,
        [this](const std::string& peer) { return m_parts.peers.isLinked(peer); },
        [this](const std::string& peer) { return m_parts.peers.lostSince(peer); }, m_parts.countWorkers,
        [this] { updatePeerLinks(); },
        [this](uint32_t) {
            updatePeerLinks();
            m_gateway.resendOpenRequests();
        },
        [this](uint32_t cell, const std::string& row, uint64_t revision) { handleCellGained(cell, row, revision); },
        [this](uint32_t cell) { handleCellLost(cell); },
        [this] {
            for (auto& [number, owned] : m_cells)
                owned.cell->handleStoreRecovered();
        } };
}

AccountLimitService::Parts CellHost::accountLimitParts()
{
    return { m_owners, m_parts.peers, m_parts.timers, m_parts.log, m_parts.self.name, m_parts.accountOf,
        [this](uint32_t cell) -> const AccountDemand* { return cellOf(cell); },
        [this](uint32_t cell) {
            if (Cell* owned = cellOf(cell))
                owned->handleLimitsChange();
        } };
}

CellOwner CellHost::Owners::ownerOf(uint32_t cell) const
{
    const CellRow* row = m_directory.ownerOf(cell);
    return { row ? row->owner.name : std::string(), m_directory.rowRevision(cell) };
}

void CellHost::start()
{
    m_directory.start();
    if (m_parts.accountOf)
        publishAccountUse();
}

void CellHost::handleConfigurationChange()
{
    for (auto& [number, owned] : m_cells)
        owned.cell->handleLimitsChange();
}

void CellHost::publishAccountUse()
{
    std::vector<const AccountUsage*> cells;
    for (const auto& [number, owned] : m_cells)
        cells.push_back(&owned.cell->accountUsage());
    m_accountMetrics.publish(cells);
    m_parts.timers.after(accountMetricsInterval, [this, alive = m_alive] {
        if (*alive)
            publishAccountUse();
    });
}

void CellHost::onLinkChange(std::function<void(const std::string& peer, bool isUp)> function)
{
    m_onLinkChange = std::move(function);
}

Cell* CellHost::cellOf(uint32_t cell)
{
    const auto found = m_cells.find(cell);
    return found == m_cells.end() ? nullptr : found->second.cell.get();
}

void CellHost::handleCellGained(uint32_t number, const std::string& row, uint64_t revision)
{
    handleCellLost(number);
    m_accountLimits.handleCellGained(number, revision);
    OwnedCell& owned = m_cells[number];
    owned.roster = m_parts.makeRoster();
    owned.cell
        = std::make_unique<Cell>(Cell::Parts { m_parts.store, m_parts.orders, *owned.roster, m_advisorSlots, m_rooms,
                                     m_parts.timers, m_parts.log, m_parts.metrics, m_parts.bounds, m_parts.policyOf,
                                     [this, number](const std::string&) {
                                         m_directory.forgetOwnership(number);
                                         handleCellLost(number);
                                     },
                                     m_accountLimits.quotaOf(number), m_parts.accountOf, m_parts.areAccountsKnown,
                                     [this, number] { m_accountLimits.handleMoreWanted(number); } },
            CellTerm { number, m_directory.cellCount(), row, revision });
    owned.cell->start();
    m_parts.metrics.gauge("cicada_cells_owned", static_cast<double>(m_cells.size()));
    m_gateway.resendOpenRequests();
}

void CellHost::handleCellLost(uint32_t number)
{
    const auto found = m_cells.find(number);
    if (found == m_cells.end())
        return;
    // This call may come from the cell itself, so the cell is destroyed afterwards.
    m_closingCells.push_back(std::move(found->second));
    m_cells.erase(found);
    m_accountLimits.handleCellLost(number);
    m_parts.metrics.gauge("cicada_cells_owned", static_cast<double>(m_cells.size()));
    m_parts.timers.after(absl::ZeroDuration(), [this, alive = m_alive] {
        if (!*alive)
            return;
        m_closingCells.clear();
        m_gateway.resendOpenRequests();
    });
}

void CellHost::updatePeerLinks()
{
    absl::btree_map<std::string, PeerAddress> wanted;
    for (const EntryRecord& entry : m_directory.neighbours())
        wanted[entry.name] = { entry.name, entry.peerAddress, entry.region, false };
    for (uint32_t cell = 0; cell < m_directory.cellCount(); ++cell) {
        const CellRow* row = m_directory.ownerOf(cell);
        if (row && row->owner.name != m_parts.self.name && !wanted.contains(row->owner.name))
            wanted[row->owner.name] = { row->owner.name, row->owner.peerAddress, row->owner.region, true };
    }
    std::vector<PeerAddress> addresses;
    for (const auto& [name, address] : wanted)
        addresses.push_back(address);
    m_parts.peers.setPeers(addresses);
}

} // namespace cicada
