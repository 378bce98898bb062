#pragma once

/** \file
 * What the client accounts may have allocated in one cell.
 */

#include "ClientAccount.h"

namespace cicada {

/** The accounts' quotas in one cell. */
class AccountQuota {
public:
    virtual ~AccountQuota() = default;
    /** What the account may have allocated in this cell now; applies to the fields that its limit names. */
    virtual Resources limitHere(const ClientAccount& account) const = 0;
};

} // namespace cicada
