#include "AccountLimitsWorld.h"

#include <algorithm>

namespace cicada::test {

namespace {

    constexpr absl::Duration step = absl::Milliseconds(5);
    constexpr int64_t millisPerProcessor = 1000;
    constexpr const char* accountName = "large";

} // namespace

struct AccountLimitsWorld::Entry final : PeerBus, CellOwners {
    /** An owner's knowledge of its cell; a former owner sees its own and earlier runs only. */
    struct Demand final : AccountDemand {
        bool isCounted() const override { return true; }
        std::vector<AccountNeed> needs() const override
        {
            const CellState& state = world->m_cells[cell];
            const int64_t used = std::count_if(
                state.runs.begin(), state.runs.end(), [this](const Run& run) { return run.token <= token; });
            const int64_t wanted = std::max<int64_t>(0, state.wanted - used);
            if (used == 0 && wanted == 0)
                return {};
            return { { accountName, { used * millisPerProcessor, 0, 0 }, { wanted * millisPerProcessor, 0, 0 },
                state.isGang } };
        }

        AccountLimitsWorld* world = nullptr;
        uint32_t cell = 0;
        uint64_t token = 0;
    };

    Entry(AccountLimitsWorld& owner, size_t number)
        : world(owner)
        , index(number)
        , timers(owner.m_clock)
        , log("test", -1)
        , rows(owner.m_cells.size())
    {
    }

    void handle(absl::string_view service, Handler handler) override
    {
        handlers[std::string(service)] = std::move(handler);
    }
    bool send(absl::string_view peer, absl::string_view service, std::string bytes) override;
    void setPeers(absl::Span<const PeerAddress>) override { }
    std::vector<std::string> peerNames() const override { return {}; }
    PeerTraffic traffic() const override { return {}; }

    uint32_t cellCount() const override { return static_cast<uint32_t>(rows.size()); }
    uint64_t knownRevision() const override { return known; }
    CellOwner ownerOf(uint32_t cell) const override { return rows[cell]; }

