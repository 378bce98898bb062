#include "RunTimeEstimates.h"

#include <algorithm>
#include <cmath>

namespace cicada {

namespace {

    /** The factors are computed again after this many ends or this time, whichever comes first. */
    constexpr size_t endsPerComputation = 8;
    constexpr absl::Duration computationInterval = absl::Seconds(1);
    /** Bounds the log of a queue whose measurement stays near a threshold. */
    constexpr absl::Duration minLogInterval = absl::Seconds(10);
    /** A single run counts as at most this many times faster or slower than its queue's median. */
    constexpr double maxRelativeSpeed = 10;

    /** The `q` quantile; reorders `values`, which must not be empty. */
    double quantile(std::vector<float>& values, double q)
    {
        const auto index = std::lround(q * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + index, values.end());
        return values[static_cast<size_t>(index)];
    }

    /** Measured by declared run time. */
    double ratioOf(const MeasuredRun& run)
    {
        const absl::Duration excess = run.measured - run.declared;
        const absl::Duration ascribed = std::clamp(excess, absl::ZeroDuration(), RunTimeEstimates::reportTolerance);
        return absl::FDivDuration(run.measured - ascribed, run.declared);
    }

} // namespace

void WorkerSpeed::add(double relative)
{
    m_latest[m_next] = static_cast<float>(std::clamp(relative, 1 / maxRelativeSpeed, maxRelativeSpeed));
    m_next = (m_next + 1) % maxRuns;
    m_count = std::min(m_count + 1, maxRuns);
    if (!isKnown())
        return;
    std::array<float, maxRuns> sorted = m_latest;
    auto* const middle = sorted.begin() + m_count / 2;
    std::nth_element(sorted.begin(), middle, sorted.begin() + m_count);
    m_value = *middle;
}

EstimateChange RunTimeEstimates::record(const MeasuredRun& run, WorkerSpeed* speed, Instant now)
{
    const bool counts = !run.wasRestored && !run.wasCutShort && run.declared > absl::ZeroDuration()
        && run.measured > absl::ZeroDuration();
    if (!counts)
        return EstimateChange::None;
    Queue& queue = queueOf(run.queue);
    const double raw = ratioOf(run);
    const double speedBefore = speed ? speed->value() : 1;
    queue.samples.push_back({ now, static_cast<float>(raw), static_cast<float>(raw * speedBefore) });
    ++queue.addedSince;
    removeOld(queue, now);
    computeIfDue(queue, now);
    if (speed && queue.correction.runs >= minRuns)
        speed->add(queue.rawMedian / raw);
    return changeToLog(queue, now);
}

EstimateCorrection RunTimeEstimates::correctionOf(absl::string_view name, Instant now) const
{
    const auto found = m_queues.find(name);
    if (found == m_queues.end())
        return {};
    computeIfDue(found->second, now);
    return found->second.correction;
}

void RunTimeEstimates::removeOld(Queue& queue, Instant now)
{
    while (queue.samples.size() > maxRuns || queue.samples.front().endedAt < now - window)
        queue.samples.pop_front();
}

void RunTimeEstimates::computeIfDue(const Queue& queue, Instant now)
{
    if (queue.addedSince < endsPerComputation && now - queue.computedAt < computationInterval)
        return;
    queue.computedAt = now;
    queue.addedSince = 0;
    queue.correction = {};
    std::vector<float> raw;
    std::vector<float> normalized;
    for (const Sample& sample : queue.samples) {
        if (sample.endedAt < now - window)
            continue;
        raw.push_back(sample.raw);
        normalized.push_back(sample.normalized);
    }
    queue.correction.runs = raw.size();
    if (raw.size() < minRuns)
        return;
    queue.rawMedian = quantile(raw, 0.5);
    const double median = quantile(normalized, 0.5);
    const double high = quantile(normalized, 0.9);
    if (median >= minMedianRatio && median <= maxMedianRatio && high <= maxHighRatio)
        return;
    queue.correction = { true, median, high, raw.size() };
}

RunTimeEstimates::Queue& RunTimeEstimates::queueOf(absl::string_view name)
{
    const auto found = m_queues.find(name);
    if (found != m_queues.end())
        return found->second;
    if (m_queues.size() >= maxQueues) {
        const auto oldest = std::min_element(m_queues.begin(), m_queues.end(), [](const auto& a, const auto& b) {
            return a.second.samples.back().endedAt < b.second.samples.back().endedAt;
        });
        m_queues.erase(oldest);
    }
    return m_queues[std::string(name)];
}

EstimateChange RunTimeEstimates::changeToLog(Queue& queue, Instant now)
{
    const bool isContradicted = queue.correction.isContradicted;
    if (isContradicted == queue.isLoggedContradicted || now - queue.loggedAt < minLogInterval)
        return EstimateChange::None;
    queue.isLoggedContradicted = isContradicted;
    queue.loggedAt = now;
    return isContradicted ? EstimateChange::Contradicted : EstimateChange::HoldAgain;
}

} // namespace cicada
