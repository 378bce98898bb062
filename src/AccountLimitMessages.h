#pragma once

/** \file
 * Messages between the owners of cells to split an account's limit; see AccountLimits.h. The token of an owner is the
 * revision of its cell's row.
 */

#include "BackEnds.h"
#include "Error.h"

#include "absl/strings/string_view.h"

#include <string>
#include <vector>

namespace cicada {

/** The names under which peers receive the messages. */
inline constexpr absl::string_view accountQuestionService = "account.ask";
inline constexpr absl::string_view accountReportService = "account.use";
inline constexpr absl::string_view accountGrantService = "account.lend";

/** A holder's request for a report that names all accounts. */
struct AccountQuestion {
    uint32_t cell = 0;
    uint32_t holderCell = 0;
    uint64_t holderToken = 0;
};

/** What a cell holds of one account's pool, and what it wants beyond. */
struct AccountHolding {
    std::string account;
    /** Identifies the limit that the cell applies. */
    uint32_t limitDigest = 0;
    /** What was lent to the cell and is kept. */
    Resources held;
    /** What is in use beyond that and the fixed part, as after a change of the cell's owner or of the limit. */
    Resources excess;
    /** What the cell would hold besides `held`; includes the excess, which is covered first. */
    Resources wanted;
    /** Less than all that is wanted is of no use, as for a gang. */
    bool isIndivisible = false;
};

/** A cell's report to the holder of some accounts. */
struct AccountReport {
    uint32_t cell = 0;
    uint64_t cellToken = 0;
    uint32_t holderCell = 0;
    uint64_t holderToken = 0;
    /** Increases within the term of the cell's owner. */
    uint64_t number = 0;
    /** Whether the cell holds nothing of the holder's accounts that are not listed; otherwise they are unchanged. */
    bool isWhole = false;
    std::vector<AccountHolding> accounts;
};

/** What a holder lends besides what a report says is held. */
struct AccountLoan {
    std::string account;
    Resources amount;
};

/** The holder's reply to a report. Accounts of the report that are not listed get nothing. */
struct AccountGrant {
    uint32_t cell = 0;
    uint64_t cellToken = 0;
    uint32_t holderCell = 0;
    uint64_t holderToken = 0;
    /** The number of the report. */
    uint64_t number = 0;
    std::vector<AccountLoan> loans;
};

std::string encode(const AccountQuestion&);
std::string encode(const AccountReport&);
std::string encode(const AccountGrant&);
Result<AccountQuestion> decodeAccountQuestion(absl::string_view bytes);
/** Amounts in a decoded message are not negative. */
Result<AccountReport> decodeAccountReport(absl::string_view bytes);
Result<AccountGrant> decodeAccountGrant(absl::string_view bytes);

} // namespace cicada
