#pragma once

/** \file
 * How much of each resource a client account may have allocated in one cell.
 */

#include "ClientAccount.h"

#include <limits>

namespace cicada {

/** An amount without a limit. It differs from a granted amount of 0, with which nothing may start. */
constexpr int64_t unlimitedAmount = std::numeric_limits<int64_t>::max();

/** Decides on an account's part of its limit in one cell. */
class AccountQuota {
public:
    virtual ~AccountQuota() = default;
    /** What the account may have allocated in this cell now. Applies to the fields that its limit names. */
    virtual Resources limitHere(const ClientAccount& account) const = 0;
};

/** The quota, with `unlimitedAmount` in the fields in which the account has no limit. */
Resources withUnlimited(const ClientAccount& account, Resources quota);

/** The account's limit on all cells together, with `unlimitedAmount` in place of 0. */
Resources wholeLimit(const ClientAccount& account);

} // namespace cicada
