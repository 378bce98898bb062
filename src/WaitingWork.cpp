#include "WaitingWork.h"

#include <algorithm>

namespace cicada {

namespace {

    /** Bounds the number of sums of an account. */
    constexpr absl::Duration latestStartInterval = absl::Milliseconds(500);
    constexpr double minWeight = 0.001;

} // namespace

int64_t WaitingWork::intervalOf(Instant latestStart)
{
    return absl::ToInt64Milliseconds(latestStart) / absl::ToInt64Milliseconds(latestStartInterval);
}

double WaitingWork::Flow::before(Instant latestStart) const
{
    double work = 0;
    for (auto it = byLatestStart.begin(); it != byLatestStart.end() && it->first < intervalOf(latestStart); ++it)
        work += it->second.first;
    return work;
}

void WaitingWork::add(const WaitingItem& item)
{
    Flow& flow = m_services[item.service][{ item.key.urgency, item.key.priority }][item.account];
    flow.weight = item.weight;
    flow.total += item.work;
    auto& [work, count] = flow.byLatestStart[intervalOf(item.key.latestStart)];
    work += item.work;
    ++count;
}

void WaitingWork::remove(const WaitingItem& item)
{
    const auto levels = m_services.find(item.service);
    if (levels == m_services.end())
        return;
    const auto level = levels->second.find({ item.key.urgency, item.key.priority });
    if (level == levels->second.end())
        return;
    const auto flow = level->second.find(item.account);
    if (flow == level->second.end())
        return;
    const auto interval = flow->second.byLatestStart.find(intervalOf(item.key.latestStart));
    if (interval == flow->second.byLatestStart.end())
        return;
    flow->second.total -= item.work;
    interval->second.first -= item.work;
    // Empty sums are erased, so that errors of rounding do not add up.
    if (--interval->second.second == 0)
        flow->second.byLatestStart.erase(interval);
    if (flow->second.byLatestStart.empty())
        level->second.erase(flow);
    if (level->second.empty())
        levels->second.erase(level);
}

bool WaitingWork::hasOwed(absl::string_view service) const
{
    const auto levels = m_services.find(service);
    return levels != m_services.end() && !levels->second.empty() && isOwed(levels->second.begin()->first.first);
}

double WaitingWork::totalOf(const Level& level)
{
    double work = 0;
    for (const auto& [account, flow] : level)
        work += flow.total;
    return work;
}

double WaitingWork::aheadInLevel(const Level& level, const WaitingItem& item)
{
    if (!isOwed(item.key.urgency)) {
        double work = 0;
        for (const auto& [account, flow] : level)
            work += flow.before(item.key.latestStart);
        return work;
    }
    const auto own = level.find(item.account);
    const double ownBefore = own == level.end() ? 0 : own->second.before(item.key.latestStart);
    double work = ownBefore;
    // While the account works off what is ahead of the item, every other one gets its share.
    for (const auto& [account, flow] : level) {
        if (account != item.account)
            work += std::min(flow.total, ownBefore * flow.weight / std::max(minWeight, item.weight));
    }
    return work;
}

double WaitingWork::aheadOf(const WaitingItem& item) const
{
    const auto levels = m_services.find(item.service);
    if (levels == m_services.end())
        return 0;
    double work = 0;
    for (const auto& [place, level] : levels->second) {
        const std::pair<StepUrgency, uint32_t> own { item.key.urgency, item.key.priority };
        if (place > own)
            break;
        work += place < own ? totalOf(level) : aheadInLevel(level, item);
    }
    return work;
}

} // namespace cicada
