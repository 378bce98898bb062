#pragma once

/** \file
 * Plans which entry should own which group: spread evenly within the group's region, with few moves. Pure functions of
 * the list of members and the current owners, so that all entries compute the same result from the same view.
 */

#include "Membership.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include <cstdint>
#include <string>

namespace cicada {

/** The owner of one group. */
struct OwnershipRow {
    EntryId owner;
    /** Grows with each change of owner. */
    uint64_t epoch = 0;
    /** The region of the group's back ends; empty when any region will do. */
    std::string region;
};

using OwnershipRows = absl::btree_map<std::string, OwnershipRow>;
/** New owners by group. */
using OwnershipMoves = absl::btree_map<std::string, EntryId>;
/** The region of each group that should have an owner. */
using GroupRegions = absl::btree_map<std::string, std::string>;

/** Owners for the groups that have none, or whose owner has ended. Empty when no entry is live. */
OwnershipMoves planUnownedGroups(const OwnershipRows&, const GroupRegions& groups, const Membership&);

/** The groups that `self` should hand over: groups of another region in which a live entry could own them, and its
 * surplus where it owns at least two more than the entry with the fewest. When `self` is stopping: all its groups. */
OwnershipMoves planHandovers(const OwnershipRows&, const Membership&, const EntryId& self);

} // namespace cicada
