#pragma once

/** \file
 * The recent owners of each cell, as the cells' rows show them. Each change of owner costs the new one the loading of
 * the cell and discards what the old one had in memory, so a cell that has changed owners moves by choice only after a
 * stay that doubles with each recent change, and not back to an entry that has given it up while it was running.
 */

#include "Clock.h"
#include "EntryRecord.h"

#include "absl/container/flat_hash_map.h"

#include <vector>

namespace cicada {

/** Used on the decision thread only. */
class OwnerHistory {
public:
    /** Records the owner that a cell's row names. Call it for each new row that names one. */
    void record(uint32_t cell, const EntryRecord& owner, Instant now);
    /** Whether the cell has been with its owner for long enough to move by choice. */
    bool mayMove(uint32_t cell, Instant now) const;
    /** Whether this process of the entry owned the cell and gave it up a short time ago. */
    bool hasGivenUp(uint32_t cell, const EntryRecord& entry, Instant now) const;

    /** The stay after one change of owner. */
    static constexpr absl::Duration minStay = absl::Seconds(3);
    static constexpr absl::Duration maxStay = absl::Seconds(48);

private:
    struct Term {
        EntryRecord owner;
        Instant since;
    };

    /** The current term and the recent former ones of each cell, oldest first. */
    absl::flat_hash_map<uint32_t, std::vector<Term>> m_terms;
};

} // namespace cicada
