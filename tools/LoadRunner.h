#pragma once

/** \file
 * Sends a planned load from many threads at its planned times and sums up what came back. Latency is counted from the
 * planned time, so that a slow system can't hide by slowing its callers.
 */

#include "LoadPlan.h"
#include "Settings.h"

#include "absl/types/span.h"

#include <string>
#include <vector>

namespace cicada {

/** What became of one request of the load. */
struct LoadResult {
    size_t kind = 0;
    std::string id;
    /** "ran", "not-run", "unknown", or "none" when no entry answered. */
    std::string outcome = "none";
    int status = 0;
    /** From the planned time to the end of the answer. */
    absl::Duration latency;
    int attempts = 0;
    /** How many attempts were cut off after they had been sent. */
    int interruptedAttempts = 0;
    /** The answer was not the echo of this request's own body. */
    bool wrongResponse = false;
};

/** How the load is sent. */
struct LoadOptions {
    std::vector<Endpoint> entries;
    /** The most requests under way at once. */
    int concurrency = 200;
    /** Whether answers must be the echo of their requests. */
    bool verifyEcho = false;
    int maxAttempts = 5;
    /** The entries are executors that are called directly, to measure what the entries add. */
    bool direct = false;
};

/** Sends all requests; blocks until each has its result. */
std::vector<LoadResult> runLoad(
    const LoadPlan& plan, absl::Span<const PlannedRequest> requests, const LoadOptions& options);

/** A readable table: for each kind the outcomes and the percentiles of those that ran. */
std::string summarizeAsTable(const LoadPlan& plan, absl::Span<const LoadResult> results);
/** The same as JSON. */
std::string summarizeAsJson(const LoadPlan& plan, absl::Span<const LoadResult> results);

} // namespace cicada
