#pragma once

/** \file
 * A load plan for cicada-call, read from a JSON file: a weighted mix of request kinds, an arrival rate, and optionally
 * an interval in which the rate changes. All requests of a plan are generated from a seed before the first one is sent.
 */

#include "Error.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicada {

/** One kind of request in the mix. */
struct LoadKind {
    std::string name;
    std::string service;
    std::string profile;
    /** Weight of this kind in the mix. */
    double share = 1;
    /** How long the stand-in executor works on a request, in milliseconds. */
    int64_t workMs = 10;
    /** Share of requests that are stragglers, and the factor by which these run longer. */
    double stragglerShare = 0;
    int64_t stragglerFactor = 50;
    int64_t bodyBytes = 100;
    /** Whether a request that got no response, or was rejected by a stopping entry, is resent with the same id to the
     * next entry. */
    bool retry = false;
};

/** The mix, rate and duration of a load. */
struct LoadPlan {
    std::vector<LoadKind> kinds;
    /** Mean arrival rate in requests per second. */
    double rate = 100;
    absl::Duration duration = absl::Seconds(5);
    /** From `swingFrom` until `swingTo`, measured from the start, the rate is multiplied by `swingFactor`. */
    double swingFactor = 1;
    absl::Duration swingFrom;
    absl::Duration swingTo;
};

/** Parses and validates a plan. */
Result<LoadPlan> parseLoadPlan(absl::string_view json);

/** One request of a load. The same seed repeats the times, kinds and work of all requests exactly. */
struct PlannedRequest {
    /** When to send it, measured from the start of the load. */
    absl::Duration sendOffset;
    size_t kind = 0;
    int64_t workMs = 0;
    std::string id;
};

/** Generates all requests of the plan in order of time, with exponentially distributed intervals between them. */
std::vector<PlannedRequest> generateRequests(const LoadPlan& plan, uint64_t seed);

} // namespace cicada
