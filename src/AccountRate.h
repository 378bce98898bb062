#pragma once

/** \file
 * Decides which jobs of a client account are within the rate up to which it is owed service. Jobs beyond it are
 * *excess*: they get capacity that no other work needs. The decision is made once, on acceptance, and kept
 * with the job, so that its order does not depend on which entry owns its cell.
 */

#include "Clock.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <string>

namespace cicada {

/** A token bucket for each account, in one cell. It holds the jobs of one second, and at least one job; rate and burst
 * of an account are divided by the number of cells, as its jobs are. Used on the decision thread only. */
class AccountRate {
public:
    explicit AccountRate(uint32_t cells)
        : m_cells(cells)
    {
    }

    /** Whether a job of the account that is accepted now is excess. `weight` is in jobs a second, in all cells. */
    bool isExcess(const std::string& account, double weight, Instant now) const;
    /** Counts a job that is accepted now; returns whether it is excess. */
    bool recordAccepted(const std::string& account, double weight, Instant now);

private:
    struct Bucket {
        double tokens = 0;
        Instant filledAt;
    };

    double tokensOf(const std::string& account, double weight, Instant now) const;

    const double m_cells;
    /** The accounts of which a job has been accepted; a full bucket for all others. */
    absl::flat_hash_map<std::string, Bucket> m_buckets;
};

} // namespace cicada
