#pragma once

/** \file
 * Which entry should own which group: spread evenly within the group's region, with few moves. Pure functions of the
 * list of members and the present owners, so that all entries come to the same result from the same view.
 */

#include "Membership.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include <cstdint>
#include <string>

namespace cicada {

/** Who owns one group. */
struct OwnershipRow {
    EntryId owner;
    /** Grows with each change of owner. */
    uint64_t epoch = 0;
    /** Where the group's back ends are; empty when that doesn't matter. */
    std::string region;
};

using OwnershipRows = absl::btree_map<std::string, OwnershipRow>;
/** New owners by group. */
using OwnershipMoves = absl::btree_map<std::string, EntryId>;
/** The region of each group that should have an owner. */
using GroupRegions = absl::btree_map<std::string, std::string>;

/** Owners for the groups that have none, or whose owner is gone. Empty when no entry is live. */
OwnershipMoves planUnownedGroups(const OwnershipRows&, const GroupRegions& groups, const Membership&);

/** The groups that `self` should hand to others: those outside of its region that an entry there could own, and, where
 * it owns at least two more than the one with the fewest, its surplus. When `self` is stopping: all. */
OwnershipMoves planHandovers(const OwnershipRows&, const Membership&, const EntryId& self);

} // namespace cicada
