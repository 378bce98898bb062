#pragma once

/** \file
 * Chooses the worker for a task, from an exact ledger of the allocations on each worker and with interchangeable scores
 * of how well a task fits. A worker is never allocated more than its declared capacity, whatever usage its tasks
 * report.
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

/** Rates how well a task fits on a worker. */
class PlacementScore {
public:
    virtual ~PlacementScore() = default;
    virtual absl::string_view name() const = 0;
    /** Lower is better; among equal scores the first worker is chosen. Requires that `demand` fits into `free`. */
    virtual double score(const Resources& free, const Resources& capacity, const Resources& demand) = 0;
    /** A lower bound on the score of every worker that would have at least `cpuLeft` of its processors left, as a share
     * from 0 to 1; the search ends where it exceeds the best score found. Nothing if the score has no such bound. */
    virtual std::optional<double> lowerBound(double cpuLeft) const
    {
        (void)cpuLeft;
        return std::nullopt;
    }
};

/** Creates a score by name: "best-fit", or one of the baselines "first-fit", "worst-fit" and "random". Null for other
 * names. */
std::unique_ptr<PlacementScore> makePlacementScore(absl::string_view name, uint64_t seed = 1);

/** The capacity and allocations of one worker. */
struct WorkerAllocation {
    std::string name;
    std::string rack;
    std::string failureDomain;
    Resources capacity;
    Resources used;
    /** False for workers that have a planned stop, are suspended or are unresponsive: they take no new tasks. */
    bool usable = false;
};

/** Counts of a job's tasks by worker, rack and failure domain, for spreading them. */
struct SpreadCounts {
    absl::flat_hash_map<std::string, int> workers;
    absl::flat_hash_map<std::string, int> racks;
    absl::flat_hash_map<std::string, int> failureDomains;

    void add(const WorkerAllocation& worker);
};

/** The exact ledger of the allocations on all workers of this entry. Not thread-safe. */
class WorkerLedger {
public:
    /** Adds a worker, or updates everything about it except its allocations. */
    void upsert(const WorkerAllocation& worker);
    void remove(absl::string_view name);
    const WorkerAllocation* find(absl::string_view name) const;
    void setUsable(absl::string_view name, bool usable);
    /** Allocates capacity whether or not it is free, because recovered tasks already run. */
    void take(absl::string_view name, const Resources& demand);
    void give(absl::string_view name, const Resources& demand);
    /** Returns the best worker with free capacity for `demand`, or null. `spread` is null for tasks that are not
     * spread. */
    const WorkerAllocation* choose(const Resources& demand, PlacementScore& score, const SpreadCounts* spread) const;
    /** The total free capacity of all usable workers. */
    Resources freeTotal() const;
    const std::vector<WorkerAllocation>& all() const { return m_workers; }

private:
    /** The data of a worker that a search reads, kept together so that it stays in the processor's cache. */
    struct Row {
        Resources free;
        Resources capacity;
        bool usable = false;
        /** The numbers of the rack and the failure domain, which spare a search the look-up of names. */
        uint32_t rack = 0;
        uint32_t failureDomain = 0;
        size_t bucket = 0;
        /** The index of the worker in its bucket. */
        size_t place = 0;
    };
    /** The penalties that spreading adds to the scores, by the numbers of racks and failure domains. */
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
    /** The number of buckets into which workers are sorted by the free share of their processors. */
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
    /** The largest and smallest processor capacity seen, which bound the share that a demand takes. */
    int64_t m_maxCpuMillis = 1;
    int64_t m_minCpuMillis = std::numeric_limits<int64_t>::max();
    absl::flat_hash_map<std::string, size_t> m_byName;
};

} // namespace cicada
