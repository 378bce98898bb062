#pragma once

/** \file
 * What a counted load sends: kinds of requests with their shares, a rate, and a swing. Read from a JSON file.
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
    /** Its weight among the kinds. */
    double share = 1;
    /** How long the stand-in executor works on it, in milliseconds. */
    int64_t workMs = 10;
    /** A share of stragglers, and by how much they run longer. */
    double stragglerShare = 0;
    int64_t stragglerFactor = 50;
    int64_t bodyBytes = 100;
    /** Whether a request without an answer is sent again, with the same id, to the next entry. */
    bool retry = false;
};

/** A whole load. */
struct LoadPlan {
    std::vector<LoadKind> kinds;
    /** Requests a second. */
    double rate = 100;
    absl::Duration duration = absl::Seconds(5);
    /** Between these times from the start the rate is multiplied by `swingFactor`. */
    double swingFactor = 1;
    absl::Duration swingFrom;
    absl::Duration swingTo;
};

/** Reads and checks a plan. */
Result<LoadPlan> parseLoadPlan(absl::string_view json);

/** One request of the load, decided in advance so that a seed repeats it exactly. */
struct PlannedRequest {
    /** When to send it, from the start. */
    absl::Duration sendOffset;
    size_t kind = 0;
    int64_t workMs = 0;
    std::string id;
};

/** All requests of the plan in order of time: arrivals at random, exponentially spaced. */
std::vector<PlannedRequest> generateRequests(const LoadPlan& plan, uint64_t seed);

} // namespace cicada
