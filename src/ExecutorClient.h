#pragma once

/** \file
 * The executors' contract from the caller's side: run by id, ask by id, stop by id. A run whose connection broke or
 * went silent is settled by asking for its id on a new connection, and never by running it again blindly.
 */

#include "Clock.h"
#include "Dispatcher.h"

#include <string>

namespace cicada {

/** How a run ended, as far as this side can know. */
enum class RunEnd {
    /** The executor answered in full. */
    Answered,
    /** The executor refused or stopped it before it started, and will not start it later. */
    NotStarted,
    /** The executor can't be reached and may have run it. */
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
    std::string requestId;
    std::string contentType;
    std::string traceparent;
    const std::string* body = nullptr;
    absl::Duration maxRun = absl::Seconds(600);
};

/** Sends one run and waits for its end. Blocks; thread-safe. Nothing is sent after the grant's startBy. */
RunResult runOnExecutor(const RunRequest& request, const Clock& clock);

/** Asks for a run by id on a new connection, waiting until it ends, at most `patience`. A run that the executor has
 * not started is stopped there first, so that NotStarted is final. */
RunResult settleRun(const Endpoint& executor, const std::string& requestId, absl::Duration patience, const Clock&);

} // namespace cicada
