#include "AccountQuota.h"

namespace cicada {

Resources withUnlimited(const ClientAccount& account, Resources quota)
{
    const auto amount = [](int64_t limit, int64_t part) { return limit > 0 ? part : unlimitedAmount; };
    return { amount(account.limit.cpuMillis, quota.cpuMillis), amount(account.limit.memoryMiB, quota.memoryMiB),
        amount(account.limit.accelerators, quota.accelerators) };
}

Resources wholeLimit(const ClientAccount& account) { return withUnlimited(account, account.limit); }

} // namespace cicada
