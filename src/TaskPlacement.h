#pragma once

/** \file
 * Which worker takes a task: an exact ledger of what each worker holds, and interchangeable scores of how well a task
 * fits. A worker is never given more than it was declared to hold, whatever its tasks are said to use.
 */

#include "BackEnds.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cicada {

/** How well a task fits on a worker. */
class PlacementScore {
public:
    virtual ~PlacementScore() = default;
    virtual absl::string_view name() const = 0;
    /** Lower is better; of equal scores the first worker is taken. `demand` fits into `free`. */
    virtual double score(const Resources& free, const Resources& capacity, const Resources& demand) = 0;
    /** A lower bound of the score of every worker that would have at least `cpuLeft` of its processors left, as a share
     * from 0 to 1; the search ends where it exceeds the best found. Nothing when the score knows no bound. */
    virtual std::optional<double> lowerBound(double cpuLeft) const
    {
        (void)cpuLeft;
        return std::nullopt;
    }
};

/** The scores by name: "best-fit", and as baselines "first-fit", "worst-fit" and "random". Null for another name. */
std::unique_ptr<PlacementScore> makePlacementScore(absl::string_view name, uint64_t seed = 1);

/** What a worker holds. */
struct WorkerAllocation {
    std::string name;
    std::string rack;
    std::string failureDomain;
    Resources capacity;
    Resources used;
    /** Workers that leave, are suspended or are unresponsive take no new tasks. */
    bool usable = false;
};

/** Counts of a job's tasks by worker, rack and failure domain, for spreading them. */
struct SpreadCounts {
    absl::flat_hash_map<std::string, int> workers;
    absl::flat_hash_map<std::string, int> racks;
    absl::flat_hash_map<std::string, int> failureDomains;

    void add(const WorkerAllocation& worker);
};

/** The exact account of all workers of this entry. Not thread-safe. */
class WorkerLedger {
public:
    /** Adds a worker, or updates all of it but what it holds. */
    void upsert(const WorkerAllocation& worker);
    void remove(absl::string_view name);
    const WorkerAllocation* find(absl::string_view name) const;
    void setUsable(absl::string_view name, bool usable);
    /** Takes room, whether or not it fits: recovered tasks run already. */
    void take(absl::string_view name, const Resources& demand);
    void give(absl::string_view name, const Resources& demand);
    /** The best worker with free capacity for `demand`, or null. `spread` is null for tasks that need no spreading. */
    const WorkerAllocation* choose(const Resources& demand, PlacementScore& score, const SpreadCounts* spread) const;
    /** Free capacity of all usable workers together. */
    Resources freeTotal() const;
    const std::vector<WorkerAllocation>& all() const { return m_workers; }

private:
    /** What a search reads of a worker, kept together so that it stays in the processor's cache. */
    struct Row {
        Resources free;
        Resources capacity;
        bool usable = false;
        /** Numbers of the rack and the failure domain, so that a search needs no names. */
        uint32_t rack = 0;
        uint32_t failureDomain = 0;
        size_t bucket = 0;
        /** Where the worker stands in its bucket. */
        size_t place = 0;
    };
    /** What spreading adds to the scores, by the numbers of racks and failure domains. */
    struct Penalties {
        const SpreadCounts& counts;
        std::vector<double> racks;
        std::vector<double> failureDomains;
    };
    struct Best {
        const WorkerAllocation* worker = nullptr;
        double score = 0;
    };
    using Numbers = absl::flat_hash_map<std::string, uint32_t>;
    /** Workers are kept by how much of their processors is free, in this many steps. */
    static constexpr size_t bucketCount = 256;

    void refreshRow(size_t index);
    void leaveBucket(size_t index);
    void consider(size_t index, const Resources& demand, PlacementScore&, const Penalties*, Best&) const;
    Penalties penaltiesOf(const SpreadCounts&) const;

    std::vector<WorkerAllocation> m_workers;
    std::vector<Row> m_rows;
    Numbers m_rackNumbers;
    Numbers m_failureDomainNumbers;
    std::vector<std::vector<uint32_t>> m_buckets = std::vector<std::vector<uint32_t>>(bucketCount);
    /** The largest and smallest capacity seen, which bound the share that a demand takes. */
    int64_t m_maxCpuMillis = 1;
    int64_t m_minCpuMillis = std::numeric_limits<int64_t>::max();
    absl::flat_hash_map<std::string, size_t> m_byName;
};

} // namespace cicada
