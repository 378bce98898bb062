#include "RunTimes.h"

#include <algorithm>
#include <cmath>

namespace cicada {

namespace {

    /** Each bucket is this many times as wide as the one before. */
    constexpr double bucketRatio = 1.2;
    constexpr double trimQuantile = 0.95;

} // namespace

size_t DurationHistogram::bucketOf(absl::Duration value)
{
    const double millis = std::max(1.0, absl::ToDoubleMilliseconds(value));
    const auto bucket = static_cast<size_t>(std::log(millis) / std::log(bucketRatio));
    return std::min(bucket, bucketCount - 1);
}

absl::Duration DurationHistogram::midpointOf(size_t bucket)
{
    return absl::Milliseconds(std::pow(bucketRatio, static_cast<double>(bucket) + 0.5));
}

void DurationHistogram::add(absl::Duration value)
{
    const size_t bucket = bucketOf(value);
    m_buckets[bucket] += 1;
    m_sums[bucket] += static_cast<float>(absl::ToDoubleMilliseconds(value));
    m_count += 1;
    if (m_count < decayThreshold)
        return;
    for (float& values : m_buckets)
        values /= 2;
    for (float& sum : m_sums)
        sum /= 2;
    m_count /= 2;
}

size_t DurationHistogram::bucketAt(double q) const
{
    double below = 0;
    for (size_t i = 0; i < bucketCount; ++i) {
        below += m_buckets[i];
        if (below >= q * m_count)
            return i;
    }
    return bucketCount - 1;
}

absl::Duration DurationHistogram::quantile(double q) const
{
    return m_count > 0 ? midpointOf(bucketAt(q)) : absl::ZeroDuration();
}

absl::Duration DurationHistogram::trimmedMean() const
{
    if (m_count <= 0)
        return absl::ZeroDuration();
    const size_t last = bucketAt(trimQuantile);
    double weight = 0;
    double sum = 0;
    for (size_t i = 0; i <= last; ++i) {
        weight += m_buckets[i];
        sum += m_sums[i];
    }
    return absl::Milliseconds(sum / weight);
}

void RunTimes::recordRun(absl::string_view service, absl::string_view profile, absl::Duration runTime, Instant now)
{
    std::pair<std::string, std::string> key(service, profile);
    if (m_kinds.size() >= maxKinds && !m_kinds.contains(key))
        evictOldest();
    Kind& kind = m_kinds[std::move(key)];
    kind.histogram.add(runTime);
    kind.lastRun = now;
}

RunEstimate RunTimes::estimate(absl::string_view service, absl::string_view profile, absl::Duration declared) const
{
    RunEstimate estimate { declared, declared, declared * stragglerFactor, 0 };
    auto it = m_kinds.find(std::pair<std::string, std::string>(service, profile));
    if (it == m_kinds.end())
        return estimate;
    const DurationHistogram& histogram = it->second.histogram;
    const double trust = std::min(1.0, histogram.count() / minTrustedRuns);
    const auto blend
        = [trust](absl::Duration observed, absl::Duration given) { return observed * trust + given * (1 - trust); };
    estimate.typical = blend(histogram.trimmedMean(), declared);
    estimate.p95 = blend(histogram.quantile(trimQuantile), declared);
    estimate.suspectAfter = estimate.p95 * stragglerFactor;
    estimate.runs = histogram.count();
    return estimate;
}

std::vector<std::string> RunTimes::servicesOf(absl::string_view profile) const
{
    std::vector<std::string> services;
    for (const auto& [key, kind] : m_kinds) {
        if (key.second == profile)
            services.push_back(key.first);
    }
    std::sort(services.begin(), services.end());
    return services;
}

void RunTimes::evictOldest()
{
    const auto oldest = std::min_element(m_kinds.begin(), m_kinds.end(),
        [](const auto& a, const auto& b) { return a.second.lastRun < b.second.lastRun; });
    m_kinds.erase(oldest);
}

} // namespace cicada
