#pragma once

/** \file
 * Sends the requests of a load plan from a pool of threads at their planned times and summarizes the results. Latency
 * is measured from the planned time, not from the actual send, so that requests which a slow system delays at the
 * caller count in full (no coordinated omission).
 */

#include "LoadPlan.h"
#include "Settings.h"

#include "absl/types/span.h"

#include <string>
#include <vector>

namespace cicada {

/** The result of one request of the load. */
struct LoadResult {
    size_t kind = 0;
    std::string id;
    /** "ran", "not-run" or "unknown", or "none" if no entry responded. */
    std::string outcome = "none";
    int status = 0;
    /** From the planned send time to the end of the response. */
    absl::Duration latency;
    int attempts = 0;
    /** Number of attempts that were interrupted after they had been sent. */
    int interruptedAttempts = 0;
    /** The response was not the echo of this request's body. */
    bool wrongResponse = false;
};

/** How the load is sent. */
struct LoadOptions {
    std::vector<Endpoint> entries;
    /** Maximum number of requests in flight. */
    int concurrency = 200;
    /** Whether each response must be the echo of its request. */
    bool verifyEcho = false;
    int maxAttempts = 5;
    /** `entries` lists executors, which are called directly to measure the overhead that entries add. */
    bool direct = false;
};

/** Sends all requests and blocks until each of them has a result. */
std::vector<LoadResult> runLoad(
    const LoadPlan& plan, absl::Span<const PlannedRequest> requests, const LoadOptions& options);

/** Formats a table that lists, for each kind, the outcomes and the latency percentiles of the requests that ran. */
std::string summarizeAsTable(const LoadPlan& plan, absl::Span<const LoadResult> results);
/** Formats the same summary as JSON. */
std::string summarizeAsJson(const LoadPlan& plan, absl::Span<const LoadResult> results);

} // namespace cicada
