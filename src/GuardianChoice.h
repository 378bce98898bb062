#pragma once

/** \file
 * Chooses which entries guard which. Every entry computes the choice from the list of members, with the same result.
 */

#include "Membership.h"

namespace cicada {

constexpr size_t maxGuardians = 2;

/** The guardians that `self` should have among `members`, sorted: up to two live entries, if possible in failure
 * domains that differ from its own and from each other. Two entries guard each other only when it can't be avoided: if
 * both failed at the same time, neither could be ended before one of them has restarted. */
std::vector<EntryId> chooseGuardians(absl::string_view self, absl::Span<const Member> members);

} // namespace cicada
