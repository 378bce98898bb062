#pragma once

/** \file
 * Processes one request at this entry, on the thread of its caller's connection: executes the steps that the Settlement
 * decides, and traces them.
 */

#include "ClaimsClient.h"
#include "ClaimsExecutors.h"
#include "Dispatcher.h"
#include "EventLoop.h"
#include "ExecutorClient.h"
#include "Metrics.h"
#include "Outcome.h"
#include "ProfileRegistry.h"
#include "RetryBudget.h"
#include "Settlement.h"
#include "Trace.h"

#include <memory>
#include <optional>
#include <string>

namespace cicada {

/** A request as the caller sent it. */
struct CallerRequest {
    std::string service;
    std::string profile;
    /** The Idempotency-Key; empty when the caller gave none. */
    std::string id;
    std::string contentType;
    std::string traceparent;
    const std::string* body = nullptr;
};

/** The response to a caller. */
struct CallerResponse {
    Outcome outcome = Outcome::NotRun;
    /** The executor's HTTP status, set if the executor responded. */
    int status = 0;
    std::string contentType;
    std::string body;
    /** Set if the executor did not respond. */
    std::optional<Error> error;
    std::string requestId;
};

/** Processes requests from their arrival to their outcome. Thread-safe; each call blocks until the outcome is known. */
class RequestHandler {
public:
    struct Parts {
        EventLoop& loop;
        const Clock& clock;
        ProfileRegistry& profiles;
        Dispatcher& dispatcher;
        SpanWriter& spans;
        Metrics& metrics;
        ClaimsClient& claims;
        const ClaimsExecutors& executors;
    };

    /** Everything in `parts` must outlive the handler. */
    explicit RequestHandler(Parts parts);

    CallerResponse handle(const CallerRequest& request);

private:
    /** The data that the steps of one request need. */
    struct RequestContext {
        const CallerRequest& request;
        const WorkItem& item;
        const TraceContext& parent;
        Settlement& settlement;
    };
    /** A request in flight at this entry. Concurrent requests with the same id join it. */
    struct InFlightRequest;

    Result<Profile> lookUpProfile(const std::string& name);
    CallerResponse handleOnce(const CallerRequest&, const WorkItem&, const TraceContext&);
    CallerResponse runSettlement(const CallerRequest&, const WorkItem&, const TraceContext&);
    void performStep(RequestContext& context);
    void claim(RequestContext& context);
    void locate(RequestContext& context);
    void place(RequestContext& context);
    void run(RequestContext& context);
    void join(RequestContext& context);
    void scan(RequestContext& context);
    void finish(const Settlement&);
    void reportRunEnd(const StartGrant& grant, const RunReport& report);

    Parts m_parts;
    absl::Mutex m_mutex;
    absl::flat_hash_map<std::string, std::shared_ptr<InFlightRequest>> m_inFlight ABSL_GUARDED_BY(m_mutex);
    RetryBudget m_retryBudget ABSL_GUARDED_BY(m_mutex);
};

} // namespace cicada
