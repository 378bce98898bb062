#pragma once

/** \file
 * What the run allocations of each client account hold in one cell. The sums are kept with each allocation and release,
 * as adding up all allocations in every placement round would take too much of an entry's processor.
 */

#include "BackEnds.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

#include <string>

namespace cicada {

/** Allocation sums by account. Runs without an account are not counted. Not thread-safe. */
class AccountUsage {
public:
    struct Total {
        Resources allocated;
        size_t runs = 0;
    };

    /** Counts a run of the job to which capacity is allocated; does nothing for the empty account. */
    void add(const std::string& account, const std::string& job, const Resources& demand);
    /** Takes back one add() with the same arguments. */
    void remove(const std::string& account, const std::string& job, const Resources& demand);

    Resources allocatedTo(absl::string_view account) const;
    /** The number of counted runs of the job. */
    size_t runsOf(absl::string_view job) const;
    /** How many tasks with this demand the account may start while its limit is this one; a field of the limit may be
     * `unlimitedAmount`. */
    uint64_t startable(absl::string_view account, const Resources& limit, const Resources& demand) const;
    /** Accounts that hold capacity. */
    const absl::flat_hash_map<std::string, Total>& totals() const { return m_totals; }

private:
    absl::flat_hash_map<std::string, Total> m_totals;
    absl::flat_hash_map<std::string, size_t> m_runsByJob;
};

} // namespace cicada
