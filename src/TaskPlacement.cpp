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

    /** What is left after the task, as shares of the worker: their sum, and how far they are out of balance. */
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

    /** The least left over, with what is left in balance, so that it stays usable. */
    class BestFit final : public PlacementScore {
    public:
        absl::string_view name() const override { return "best-fit"; }
        double score(const Resources& free, const Resources& capacity, const Resources& demand) override
        {
            const Leftover left = leftover(free, capacity, demand);
            const bool wastes = demand.accelerators == 0 && free.accelerators > 0;
            return left.sum + left.imbalance + (wastes ? acceleratorPenalty : 0);
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

void SpreadCounts::add(const WorkerRoom& worker)
{
    ++workers[worker.name];
    ++racks[worker.rack];
    ++failureDomains[worker.failureDomain];
}

void WorkerLedger::upsert(const WorkerRoom& worker)
{
    auto [it, isNew] = m_byName.try_emplace(worker.name, m_workers.size());
    if (isNew) {
        m_workers.push_back(worker);
        return;
    }
    WorkerRoom& known = m_workers[it->second];
    const Resources used = known.used;
    known = worker;
    known.used = used;
}

void WorkerLedger::remove(absl::string_view name)
{
    auto it = m_byName.find(name);
    if (it == m_byName.end())
        return;
    const size_t index = it->second;
    m_byName.erase(it);
    if (index + 1 < m_workers.size()) {
        m_workers[index] = std::move(m_workers.back());
        m_byName[m_workers[index].name] = index;
    }
    m_workers.pop_back();
}

const WorkerRoom* WorkerLedger::find(absl::string_view name) const
{
    auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : &m_workers[it->second];
}

void WorkerLedger::setUsable(absl::string_view name, bool usable)
{
    auto it = m_byName.find(name);
    if (it != m_byName.end())
        m_workers[it->second].usable = usable;
}

void WorkerLedger::take(absl::string_view name, const Resources& demand)
{
    auto it = m_byName.find(name);
    if (it != m_byName.end())
        m_workers[it->second].used = m_workers[it->second].used + demand;
}

void WorkerLedger::give(absl::string_view name, const Resources& demand)
{
    auto it = m_byName.find(name);
    if (it != m_byName.end())
        m_workers[it->second].used = m_workers[it->second].used - demand;
}

const WorkerRoom* WorkerLedger::choose(const Resources& demand, PlacementScore& score, const SpreadCounts* spread) const
{
    const WorkerRoom* best = nullptr;
    double bestScore = std::numeric_limits<double>::infinity();
    for (const WorkerRoom& worker : m_workers) {
        if (!worker.usable)
            continue;
        const Resources free = worker.capacity - worker.used;
        if (!fits(demand, free))
            continue;
        double value = score.score(free, worker.capacity, demand);
        if (spread)
            value += workerPenalty * countOf(spread->workers, worker.name)
                + rackPenalty * countOf(spread->racks, worker.rack)
                + failureDomainPenalty * countOf(spread->failureDomains, worker.failureDomain);
        if (value < bestScore) {
            best = &worker;
            bestScore = value;
        }
    }
    return best;
}

Resources WorkerLedger::freeTotal() const
{
    Resources total;
    for (const WorkerRoom& worker : m_workers) {
        if (worker.usable)
            total = total + (worker.capacity - worker.used);
    }
    return total;
}

} // namespace cicada
