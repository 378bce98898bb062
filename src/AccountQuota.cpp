#include "AccountQuota.h"

#include <algorithm>

namespace cicada {

namespace {

    int64_t limitOrUnlimited(int64_t configured) { return configured > 0 ? configured : unlimitedAmount; }

    class FixedQuota final : public AccountQuota {
    public:
        explicit FixedQuota(uint32_t cells)
            : m_cells(std::max<uint32_t>(1, cells))
        {
        }
        Resources limitHere(const ClientAccount& account) const override
        {
            const Resources whole = wholeLimit(account);
            return { partOf(whole.cpuMillis), partOf(whole.memoryMiB), partOf(whole.accelerators) };
        }

    private:
        int64_t partOf(int64_t limit) const { return limit == unlimitedAmount ? limit : limit / m_cells; }

        const int64_t m_cells;
    };

} // namespace

std::unique_ptr<AccountQuota> makeFixedQuota(uint32_t cells) { return std::make_unique<FixedQuota>(cells); }

Resources wholeLimit(const ClientAccount& account)
{
    const Resources& limit = account.limit;
    return { limitOrUnlimited(limit.cpuMillis), limitOrUnlimited(limit.memoryMiB),
        limitOrUnlimited(limit.accelerators) };
}

} // namespace cicada
