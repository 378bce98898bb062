#pragma once

/** \file
 * Explains a profile in plain sentences: what the system will do with a request of that kind in each case.
 */

#include "Profile.h"
#include "RunTimes.h"

#include "absl/types/span.h"

#include <string>
#include <vector>

namespace cicada {

/** The observed run times of a profile on one service. */
struct ObservedRuns {
    std::string service;
    RunEstimate estimate;
};

/** The explanation, with one case per line. `observed` may be empty. */
std::string explainProfile(const Profile& profile, absl::Span<const ObservedRuns> observed);

} // namespace cicada
