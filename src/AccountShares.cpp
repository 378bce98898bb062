#include "AccountShares.h"

#include <algorithm>

namespace cicada {

namespace {

    /** Bounds the lead of an account with a tiny weight, and keeps a weight of 0 from a division by 0. */
    constexpr double minWeight = 0.001;

    double perWeight(double work, double weight) { return work / std::max(minWeight, weight); }

} // namespace

double AccountShares::usedBy(absl::string_view account) const
{
    const auto found = m_used.find(account);
    return found == m_used.end() ? m_floor : std::max(m_floor, found->second);
}

void AccountShares::assignTags(absl::Span<const Waiting> steps)
{
    if (steps.empty())
        return;
    absl::flat_hash_map<absl::string_view, double> nextTags;
    for (const Waiting& step : steps)
        nextTags.try_emplace(step.account, usedBy(step.account));
    double least = nextTags.begin()->second;
    for (const auto& [account, used] : nextTags)
        least = std::min(least, used);
    m_floor = std::max(m_floor, least);
    for (const Waiting& step : steps) {
        double& next = nextTags[step.account];
        step.rank->shareTag = next;
        next += perWeight(step.work, step.weight);
    }
}

void AccountShares::recordStarted(absl::string_view account, double weight, double work)
{
    m_used[account] = usedBy(account) + perWeight(work, weight);
}

} // namespace cicada
