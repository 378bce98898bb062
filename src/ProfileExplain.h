#pragma once

/** \file
 * A profile in plain sentences: what the system will do with a request of that kind in each case.
 */

#include "Profile.h"
#include "RunTimes.h"

#include "absl/types/span.h"

#include <string>
#include <vector>

namespace cicada {

/** What was learnt of a profile's runs on one service. */
struct ObservedRuns {
    std::string service;
    RunEstimate estimate;
};

/** The explanation, one case a line. `observed` may be empty. */
std::string explainProfile(const Profile& profile, absl::Span<const ObservedRuns> observed);

} // namespace cicada
