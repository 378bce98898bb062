#pragma once

/** \file
 * Measured run times compared with the declared estimates of each queue, and the speed of each worker that follows from
 * them. A cell uses them to tell runs that are stuck from runs that are longer than declared, and only where the
 * measurement contradicts the estimates; otherwise the declared ones stand. Nothing is stored: a new owner measures
 * again. RunTimes does the like for the requests of the older interface, by service and profile and without declared
 * estimates that callers rely on.
 */

#include "Clock.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

#include <array>
#include <deque>
#include <string>
#include <vector>

namespace cicada {

/** A run that has ended, beside the estimate of its step. */
struct MeasuredRun {
    absl::string_view queue;
    absl::Duration declared;
    /** From the order to start until the end was reported. */
    absl::Duration measured;
    /** It began from a checkpoint. */
    bool wasRestored = false;
    /** It was stopped, failed, lost its lease, or its start was not observed. */
    bool wasCutShort = false;
};

/** A worker's learnt speed: a median over its latest runs, so that single stragglers do not change it. */
class WorkerSpeed {
public:
    /** Adds the speed of one run relative to its queue's median run. */
    void add(double relative);
    /** 1 is the speed of an average worker, 2 twice that; 1 until `minRuns` runs were measured. */
    double value() const { return m_value; }
    bool isKnown() const { return m_count >= minRuns; }

    static constexpr size_t minRuns = 20;

private:
    static constexpr size_t maxRuns = 40;

    std::array<float, maxRuns> m_latest {};
    size_t m_count = 0;
    size_t m_next = 0;
    double m_value = 1;
};

/** By how much a queue's declared estimates are to be corrected. Both factors are 1 where they stand. */
struct EstimateCorrection {
    bool isContradicted = false;
    /** What the median run takes relative to its declared estimate, on a worker of average speed. */
    double median = 1;
    /** The same for the nine-tenths quantile. */
    double high = 1;
    /** The measured runs in the window. */
    size_t runs = 0;
};

/** What an end changed about its queue, for logs. */
enum class EstimateChange { None, Contradicted, HoldAgain };

/** The measurement of all queues of a cell. Not thread-safe. */
class RunTimeEstimates {
public:
    /** Adds a run that has ended at `now`. `speed` is that of its worker, or null if the run says nothing about it, as
     * with a gang, which is as fast as its slowest member. */
    EstimateChange record(const MeasuredRun&, WorkerSpeed* speed, Instant now);
    /** The correction in force for the queue's estimates. */
    EstimateCorrection correctionOf(absl::string_view queue, Instant now) const;
    size_t queues() const { return m_queues.size(); }

    static constexpr size_t maxQueues = 512;
    static constexpr size_t maxRuns = 400;
    static constexpr absl::Duration window = absl::Seconds(30);
    /** With fewer ends in the window the declared estimates stand. */
    static constexpr size_t minRuns = 50;
    /** The estimates are contradicted when the median ratio is outside these bounds, or the nine-tenths quantile is
     * above `maxHighRatio`. */
    static constexpr double minMedianRatio = 0.67;
    static constexpr double maxMedianRatio = 1.5;
    static constexpr double maxHighRatio = 3;
    /** A measured run time includes the way of the order and of the report; of what exceeds the estimate this much is
     * ascribed to them. Without it, estimates of tens of milliseconds would always be contradicted. */
    static constexpr absl::Duration reportTolerance = absl::Milliseconds(100);

private:
    struct Sample {
        Instant endedAt;
        /** Measured by declared run time, as measured and with the worker's speed taken out. Speeds are learnt from the
         * former: otherwise speeds and factors would follow each other without a bound. */
        float raw;
        float normalized;
    };
    struct Queue {
        std::deque<Sample> samples;
        /** The state that the log shows, and since when. */
        bool isLoggedContradicted = false;
        Instant loggedAt = -absl::InfiniteDuration();
        /** Computed from the samples, and how many were added since. */
        mutable EstimateCorrection correction;
        mutable double rawMedian = 1;
        mutable Instant computedAt = -absl::InfiniteDuration();
        mutable size_t addedSince = 0;
    };

    static void removeOld(Queue&, Instant now);
    static void computeIfDue(const Queue&, Instant now);
    Queue& queueOf(absl::string_view name);
    static EstimateChange changeToLog(Queue&, Instant now);

    absl::flat_hash_map<std::string, Queue> m_queues;
};

} // namespace cicada
