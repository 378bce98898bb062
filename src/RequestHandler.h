#pragma once

/** \file
 * The way of one request through this entry, on the thread of its caller's connection: it carries out the steps that
 * the Settlement decides, and traces them.
 */

#include "ClaimsClient.h"
#include "ClaimsExecutors.h"
#include "Dispatcher.h"
#include "EventLoop.h"
#include "ExecutorClient.h"
#include "Metrics.h"
#include "Outcome.h"
#include "ProfileBook.h"
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

/** What the caller gets back. */
struct CallerAnswer {
    Outcome outcome = Outcome::NotRun;
    /** Set when the executor answered. */
    int status = 0;
    std::string contentType;
    std::string body;
    /** Set when it did not. */
    std::optional<Error> error;
    std::string requestId;
};

/** Takes requests from their arrival to their outcome. Thread-safe; each call blocks until the outcome is known. */
class RequestHandler {
public:
    struct Parts {
        EventLoop& loop;
        const Clock& clock;
        ProfileBook& profiles;
        Dispatcher& dispatcher;
        SpanWriter& spans;
        Metrics& metrics;
        ClaimsClient& claims;
        const ClaimsExecutors& executors;
    };

    /** Everything in `parts` must outlive the handler. */
    explicit RequestHandler(Parts parts);

    CallerAnswer handle(const CallerRequest& request);

private:
    /** What the steps of one request need. */
    struct Flow {
        const CallerRequest& request;
        const WorkItem& item;
        const TraceContext& parent;
        Settlement& settlement;
    };
    /** A request that is under way here, for those with the same id to join. */
    struct Running;

    Result<Profile> lookUpProfile(const std::string& name);
    CallerAnswer handleOnce(const CallerRequest&, const WorkItem&, const TraceContext&);
    CallerAnswer settle(const CallerRequest&, const WorkItem&, const TraceContext&);
    void carryOut(Flow& flow);
    void claim(Flow& flow);
    void locate(Flow& flow);
    void place(Flow& flow);
    void run(Flow& flow);
    void join(Flow& flow);
    void sweep(Flow& flow);
    void finish(const Settlement&);
    void giveBack(const StartGrant& grant, const RunReport& report);

    Parts m_parts;
    absl::Mutex m_mutex;
    absl::flat_hash_map<std::string, std::shared_ptr<Running>> m_running ABSL_GUARDED_BY(m_mutex);
    RetryBudget m_budget ABSL_GUARDED_BY(m_mutex);
};

} // namespace cicada
