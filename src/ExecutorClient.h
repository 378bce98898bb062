#pragma once

/** \file
 * The executors' contract from the caller's side: run by id, ask by id, stop by id. A run whose connection broke or
 * went silent is settled by asking for its id on a new connection, and never by running it again blindly.
 */

#include "Clock.h"
#include "Dispatcher.h"

#include "absl/types/span.h"

#include <optional>
#include <string>

namespace cicada {

/** How a run ended, as far as this side can know. */
enum class RunEnd {
    /** The executor answered in full. */
    Answered,
    /** The executor did not start it, and will not start it later. */
    NotStarted,
    /** As NotStarted, because somebody had asked the executor to refuse this run. */
    Refused,
    /** It may have run, and its answer can't be had. */
    Unknown,
};

/** What became of a run. `status`, `contentType` and `body` are the executor's, when it answered. */
struct RunResult {
    RunEnd end = RunEnd::Unknown;
    int status = 0;
    std::string contentType;
    std::string body;
    /** Why it did not start or is unknown, for people. */
    std::string reason;
};

/** One run to be started. The views must stay valid during the call. */
struct RunRequest {
    StartGrant grant;
    /** The id under which the executor is to know the run. */
    std::string requestId;
    std::string contentType;
    std::string traceparent;
    const std::string* body = nullptr;
    absl::Duration maxRun = absl::Seconds(600);
};

/** Sends one run and waits for its end. Blocks; thread-safe. Nothing is sent after the grant's startBy. A run that
 * goes on for longer than maxRun is stopped. */
RunResult runOnExecutor(const RunRequest& request, const Clock& clock);

/** Waits for a run that somebody else started `age` ago at most, for `timeout`; starts and stops nothing. */
RunResult joinRun(
    const Endpoint& executor, const std::string& runId, absl::Duration age, absl::Duration timeout, const Clock& clock);

/** What one sweep found. */
struct RunSearch {
    /** Set when an executor runs it or ran it. */
    std::optional<Endpoint> found;
    /** Executors that could not say. */
    size_t unresolved = 0;
};

/** Asks every executor for a run that began `age` ago at most, and has those that do not know it refuse it from now
 * on. Blocks for some seconds at most; thread-safe. */
RunSearch searchRun(absl::Span<const Endpoint> executors, const std::string& runId, absl::Duration age);

} // namespace cicada
