#pragma once

/** \file
 * Estimates of run times. Declared run times are often far off, so the estimate of each kind of work follows its
 * observed runs: a decaying histogram for each service and profile, with a fixed number of bytes for each kind and a
 * bounded number of kinds.
 */

#include "Clock.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cicada {

/** A histogram of durations from 1 ms to days, in which older entries decay. */
class DurationHistogram {
public:
    void add(absl::Duration value);
    /** The number of values, after decay. */
    double count() const { return m_count; }
    /** The `q` quantile of the values, accurate to a tenth; zero if there are none. */
    absl::Duration quantile(double q) const;
    /** The mean of the values up to the 95th percentile, which excludes stragglers. */
    absl::Duration trimmedMean() const;

private:
    static constexpr size_t bucketCount = 128;
    /** All counts are halved when the number of values reaches this. */
    static constexpr double decayThreshold = 512;

    static size_t bucketOf(absl::Duration value);
    static absl::Duration midpointOf(size_t bucket);
    size_t bucketAt(double q) const;

    std::array<float, bucketCount> m_buckets {};
    /** The sum of the values in each bucket, in milliseconds; the midpoint of a bucket would be up to a tenth off. */
    std::array<float, bucketCount> m_sums {};
    double m_count = 0;
};

/** The estimate for one kind of work. */
struct RunEstimate {
    /** The typical run time, excluding stragglers. */
    absl::Duration typical;
    absl::Duration p95;
    /** A run that takes longer than this is suspected to be a straggler. */
    absl::Duration suspectAfter;
    /** The number of runs that the estimate is based on; 0 if only the declared time is known. */
    double runs = 0;
};

/** Run times by service and profile. Used on the decision thread only. */
class RunTimes {
public:
    /** Records a run that ended. */
    void recordRun(absl::string_view service, absl::string_view profile, absl::Duration runTime, Instant now);
    /** The estimate for a kind of work: the declared time before any run, the observed times after `minTrustedRuns`
     * runs, and a blend of the two in between. */
    RunEstimate estimate(absl::string_view service, absl::string_view profile, absl::Duration declared) const;
    /** The services on which runs of the profile were seen. */
    std::vector<std::string> servicesOf(absl::string_view profile) const;
    size_t kinds() const { return m_kinds.size(); }

    static constexpr size_t maxKinds = 1024;
    static constexpr double minTrustedRuns = 8;
    /** A run is suspected to be a straggler when it takes this many times the 95th percentile of its kind. */
    static constexpr double stragglerFactor = 2;

private:
    struct Kind {
        DurationHistogram histogram;
        Instant lastRun;
    };

    void evictOldest();

    absl::flat_hash_map<std::pair<std::string, std::string>, Kind> m_kinds;
};

} // namespace cicada