    AccountLimitsWorld& world;
    const size_t index;
    TimerQueue timers;
    EventLog log;
    std::map<std::string, Handler> handlers;
    std::vector<CellOwner> rows;
    uint64_t known = 0;
    bool isPaused = false;
    bool isCut = false;
    bool isStale = false;
    ClientAccount account { accountName, 1, {} };
    /** The cells that the entry believes to own. */
    std::map<uint32_t, Demand> demands;
    std::unique_ptr<AccountLimitService> service;
};

bool AccountLimitsWorld::Entry::send(absl::string_view peer, absl::string_view service, std::string bytes)
{
    ++world.m_messages;
    const auto to = static_cast<size_t>(std::stoul(std::string(peer)));
    if (isCut || world.m_entries[to]->isCut || std::bernoulli_distribution(world.m_loss)(world.m_random))
        return true;
    const absl::Duration delay = world.m_maxDelay * std::uniform_real_distribution<double>(0, 1)(world.m_random);
    world.m_links.emplace(world.m_clock.now() + delay, Message { index, to, std::string(service), std::move(bytes) });
    return true;
}

AccountLimitsWorld::AccountLimitsWorld(uint32_t entries, uint32_t cells, int64_t limit, uint64_t seed)
    : m_random(seed)
    , m_cells(cells)
{
    for (size_t i = 0; i < entries; ++i) {
        m_entries.push_back(std::make_unique<Entry>(*this, i));
        Entry& entry = *m_entries.back();
        entry.service = std::make_unique<AccountLimitService>(
            AccountLimitService::Parts { entry, entry, entry.timers, entry.log, std::to_string(i),
                [&entry](const std::string& name) { return name == accountName ? &entry.account : nullptr; },
                [&entry](uint32_t cell) {
                    const auto found = entry.demands.find(cell);
                    return found == entry.demands.end() ? nullptr : &found->second;
                },
                nullptr });
    }
    setLimits(limit);
    for (uint32_t cell = 0; cell < cells; ++cell)
        take(cell, cell % entries);
}

AccountLimitsWorld::~AccountLimitsWorld() = default;

void AccountLimitsWorld::setLimit(size_t entry, int64_t limit)
{
    m_entries[entry]->account.limit = { limit * 1000, 0, 0 };
}

void AccountLimitsWorld::setPaused(size_t entry, bool isPaused) { m_entries[entry]->isPaused = isPaused; }

void AccountLimitsWorld::setCut(size_t entry, bool isCut) { m_entries[entry]->isCut = isCut; }

void AccountLimitsWorld::setStale(size_t entry, bool isStale) { m_entries[entry]->isStale = isStale; }

void AccountLimitsWorld::setLimits(int64_t limit)
{
    for (size_t i = 0; i < m_entries.size(); ++i)
        setLimit(i, limit);
}

void AccountLimitsWorld::setFaults(double loss, absl::Duration maxDelay)
{
    m_loss = loss;
    m_maxDelay = maxDelay;
}

CellOwner AccountLimitsWorld::rowOf(uint32_t cell) const
{
    const CellState& state = m_cells[cell];
    return { state.owner ? std::to_string(*state.owner) : std::string(), state.token };
}

void AccountLimitsWorld::take(uint32_t cell, std::optional<size_t> entry)
{
    CellState& state = m_cells[cell];
    state.owner = entry;
    state.token = ++m_revision;
    if (!entry)
        return;
    Entry& owner = *m_entries[*entry];
    owner.rows[cell] = rowOf(cell);
    Entry::Demand& demand = owner.demands[cell];
    demand.world = this;
    demand.cell = cell;
    demand.token = state.token;
    owner.service->handleCellGained(cell, state.token);
}

void AccountLimitsWorld::learnRows(Entry& entry)
{
    if (entry.isStale)
        return;
    for (uint32_t cell = 0; cell < m_cells.size(); ++cell) {
        entry.rows[cell] = rowOf(cell);
        const bool isLost = m_cells[cell].owner != entry.index && entry.demands.erase(cell) > 0;
        if (isLost)
            entry.service->handleCellLost(cell);
    }
    entry.known = m_revision;
}

void AccountLimitsWorld::run(absl::Duration by)
{
    for (const Instant end = m_clock.now() + by; m_clock.now() < end; m_clock.advance(step)) {
        deliver();
        for (uint32_t cell = 0; cell < m_cells.size(); ++cell)
            endRuns(cell);
        for (const auto& entry : m_entries) {
            if (entry->isPaused)
                continue;
            learnRows(*entry);
            entry->timers.runDue();
            for (const auto& [cell, demand] : entry->demands)
                startRuns(entry->index, cell, demand.token);
        }
    }
}

void AccountLimitsWorld::deliver()
{
    std::vector<Message> due;
    for (auto it = m_links.begin(); it != m_links.end() && it->first <= m_clock.now();) {
        if (m_entries[it->second.to]->isPaused) {
            ++it;
            continue;
        }
        due.push_back(std::move(it->second));
        it = m_links.erase(it);
    }
    for (const Message& message : due)
        m_entries[message.to]->handlers[message.service](std::to_string(message.from), message.bytes);
}

void AccountLimitsWorld::endRuns(uint32_t cell)
{
    CellState& state = m_cells[cell];
    while (runs(cell) > state.wanted) {
        const size_t ended = std::uniform_int_distribution<size_t>(0, state.runs.size() - 1)(m_random);
        state.runs.erase(state.runs.begin() + static_cast<ptrdiff_t>(ended));
    }
}

void AccountLimitsWorld::startRuns(size_t entry, uint32_t cell, uint64_t token)
{
    CellState& state = m_cells[cell];
    const bool isFenced = state.token != token;
    const auto quota = m_entries[entry]->service->quotaOf(cell);
    if (isFenced || runs(cell) >= state.wanted)
        return;
    const int64_t right = quota->limitHere(m_entries[entry]->account).cpuMillis / millisPerProcessor;
    if (state.isGang && right < state.wanted)
        return;
    while (runs(cell) < std::min(state.wanted, right)) {
        state.runs.push_back({ token, highestLimit() });
        checkStart();
    }
    if (runs(cell) < state.wanted)
        m_entries[entry]->service->handleMoreWanted(cell);
}

int64_t AccountLimitsWorld::highestLimit() const
{
    int64_t highest = 0;
    for (const auto& entry : m_entries)
        highest = std::max(highest, entry->account.limit.cpuMillis / millisPerProcessor);
    return highest;
}

void AccountLimitsWorld::checkStart()
{
    int64_t highest = 0;
    for (const CellState& state : m_cells) {
        for (const Run& run : state.runs)
            highest = std::max(highest, run.highestLimit);
    }
    m_excessStarts += allRuns() > highest ? 1 : 0;
}

int64_t AccountLimitsWorld::runs(uint32_t cell) const { return static_cast<int64_t>(m_cells[cell].runs.size()); }

int64_t AccountLimitsWorld::allRuns() const
{
    int64_t all = 0;
    for (uint32_t cell = 0; cell < m_cells.size(); ++cell)
        all += runs(cell);
    return all;
}

uint32_t AccountLimitsWorld::holderCell() const
{
    return holderCellOf(accountName, static_cast<uint32_t>(m_cells.size()));
}

} // namespace cicada::test
