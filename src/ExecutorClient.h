#pragma once

/** \file
 * The caller's side of the executor protocol: start a run by id, query it by id, stop it by id. A run whose connection
 * broke or became unresponsive is resolved by querying its id on a new connection, and never by running it again
 * blindly.
 */

#include "Clock.h"
#include "Dispatcher.h"

#include "absl/types/span.h"

#include <optional>
#include <string>

namespace cicada {

/** How a run ended, as far as the caller can determine. */
enum class RunEnd {
    /** The whole response of the executor was received. */
    Answered,
    /** The executor did not start it, and will not start it later. */
    NotStarted,
    /** As NotStarted, because another entry had requested that the executor refuse this run. */
    Refused,
    /** It may have run, and its response is not available. */
    Unknown,
};

/** The result of a run. `status`, `contentType` and `body` are those of the executor's response, if there was one. */
struct RunResult {
    RunEnd end = RunEnd::Unknown;
    int status = 0;
    std::string contentType;
    std::string body;
    /** A human-readable reason why it did not start or is unknown. */
    std::string reason;
};

/** One run to start. `body` must stay valid during the call. */
struct RunRequest {
    StartGrant grant;
    /** The id under which the run is sent to the executor. */
    std::string requestId;
    std::string contentType;
    std::string traceparent;
    const std::string* body = nullptr;
    absl::Duration maxRun = absl::Seconds(600);
};

/** Sends one run and blocks until it ends; thread-safe. Sends nothing after the grant's startBy. A run that takes
 * longer than maxRun is stopped. */
RunResult runOnExecutor(const RunRequest& request, const Clock& clock);

/** Waits at most `timeout` for a run that another entry started at most `age` ago; starts and stops nothing. */
RunResult joinRun(
    const Endpoint& executor, const std::string& runId, absl::Duration age, absl::Duration timeout, const Clock& clock);

/** The result of one search. */
struct RunSearch {
    /** Set if an executor is running it or has run it. */
    std::optional<Endpoint> found;
    /** The number of executors that could not tell whether they know the run. */
    size_t unresolved = 0;
};

/** Queries every executor for a run that began at most `age` ago, and makes those that do not know it refuse it from
 * now on. Blocks for a few seconds at most; thread-safe. */
RunSearch searchRun(absl::Span<const Endpoint> executors, const std::string& runId, absl::Duration age);

} // namespace cicada
