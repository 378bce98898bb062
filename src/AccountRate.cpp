#include "AccountRate.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration burst = absl::Seconds(1);
    constexpr double tokensPerJob = 1;
    /** Keeps a bucket that is filled in many small parts from missing a whole token through rounding. */
    constexpr double tokenTolerance = 1e-6;

} // namespace

double AccountRate::tokensOf(const std::string& account, double weight, Instant now) const
{
    const double rate = std::max(0.0, weight) / m_cells;
    const double capacity = std::max(tokensPerJob, rate * absl::ToDoubleSeconds(burst));
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return capacity;
    const Bucket& bucket = found->second;
    return std::min(capacity, bucket.tokens + rate * absl::ToDoubleSeconds(now - bucket.filledAt));
}

bool AccountRate::isExcess(const std::string& account, double weight, Instant now) const
{
    return tokensOf(account, weight, now) < tokensPerJob - tokenTolerance;
}

bool AccountRate::recordAccepted(const std::string& account, double weight, Instant now)
{
    const double tokens = tokensOf(account, weight, now);
    const bool isBeyond = isExcess(account, weight, now);
    m_buckets[account] = { isBeyond ? tokens : std::max(0.0, tokens - tokensPerJob), now };
    return isBeyond;
}

} // namespace cicada
