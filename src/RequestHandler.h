#pragma once

/** \file
 * The way of one request through this entry, step by step on the thread of its caller's connection: profile, place,
 * run, outcome.
 */

#include "Dispatcher.h"
#include "ExecutorClient.h"
#include "Loop.h"
#include "Metrics.h"
#include "Outcome.h"
#include "ProfileBook.h"
#include "Trace.h"

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
        Loop& loop;
        const Clock& clock;
        ProfileBook& profiles;
        Dispatcher& dispatcher;
        SpanWriter& spans;
        Metrics& metrics;
    };

    /** Everything in `parts` must outlive the handler. */
    explicit RequestHandler(Parts parts);

    CallerAnswer handle(const CallerRequest& request);

private:
    Result<Profile> lookUpProfile(const std::string& name);
    Result<StartGrant> place(const WorkItem& item);
    CallerAnswer runPlaced(const CallerRequest&, const WorkItem&, const TraceContext&);
    void giveBack(const StartGrant& grant, const RunReport& report);

    Parts m_parts;
};

} // namespace cicada
