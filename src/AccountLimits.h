#pragma once

/** \file
 * Splits the limit of each client account over several cells without clocks. Each cell may use a fixed part: half of
 * the limit divided by the number of cells. The rest is a pool. One cell's owner, the holder, lends from it to the
 * cells on their reports; spec/AccountLimits.m checks the rules. What a cell holds stays counted until the cell gives
 * it back, through any change of owners.
 *
 * Owners are known by the revisions of their rows (tokens). All rows are in one store with one sequence of revisions.
 * An owner must know all rows as of its own revision before it reports or accepts reports. Otherwise a new owner could
 * borrow from a former holder what the new holder has lent to another cell.
 */

#include "AccountLimitMessages.h"
#include "AccountQuota.h"
#include "Clock.h"

#include "absl/container/btree_map.h"
#include "absl/types/span.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cicada {

/** Returns the account in force with this name, or null. */
using AccountLookup = std::function<const ClientAccount*(const std::string& account)>;

/** What one account uses and wants in a cell. */
struct AccountNeed {
    std::string account;
    Resources allocated;
    /** What the waiting steps would use beyond that. */
    Resources wanted;
    /** Less than all of `wanted` is of no use, as when a gang is to start next. */
    bool isIndivisible = false;
};

/** A cell's use of capacity by account. */
class AccountDemand {
public:
    virtual ~AccountDemand() = default;
    /** Whether the runs of all stored records have been counted; until then the cell reports nothing. */
    virtual bool isCounted() const = 0;
    /** The accounts that use or want something. */
    virtual std::vector<AccountNeed> needs() const = 0;
};

/** The part of the limit that each of the cells may always use, rounded down; the whole limit if there is one cell. */
Resources fixedPart(const Resources& limit, uint32_t cells);
/** What is left of the limit besides the fixed parts. */
Resources poolOf(const Resources& limit, uint32_t cells);
/** The cell whose owner lends from the account's pool. */
uint32_t holderCellOf(const std::string& account, uint32_t cells);

/** One cell's part of the accounts' limits, for one term of its owner. Used on the decision thread only. */
class CellAccountLimits final : public AccountQuota {
public:
    CellAccountLimits(uint32_t cell, uint32_t cells, uint64_t token, AccountLookup accountOf);

    uint64_t token() const { return m_token; }
    Resources limitHere(const ClientAccount& account) const override;
    /** Takes note of the holder in the rows, which must be known as of this owner's token. */
    void setHolder(uint32_t holderCell, uint64_t holderToken);
    /** The holder of this term asks for a report, even if this cell has nothing to report. */
    void handleQuestion(const AccountQuestion& question);
    /** The reports that are due. The cell no longer holds what they don't name. `needs` must include all runs. */
    std::vector<AccountReport> takeReports(absl::Span<const AccountNeed> needs, Instant now);
    /** Returns whether the cell may use more now. */
    bool handleGrant(const AccountGrant& grant);

    static constexpr absl::Duration reportInterval = absl::Milliseconds(250);
    /** The least time between reports to one holder when a cell needs more at once. */
    static constexpr absl::Duration urgentInterval = absl::Milliseconds(50);
    /** A cell gives back what it has not needed for this long, so that short runs don't move the same amounts to and
     * fro. */
    static constexpr absl::Duration keepTime = absl::Milliseconds(500);
    /** Accounts in the reports of one interval, which bounds their cost; the others follow in the next interval.
     * Reports to a new holder name all accounts. */
    static constexpr size_t maxAccountsPerInterval = 10;

private:
    struct Account {
        /** The limit that `held` was computed under. */
        Resources limit;
        /** What was lent to this owner. Use of more than that and the fixed part is reported, but not renewed. */
        Resources held;
        /** What the holder counts for this cell, unless a report is still unanswered. */
        Resources counted;
        /** The most that was needed beyond the fixed part in the last keepTime. */
        Resources recentNeed;
        Instant recentNeedAt = -absl::InfiniteDuration();
        /** What the next report would say. */
        Resources kept;
        Resources excess;
        Resources wanted;
        bool isIndivisible = false;
        Resources reportedHeld;
        /** What the newest report asked for and wasn't granted. */
        Resources lastWanted;
        /** Identifies the limit under which it asked. */
        uint32_t askedUnder = 0;
        /** The number of the report that last named it, and whether that report was answered. */
        uint64_t reportNumber = 0;
        bool isAnswered = true;
    };
    struct Holder {
        uint64_t token = 0;
        /** The highest token that this owner has reported to. */
        uint64_t reportedToken = 0;
        /** The token of the holder that last answered. */
        uint64_t answeredToken = 0;
        uint64_t number = 0;
        bool isOpen = false;
        bool isAsked = false;
        Instant sentAt = -absl::InfiniteDuration();
    };

