#include "CrashDelays.h"

#include <algorithm>
#include <vector>

namespace cicada {

namespace {

    /** How much longer than usual a task may take to crash its worker, as a factor and beside that. */
    constexpr double spread = 2;
    constexpr absl::Duration slack = absl::Milliseconds(200);

} // namespace

void CrashDelays::record(const RunAges& ages, Instant now)
{
    if (ages.own == absl::InfiniteDuration())
        return;
    m_delays.push_back({ ages.own, now });
    while (m_delays.size() > maxRemembered || now - m_delays.front().recordedAt > retention)
        m_delays.pop_front();
}

std::optional<absl::Duration> CrashDelays::limit(Instant now) const
{
    std::vector<absl::Duration> ages;
    for (const Delay& delay : m_delays) {
        if (now - delay.recordedAt <= retention)
            ages.push_back(delay.age);
    }
    if (ages.empty())
        return std::nullopt;
    const auto median = ages.begin() + static_cast<ptrdiff_t>(ages.size() / 2);
    std::nth_element(ages.begin(), median, ages.end());
    return *median * spread + slack;
}

bool CrashDelays::isSoonAfterStart(const RunAges& ages, Instant now) const
{
    return ages.own <= limit(now).value_or(defaultLimit);
}

bool CrashDelays::isLikelyCausedByOther(const RunAges& ages, Instant now) const
{
    const std::optional<absl::Duration> expected = limit(now);
    return expected && ages.own > *expected && ages.youngestOther <= *expected;
}

bool CrashDelays::isLikelyCause(const RunAges& ages, Instant now) const
{
    const std::optional<absl::Duration> expected = limit(now);
    return expected && ages.own <= *expected && ages.youngestOther > *expected;
}

} // namespace cicada
