#include "AccountLimitService.h"

#include <algorithm>

namespace cicada {

AccountLimitService::AccountLimitService(Parts parts)
    : m_parts(std::move(parts))
{
    receive(accountQuestionService, decodeAccountQuestion);
    receive(accountReportService, decodeAccountReport);
    receive(accountGrantService, decodeAccountGrant);
}

AccountLimitService::~AccountLimitService() { *m_alive = false; }

template <typename Message>
void AccountLimitService::receive(absl::string_view service, Result<Message> (*decode)(absl::string_view bytes))
{
    m_parts.peers.handle(service, [this, service, decode](absl::string_view from, absl::string_view bytes) {
        const Result<Message> message = decode(bytes);
        if (!message)
            return m_parts.log.write("peer-message-malformed", "from", from, "service", service);
        handle(std::string(from), message.value());
    });
}

template <typename Message>
void AccountLimitService::send(const std::string& entry, absl::string_view service, const Message& message)
{
    if (entry == m_parts.self)
        return later(absl::ZeroDuration(), [this, message] { handle(m_parts.self, message); });
    m_parts.peers.send(entry, service, encode(message));
}

void AccountLimitService::later(absl::Duration delay, absl::AnyInvocable<void()> function)
{
    m_parts.timers.after(delay, [alive = m_alive, function = std::move(function)]() mutable {
        if (*alive)
            function();
    });
}

bool AccountLimitService::isActive() const
{
    return m_parts.accountOf && m_parts.demandOf && m_parts.owners.cellCount() > 1;
}

void AccountLimitService::handleCellGained(uint32_t cell, uint64_t token)
{
    if (!m_parts.accountOf)
        return;
    const uint32_t cells = m_parts.owners.cellCount();
    m_cells[cell] = { std::make_shared<CellAccountLimits>(cell, cells, token, m_parts.accountOf),
        std::make_unique<AccountHolder>(cell, cells, token, m_parts.accountOf) };
    scheduleTick();
}

void AccountLimitService::handleCellLost(uint32_t cell) { m_cells.erase(cell); }

std::shared_ptr<const AccountQuota> AccountLimitService::quotaOf(uint32_t cell) const
{
    const auto found = m_cells.find(cell);
    return found == m_cells.end() ? nullptr : found->second.limits;
}

void AccountLimitService::handleMoreWanted(uint32_t cell)
{
    const auto found = m_cells.find(cell);
    if (found == m_cells.end() || found->second.isPollDue)
        return;
    found->second.isPollDue = true;
    const Instant next = found->second.polledAt + CellAccountLimits::urgentInterval;
    const absl::Duration delay = std::max(absl::ZeroDuration(), next - m_parts.timers.clock().now());
    later(delay, [this, cell] { poll(cell); });
}

void AccountLimitService::scheduleTick()
{
    if (m_isTicking || !isActive())
        return;
    m_isTicking = true;
    later(CellAccountLimits::reportInterval, [this] {
        m_isTicking = false;
        tick();
    });
}

void AccountLimitService::tick()
{
    std::vector<uint32_t> cells;
    for (const auto& [cell, owned] : m_cells)
        cells.push_back(cell);
    for (const uint32_t cell : cells) {
        poll(cell);
        OwnedCell& owned = m_cells[cell];
        updateHolder(*owned.holder);
        ask(cell, owned);
    }
    if (!m_cells.empty())
        scheduleTick();
}

void AccountLimitService::poll(uint32_t cell)
{
    const auto found = m_cells.find(cell);
    if (found == m_cells.end() || !isActive())
        return;
    OwnedCell& owned = found->second;
    owned.isPollDue = false;
    owned.polledAt = m_parts.timers.clock().now();
    const AccountDemand* demand = m_parts.demandOf(cell);
    const bool knowsRows = m_parts.owners.knownRevision() >= owned.limits->token();
    if (!demand || !demand->isCounted() || !knowsRows)
        return;
    for (uint32_t holder = 0; holder < m_parts.owners.cellCount(); ++holder)
        owned.limits->setHolder(holder, m_parts.owners.ownerOf(holder).token);
    for (const AccountReport& report : owned.limits->takeReports(demand->needs(), owned.polledAt)) {
        const std::string entry = m_parts.owners.ownerOf(report.holderCell).entry;
        if (!entry.empty())
            send(entry, accountReportService, report);
    }
}

void AccountLimitService::updateHolder(AccountHolder& holder)
{
    if (m_parts.owners.knownRevision() < holder.token())
        return;
    std::vector<uint64_t> tokens;
    for (uint32_t cell = 0; cell < m_parts.owners.cellCount(); ++cell)
        tokens.push_back(m_parts.owners.ownerOf(cell).token);
    holder.setOwners(tokens);
}

void AccountLimitService::ask(uint32_t holderCell, OwnedCell& owned)
{
    const Instant now = m_parts.timers.clock().now();
    if (now - owned.askedAt < CellAccountLimits::urgentInterval)
        return;
    owned.askedAt = now;
    const AccountHolder& holder = *owned.holder;
    for (const uint32_t cell : holder.cellsToAsk()) {
        const std::string entry = m_parts.owners.ownerOf(cell).entry;
        if (!entry.empty())
            send(entry, accountQuestionService, AccountQuestion { cell, holderCell, holder.token() });
    }
}

void AccountLimitService::handle(const std::string&, const AccountQuestion& question)
{
    const auto found = m_cells.find(question.cell);
    if (found == m_cells.end())
        return;
    found->second.limits->handleQuestion(question);
    handleMoreWanted(question.cell);
}

void AccountLimitService::handle(const std::string& from, const AccountReport& report)
{
    const auto found = m_cells.find(report.holderCell);
    if (found == m_cells.end())
        return;
    AccountHolder& holder = *found->second.holder;
    updateHolder(holder);
    const bool wasLending = holder.mayLend();
    const auto grant = holder.handleReport(report);
    if (!grant)
        return;
    if (!wasLending && holder.mayLend())
        m_parts.log.write("account-pool-open", "cell", report.holderCell, "token", holder.token());
    for (const AccountLoan& loan : grant->loans)
        m_parts.log.write("account-lent", "account", loan.account, "to", report.cell, "cpuMillis",
            loan.amount.cpuMillis, "memoryMiB", loan.amount.memoryMiB, "accelerators", loan.amount.accelerators);
    send(from, accountGrantService, *grant);
    if (!holder.mayLend())
        ask(report.holderCell, found->second);
}

void AccountLimitService::handle(const std::string&, const AccountGrant& grant)
{
    const auto found = m_cells.find(grant.cell);
    if (found != m_cells.end() && found->second.limits->handleGrant(grant) && m_parts.onMoreQuota)
        m_parts.onMoreQuota(grant.cell);
}

} // namespace cicada