    Holder& holderOf(const std::string& account) { return m_holders[holderCellOf(account, m_cells)]; }
    void planAll(absl::Span<const AccountNeed> needs, Instant now);
    void plan(Account& account, const AccountNeed& need, Instant now);
    bool isDone(const Account& account) const;
    void updateRecentNeed(Account& account, const Resources& need, Instant now);
    bool hasNews(const Account& account) const;
    bool isUrgent(const Account& account) const;
    std::vector<AccountReport> wholeReports(Instant now);
    void addNews(std::vector<AccountReport>& reports, Instant now);
    bool maySend(const Holder& holder, bool isUrgent, Instant now) const;
    AccountReport open(uint32_t holderCell, bool isWhole, Instant now);
    void name(AccountReport& report, const std::string& name, Account& account);
    void take(const std::string& name, Account& account, const AccountGrant& grant);

    const uint32_t m_cell;
    const uint32_t m_cells;
    const uint64_t m_token;
    const AccountLookup m_accountOf;
    absl::btree_map<std::string, Account> m_accounts;
    absl::btree_map<uint32_t, Holder> m_holders;
    uint64_t m_lastNumber = 0;
    /** The account that was named last, after which the next reports begin. */
    std::string m_lastNamed;
    Instant m_intervalStart = -absl::InfiniteDuration();
    size_t m_namedInInterval = 0;
};

/** The holder's side for the accounts of one holder cell, for one term of its owner. Used on the decision thread only.
 */
class AccountHolder {
public:
    AccountHolder(uint32_t cell, uint32_t cells, uint64_t token, AccountLookup accountOf);

    uint64_t token() const { return m_token; }
    /** Sets the revisions of the rows of all cells, 0 for none, which must be known as of this owner's token. Until
     * then all reports are ignored. */
    void setOwners(absl::Span<const uint64_t> tokens);
    /** Returns nothing if the report is to be ignored. */
    std::optional<AccountGrant> handleReport(const AccountReport& report);
    /** The cells whose owners must report before anything is lent, or before what their former owners held is lent. */
    std::vector<uint32_t> cellsToAsk() const;
    /** Whether every cell has reported. */
    bool mayLend() const;

private:
    struct Cell {
        uint64_t ownerToken = 0;
        uint64_t reportToken = 0;
        uint64_t reportNumber = 0;
        bool hasReported = false;
    };

    bool isAccepted(const AccountReport& report) const;
    void count(const AccountReport& report);
    Resources lend(const AccountReport& report, const AccountHolding& holding);
    /** What is left of the pool; negative where more is in use than a lowered limit allows. */
    Resources freeOf(const ClientAccount& account) const;

    const uint32_t m_cell;
    const uint32_t m_cells;
    const uint64_t m_token;
    const AccountLookup m_accountOf;
    std::vector<Cell> m_states;
    bool m_knowsOwners = false;
    /** A cell has asked for more than could be lent before all cells have reported. */
    bool m_isWanted = false;
    /** By account and cell, what the cell holds or was granted; without zeros. */
    absl::btree_map<std::string, absl::btree_map<uint32_t, Resources>> m_counted;
};

} // namespace cicada
