#pragma once

/** \file
 * Which entries guard which. Every entry computes it from the list of members and comes to the same result.
 */

#include "Membership.h"

namespace cicada {

constexpr size_t maxGuardians = 2;

/** The guardians that `self` should have among `members`, sorted: up to two live entries, in other failure domains
 * than its own and each other's as far as there are any. Two entries guard each other only when it can't be avoided:
 * if both died at once, neither could be ended before one of them is back. */
std::vector<EntryId> chooseGuardians(absl::string_view self, absl::Span<const Member> members);

} // namespace cicada
