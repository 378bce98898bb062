#include "AccountLimits.h"

#include "CellDirectory.h"
#include "Job.h"

#include <algorithm>
#include <array>

namespace cicada {

namespace {

    using Field = int64_t Resources::*;
    constexpr std::array<Field, 3> allFields { &Resources::cpuMillis, &Resources::memoryMiB, &Resources::accelerators };

    constexpr uint32_t digestFactor = 16777619;

    template <typename Function> Resources eachField(Function function)
    {
        Resources result;
        for (const Field field : allFields)
            result.*field = function(field);
        return result;
    }

    Resources atLeastZero(const Resources& r)
    {
        return eachField([&](Field f) { return std::max<int64_t>(0, r.*f); });
    }

    Resources larger(const Resources& a, const Resources& b)
    {
        return eachField([&](Field f) { return std::max(a.*f, b.*f); });
    }

    Resources smaller(const Resources& a, const Resources& b)
    {
        return eachField([&](Field f) { return std::min(a.*f, b.*f); });
    }

    bool isZero(const Resources& r) { return r.cpuMillis == 0 && r.memoryMiB == 0 && r.accelerators == 0; }

    bool isSame(const Resources& a, const Resources& b) { return fits(a, b) && fits(b, a); }

    /** The amount in the fields that the limit names, else 0. */
    Resources limitedFields(const Resources& amount, const Resources& limit)
    {
        return eachField([&](Field f) { return limit.*f > 0 ? amount.*f : 0; });
    }

    bool isLowered(int64_t limit, int64_t former) { return limit > 0 && (former == 0 || limit < former); }

    /** Of an amount that is held, what counts under a new limit. Other cells may hold the rest of a lowered limit's
     * pool, so nothing is left there. */
    Resources heldUnder(const Resources& limit, const Resources& former, const Resources& held)
    {
        return eachField(
            [&](Field f) { return limit.*f == 0 || isLowered(limit.*f, former.*f) ? int64_t { 0 } : held.*f; });
    }

