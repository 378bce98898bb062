#include "TaskPlacement.h"

#include "Job.h"

#include <algorithm>
#include <limits>

namespace cicada {

namespace {

    /** A task without accelerators avoids workers that have some free. */
    constexpr double acceleratorPenalty = 10;
    constexpr double workerPenalty = 10;
    constexpr double rackPenalty = 100;
    constexpr double failureDomainPenalty = 1000;

    double share(int64_t part, int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

    /** The capacity left after the task, as shares of the worker's: their sum, and the imbalance between them. */
    struct Leftover {
        double sum = 0;
        double imbalance = 0;
    };

    Leftover leftover(const Resources& free, const Resources& capacity, const Resources& demand)
    {
        const double cpu = share(free.cpuMillis - demand.cpuMillis, capacity.cpuMillis);
        const double memory = share(free.memoryMiB - demand.memoryMiB, capacity.memoryMiB);
        return { cpu + memory, std::abs(cpu - memory) };
    }

    class FirstFit final : public PlacementScore {
    public:
        absl::string_view name() const override { return "first-fit"; }
        double score(const Resources&, const Resources&, const Resources&) override { return 0; }
    };

    /** Prefers the worker with the smallest leftover, and a balanced one, so that the leftover stays usable. */
    class BestFit final : public PlacementScore {
    public:
        absl::string_view name() const override { return "best-fit"; }
        double score(const Resources& free, const Resources& capacity, const Resources& demand) override
        {
            const Leftover left = leftover(free, capacity, demand);
            const bool wastes = demand.accelerators == 0 && free.accelerators > 0;
            return left.sum + left.imbalance + (wastes ? acceleratorPenalty : 0);
        }
        std::optional<double> lowerBound(double cpuLeft) const override
        {
            // The sum plus the imbalance is twice the larger of the two shares.
            return 2 * cpuLeft;
        }
    };

    class WorstFit final : public PlacementScore {
    public:
        absl::string_view name() const override { return "worst-fit"; }
        double score(const Resources& free, const Resources& capacity, const Resources& demand) override
        {
            return -leftover(free, capacity, demand).sum;
        }
    };

    class RandomFit final : public PlacementScore {
    public:
        explicit RandomFit(uint64_t seed)
            : m_random(seed)
        {
        }
        absl::string_view name() const override { return "random"; }
        double score(const Resources&, const Resources&, const Resources&) override
        {
            return static_cast<double>(m_random());
        }

    private:
        std::mt19937_64 m_random;
    };

    int countOf(const absl::flat_hash_map<std::string, int>& counts, const std::string& key)
    {
        auto it = counts.find(key);
        return it == counts.end() ? 0 : it->second;
    }

    uint32_t numberOf(absl::flat_hash_map<std::string, uint32_t>& numbers, const std::string& name)
    {
        return numbers.try_emplace(name, static_cast<uint32_t>(numbers.size())).first->second;
    }

    /** Returns the penalty for each number, from the counts by name. */
    std::vector<double> penaltyTable(const absl::flat_hash_map<std::string, uint32_t>& numbers,
        const absl::flat_hash_map<std::string, int>& counts, double penalty)
    {
        std::vector<double> table(numbers.size());
        for (const auto& [name, count] : counts) {
            auto it = numbers.find(name);
            if (it != numbers.end())
                table[it->second] = penalty * count;
        }
        return table;
    }

} // namespace

std::unique_ptr<PlacementScore> makePlacementScore(absl::string_view name, uint64_t seed)
{
    if (name == "best-fit")
        return std::make_unique<BestFit>();
    if (name == "first-fit")
        return std::make_unique<FirstFit>();
    if (name == "worst-fit")
        return std::make_unique<WorstFit>();
    if (name == "random")
        return std::make_unique<RandomFit>(seed);
    return nullptr;
}

void SpreadCounts::add(const WorkerAllocation& worker)
{
    ++workers[worker.name];
    ++racks[worker.rack];
    ++failureDomains[worker.failureDomain];
}

void WorkerLedger::upsert(const WorkerAllocation& worker)
{
    auto [it, isNew] = m_byName.try_emplace(worker.name, m_workers.size());
    const size_t index = it->second;
    if (isNew) {
        m_workers.push_back(worker);
        m_rows.emplace_back();
        m_rows[index].place = m_buckets[0].size();
        m_buckets[0].push_back(static_cast<uint32_t>(index));
    } else {
        const Resources used = m_workers[index].used;
        m_workers[index] = worker;
        m_workers[index].used = used;
    }
    m_rows[index].rack = numberOf(m_rackNumbers, worker.rack);
    m_rows[index].failureDomain = numberOf(m_failureDomainNumbers, worker.failureDomain);
    m_maxCpuMillis = std::max(m_maxCpuMillis, worker.capacity.cpuMillis);
    m_minCpuMillis = std::min(m_minCpuMillis, std::max<int64_t>(worker.capacity.cpuMillis, 1));
    refreshRow(index);
}

void WorkerLedger::remove(absl::string_view name)
{
    auto it = m_byName.find(name);
    if (it == m_byName.end())
        return;
    const size_t index = it->second;
    const size_t last = m_workers.size() - 1;
    m_byName.erase(it);
    leaveBucket(index);
    if (index != last) {
        m_workers[index] = std::move(m_workers[last]);
        m_rows[index] = m_rows[last];
        m_buckets[m_rows[index].bucket][m_rows[index].place] = static_cast<uint32_t>(index);
        m_byName[m_workers[index].name] = index;
    }
    m_workers.pop_back();
    m_rows.pop_back();
}

void WorkerLedger::leaveBucket(size_t index)
{
    auto& bucket = m_buckets[m_rows[index].bucket];
    const size_t place = m_rows[index].place;
    bucket[place] = bucket.back();
    m_rows[bucket[place]].place = place;
    bucket.pop_back();
}

void WorkerLedger::refreshRow(size_t index)
{
    const WorkerAllocation& worker = m_workers[index];
    Row& row = m_rows[index];
    row.free = worker.capacity - worker.used;
    row.capacity = worker.capacity;
    row.usable = worker.usable;
    const double freeShare = std::clamp(share(row.free.cpuMillis, row.capacity.cpuMillis), 0.0, 1.0);
    const size_t bucket = std::min(bucketCount - 1, static_cast<size_t>(freeShare * bucketCount));
    if (bucket == row.bucket)
        return;
    leaveBucket(index);
    row.bucket = bucket;
    row.place = m_buckets[bucket].size();
    m_buckets[bucket].push_back(static_cast<uint32_t>(index));
}

const WorkerAllocation* WorkerLedger::find(absl::string_view name) const
{
    auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : &m_workers[it->second];
}

void WorkerLedger::setUsable(absl::string_view name, bool usable)
{
    auto it = m_byName.find(name);
    if (it == m_byName.end())
        return;
    m_workers[it->second].usable = usable;
    m_rows[it->second].usable = usable;
}

void WorkerLedger::take(absl::string_view name, const Resources& demand)
{
    auto it = m_byName.find(name);
    if (it == m_byName.end())
        return;
    m_workers[it->second].used = m_workers[it->second].used + demand;
    refreshRow(it->second);
}

void WorkerLedger::give(absl::string_view name, const Resources& demand)
{
    auto it = m_byName.find(name);
    if (it == m_byName.end())
        return;
    m_workers[it->second].used = m_workers[it->second].used - demand;
    refreshRow(it->second);
}

WorkerLedger::Penalties WorkerLedger::penaltiesOf(const SpreadCounts& counts) const
{
    return { counts, penaltyTable(m_rackNumbers, counts.racks, rackPenalty),
        penaltyTable(m_failureDomainNumbers, counts.failureDomains, failureDomainPenalty) };
}

void WorkerLedger::consider(
    size_t index, const Resources& demand, PlacementScore& score, const Penalties* penalties, Best& best) const
{
    const Row& row = m_rows[index];
    if (!row.usable || !fits(demand, row.free))
        return;
    double value = score.score(row.free, row.capacity, demand);
    if (penalties)
        value += penalties->racks[row.rack] + penalties->failureDomains[row.failureDomain];
    if (best.worker && value >= best.score)
        return;
    // Looking up a name takes longer than everything before it, so it is done only for a worker with the best score
    // so far.
    if (penalties)
        value += workerPenalty * countOf(penalties->counts.workers, m_workers[index].name);
    if (!best.worker || value < best.score)
        best = { &m_workers[index], value };
}

const WorkerAllocation* WorkerLedger::choose(
    const Resources& demand, PlacementScore& score, const SpreadCounts* spread) const
{
    std::optional<Penalties> penalties;
    if (spread)
        penalties.emplace(penaltiesOf(*spread));
    const Penalties* const added = penalties ? &*penalties : nullptr;
    Best best;
    if (!score.lowerBound(0)) {
        for (size_t i = 0; i < m_rows.size(); ++i)
            consider(i, demand, score, added, best);
        return best.worker;
    }
    // The demand takes the smallest share of the largest worker, and the largest share of the smallest worker.
    const double minShare = std::min(share(demand.cpuMillis, m_maxCpuMillis), 1.0);
    const double maxShare = share(demand.cpuMillis, m_minCpuMillis);
    for (auto b = static_cast<size_t>(minShare * (bucketCount - 1)); b < bucketCount; ++b) {
        for (const uint32_t index : m_buckets[b])
            consider(index, demand, score, added, best);
        const double nextFree = static_cast<double>(b + 1) / bucketCount;
        if (best.worker && *score.lowerBound(nextFree - maxShare) > best.score)
            break;
    }
    return best.worker;
}

Resources WorkerLedger::freeTotal() const
{
    Resources total;
    for (const Row& row : m_rows) {
        if (row.usable)
            total = total + row.free;
    }
    return total;
}

} // namespace cicada