    uint32_t digestOf(const Resources& limit)
    {
        uint32_t digest = 0;
        for (const Field field : allFields) {
            const auto amount = static_cast<uint64_t>(limit.*field);
            digest = (digest ^ static_cast<uint32_t>(amount)) * digestFactor;
            digest = (digest ^ static_cast<uint32_t>(amount >> 32)) * digestFactor;
        }
        return digest;
    }

} // namespace

Resources fixedPart(const Resources& limit, uint32_t cells)
{
    return cells <= 1 ? limit : eachField([&](Field f) { return limit.*f / 2 / cells; });
}

Resources poolOf(const Resources& limit, uint32_t cells)
{
    const Resources fixed = fixedPart(limit, cells);
    return eachField([&](Field f) { return limit.*f - fixed.*f * std::max(1u, cells); });
}

uint32_t holderCellOf(const std::string& account, uint32_t cells) { return cellOfKey(account, cells); }

CellAccountLimits::CellAccountLimits(uint32_t cell, uint32_t cells, uint64_t token, AccountLookup accountOf)
    : m_cell(cell)
    , m_cells(cells)
    , m_token(token)
    , m_accountOf(std::move(accountOf))
{
}

Resources CellAccountLimits::limitHere(const ClientAccount& account) const
{
    Resources right = fixedPart(account.limit, m_cells);
    const auto found = m_accounts.find(account.name);
    if (found != m_accounts.end())
        right = right + heldUnder(account.limit, found->second.limit, found->second.held);
    return eachField([&](Field f) { return account.limit.*f == 0 ? unlimitedAmount : right.*f; });
}

void CellAccountLimits::setHolder(uint32_t holderCell, uint64_t holderToken)
{
    Holder& holder = m_holders[holderCell];
    holder.token = std::max(holder.token, holderToken);
}

void CellAccountLimits::handleQuestion(const AccountQuestion& question)
{
    const auto holder = m_holders.find(question.holderCell);
    // The holder asks again, so a question of one that the rows don't show yet is ignored.
    if (holder == m_holders.end() || holder->second.token != question.holderToken)
        return;
    holder->second.isAsked = true;
}

std::vector<AccountReport> CellAccountLimits::takeReports(absl::Span<const AccountNeed> needs, Instant now)
{
    planAll(needs, now);
    if (now - m_intervalStart >= reportInterval) {
        m_intervalStart = now;
        m_namedInInterval = 0;
    }
    std::vector<AccountReport> reports = wholeReports(now);
    addNews(reports, now);
    return reports;
}

void CellAccountLimits::planAll(absl::Span<const AccountNeed> needs, Instant now)
{
    absl::btree_map<std::string, const AccountNeed*> byName;
    for (const AccountNeed& need : needs) {
        byName[need.account] = &need;
        m_accounts.try_emplace(need.account);
    }
    absl::erase_if(m_accounts, [&](const auto& item) { return !byName.contains(item.first) && isDone(item.second); });
    for (auto& [name, account] : m_accounts) {
        const auto need = byName.find(name);
        plan(account, need == byName.end() ? AccountNeed { name, {}, {}, false } : *need->second, now);
    }
}

bool CellAccountLimits::isDone(const Account& account) const
{
    return !hasNews(account) && isZero(account.held) && isZero(account.counted) && isZero(account.recentNeed);
}

void CellAccountLimits::plan(Account& account, const AccountNeed& need, Instant now)
{
    const ClientAccount* inForce = m_accountOf(need.account);
    // The runs of an account that was removed go on. Without its limit, the fixed part is not known, either.
    if (!inForce) {
        account.kept = account.held;
        account.excess = atLeastZero(need.allocated - account.held);
        account.wanted = {};
        return;
    }
    const Resources& limit = inForce->limit;
    account.held = heldUnder(limit, account.limit, account.held);
    account.limit = limit;
    const Resources fixed = fixedPart(limit, m_cells);
    const Resources used = limitedFields(atLeastZero(need.allocated - fixed), limit);
    const Resources whole = limitedFields(atLeastZero(need.allocated + need.wanted - fixed), limit);
    const Resources useful = need.isIndivisible ? whole : larger(used, smaller(whole, poolOf(limit, m_cells)));
    updateRecentNeed(account, useful, now);
    const bool isOfUse = !need.isIndivisible || fits(useful, account.held);
    account.kept = smaller(account.held, isOfUse ? account.recentNeed : used);
    account.excess = atLeastZero(used - account.kept);
    account.wanted = atLeastZero(useful - account.kept);
    account.isIndivisible = need.isIndivisible;
}

void CellAccountLimits::updateRecentNeed(Account& account, const Resources& need, Instant now)
{
    const bool isOver = now - account.recentNeedAt >= keepTime;
    if (isOver || fits(account.recentNeed, need)) {
        account.recentNeed = need;
        account.recentNeedAt = now;
    }
    account.recentNeed = larger(account.recentNeed, need);
}

bool CellAccountLimits::hasNews(const Account& account) const
{
    return !account.isAnswered || !isZero(account.wanted) || !isSame(account.kept + account.excess, account.counted);
}

bool CellAccountLimits::isUrgent(const Account& account) const { return !fits(account.wanted, account.lastWanted); }

bool CellAccountLimits::maySend(const Holder& holder, bool isUrgent, Instant now) const
{
    if (holder.token == 0)
        return false;
    const bool isEarly = isUrgent && !holder.isOpen;
    return now - holder.sentAt >= (isEarly ? urgentInterval : reportInterval);
}

std::vector<AccountReport> CellAccountLimits::wholeReports(Instant now)
{
    absl::btree_map<uint32_t, std::vector<std::string>> holdings;
    for (const auto& [name, account] : m_accounts) {
        const uint32_t holderCell = holderCellOf(name, m_cells);
        if (!hasNews(account) && isZero(account.counted))
            continue;
        holdings[holderCell].push_back(name);
    }
    std::vector<AccountReport> reports;
    for (auto& [holderCell, holder] : m_holders) {
        const bool isKnown = holder.answeredToken == holder.token;
        const bool hasReason = holder.isAsked || (!isKnown && holdings.contains(holderCell));
        // A new holder lends nothing until all cells have reported, so it doesn't wait for the interval.
        if (!hasReason || !maySend(holder, !isKnown, now))
            continue;
        AccountReport report = open(holderCell, true, now);
        for (const std::string& listed : holdings[holderCell])
            name(report, listed, m_accounts[listed]);
        reports.push_back(std::move(report));
    }
    return reports;
}

void CellAccountLimits::addNews(std::vector<AccountReport>& reports, Instant now)
{
    std::vector<std::string> due;
    const auto addDue = [&](auto from, auto to) {
        for (auto it = from; it != to; ++it) {
            const Holder& holder = holderOf(it->first);
            const bool isKnown = holder.token != 0 && holder.answeredToken == holder.token;
            if (isKnown && hasNews(it->second) && maySend(holder, isUrgent(it->second), now))
                due.push_back(it->first);
        }
    };
    const auto middle = m_accounts.upper_bound(m_lastNamed);
    addDue(middle, m_accounts.end());
    addDue(m_accounts.begin(), middle);
    absl::btree_map<uint32_t, AccountReport> opened;
    for (const std::string& listed : due) {
        if (m_namedInInterval >= maxAccountsPerInterval)
            break;
        const uint32_t holderCell = holderCellOf(listed, m_cells);
        if (!opened.contains(holderCell))
            opened[holderCell] = open(holderCell, false, now);
        name(opened[holderCell], listed, m_accounts[listed]);
        ++m_namedInInterval;
        m_lastNamed = listed;
    }
    for (auto& [holderCell, report] : opened)
        reports.push_back(std::move(report));
}

AccountReport CellAccountLimits::open(uint32_t holderCell, bool isWhole, Instant now)
{
    Holder& holder = m_holders[holderCell];
    holder.number = ++m_lastNumber;
    holder.reportedToken = holder.token;
    holder.isOpen = true;
    holder.isAsked = false;
    holder.sentAt = now;
    return { m_cell, m_token, holderCell, holder.token, holder.number, isWhole, {} };
}

void CellAccountLimits::name(AccountReport& report, const std::string& name, Account& account)
{
    account.held = account.kept;
    account.reportedHeld = account.kept;
    account.counted = account.kept + account.excess;
    account.lastWanted = account.wanted;
    account.askedUnder = digestOf(account.limit);
    account.reportNumber = report.number;
    account.isAnswered = false;
    report.accounts.push_back(
        { name, account.askedUnder, account.kept, account.excess, account.wanted, account.isIndivisible });
}

bool CellAccountLimits::handleGrant(const AccountGrant& grant)
{
    const auto found = m_holders.find(grant.holderCell);
    if (found == m_holders.end() || grant.cell != m_cell || grant.cellToken != m_token)
        return false;
    Holder& holder = found->second;
    const bool isAnswer = holder.isOpen && grant.number == holder.number && grant.holderToken == holder.reportedToken;
    if (!isAnswer)
        return false;
    holder.isOpen = false;
    holder.answeredToken = holder.reportedToken;
    for (auto& [name, account] : m_accounts) {
        if (account.reportNumber == grant.number)
            take(name, account, grant);
    }
    return !grant.loans.empty();
}

void CellAccountLimits::take(const std::string& name, Account& account, const AccountGrant& grant)
{
    account.isAnswered = true;
    const auto loan = std::find_if(
        grant.loans.begin(), grant.loans.end(), [&](const AccountLoan& item) { return item.account == name; });
    if (loan == grant.loans.end())
        return;
    account.counted = larger(account.counted, account.reportedHeld + loan->amount);
    account.lastWanted = atLeastZero(account.lastWanted - loan->amount);
    // What was lent under another limit isn't used, and the next report gives it back.
    const ClientAccount* inForce = m_accountOf(name);
    if (inForce && digestOf(inForce->limit) == account.askedUnder && isSame(inForce->limit, account.limit))
        account.held = account.held + loan->amount;
}

AccountHolder::AccountHolder(uint32_t cell, uint32_t cells, uint64_t token, AccountLookup accountOf)
    : m_cell(cell)
    , m_cells(cells)
    , m_token(token)
    , m_accountOf(std::move(accountOf))
    , m_states(cells)
{
}

void AccountHolder::setOwners(absl::Span<const uint64_t> tokens)
{
    for (size_t cell = 0; cell < std::min(tokens.size(), m_states.size()); ++cell)
        m_states[cell].ownerToken = std::max(m_states[cell].ownerToken, tokens[cell]);
    m_knowsOwners = true;
}

std::optional<AccountGrant> AccountHolder::handleReport(const AccountReport& report)
{
    if (!isAccepted(report))
        return std::nullopt;
    count(report);
    AccountGrant grant { report.cell, report.cellToken, m_cell, m_token, report.number, {} };
    for (const AccountHolding& holding : report.accounts) {
        const Resources amount = lend(report, holding);
        if (!isZero(amount))
            grant.loans.push_back({ holding.account, amount });
    }
    return grant;
}

bool AccountHolder::isAccepted(const AccountReport& report) const
{
    if (!m_knowsOwners || report.holderCell != m_cell || report.holderToken != m_token || report.cell >= m_cells)
        return false;
    const Cell& cell = m_states[report.cell];
    return report.cellToken >= cell.ownerToken
        && std::make_pair(report.cellToken, report.number) > std::make_pair(cell.reportToken, cell.reportNumber);
}

void AccountHolder::count(const AccountReport& report)
{
    Cell& cell = m_states[report.cell];
    cell.reportToken = report.cellToken;
    cell.reportNumber = report.number;
    cell.hasReported = cell.hasReported || report.isWhole;
    if (report.isWhole) {
        for (auto& [account, cells] : m_counted)
            cells.erase(report.cell);
    }
    for (const AccountHolding& holding : report.accounts)
        m_counted[holding.account][report.cell] = holding.held + holding.excess;
    for (const AccountHolding& holding : report.accounts) {
        if (isZero(holding.held + holding.excess))
            m_counted[holding.account].erase(report.cell);
    }
    absl::erase_if(m_counted, [](const auto& item) { return item.second.empty(); });
}

Resources AccountHolder::lend(const AccountReport& report, const AccountHolding& holding)
{
    if (isZero(holding.wanted))
        return {};
    m_isWanted = true;
    const ClientAccount* account = m_accountOf(holding.account);
    if (!mayLend() || !account || holding.limitDigest != digestOf(account->limit))
        return {};
    const Resources wanted = limitedFields(holding.wanted, account->limit);
    const Resources amount = smaller(wanted, atLeastZero(freeOf(*account) + holding.excess));
    const bool isUseless
        = std::any_of(allFields.begin(), allFields.end(), [&](Field f) { return wanted.*f > 0 && amount.*f == 0; });
    if (isZero(amount) || isUseless || (holding.isIndivisible && !isSame(amount, wanted)))
        return {};
    Resources& counted = m_counted[holding.account][report.cell];
    counted = larger(counted, holding.held + amount);
    return amount;
}

Resources AccountHolder::freeOf(const ClientAccount& account) const
{
    Resources free = poolOf(account.limit, m_cells);
    const auto found = m_counted.find(account.name);
    if (found != m_counted.end()) {
        for (const auto& [cell, counted] : found->second)
            free = free - counted;
    }
    return free;
}

bool AccountHolder::mayLend() const
{
    return std::all_of(m_states.begin(), m_states.end(), [](const Cell& cell) { return cell.hasReported; });
}

std::vector<uint32_t> AccountHolder::cellsToAsk() const
{
    std::vector<uint32_t> cells;
    if (!m_isWanted && m_counted.empty())
        return cells;
    for (uint32_t cell = 0; cell < m_cells; ++cell) {
        if (!m_states[cell].hasReported || m_states[cell].reportToken < m_states[cell].ownerToken)
            cells.push_back(cell);
    }
    return cells;
}

} // namespace cicada
