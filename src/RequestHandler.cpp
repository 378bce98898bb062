#include "RequestHandler.h"

#include "Uuid.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"

#include <glog/logging.h>
#include <xxhash.h>

namespace cicada {

namespace {

    CallerResponse errorResponse(const std::string& id, Error error)
    {
        CallerResponse response;
        response.requestId = id;
        response.error = std::move(error);
        return response;
    }

    CallerResponse toCallerResponse(const std::string& id, const SettlementResult& result)
    {
        CallerResponse response;
        response.requestId = id;
        response.outcome = result.outcome;
        response.error = result.error;
        response.status = result.runResult.status;
        response.contentType = result.runResult.contentType;
        response.body = result.runResult.body;
        return response;
    }

    RunVerdict toRunVerdict(const RunResult& result)
    {
        constexpr int firstServerError = 500;
        if (result.end == RunEnd::Unknown)
            return RunVerdict::Unsettled;
        if (result.end != RunEnd::Answered)
            return RunVerdict::NotStarted;
        return result.status >= firstServerError ? RunVerdict::Failed : RunVerdict::Succeeded;
    }

    Result<std::string> requestId(const CallerRequest& request, const Profile& profile)
    {
        if (request.id.empty() && profile.mayRunTwice)
            return randomUuid();
        if (request.id.empty())
            return Error { ErrorKind::InvalidRequest,
                absl::StrCat("Profile '", profile.name, "' does not allow running twice, so the request needs an id."),
                "Send a UUID in the Idempotency-Key header, the same one on each retry." };
        if (!isUuid(request.id))
            return Error { ErrorKind::InvalidRequest, "The Idempotency-Key is not a UUID.",
                "Send a UUID such as 123e4567-e89b-12d3-a456-426614174000." };
        return absl::AsciiStrToLower(request.id);
    }

    uint64_t fingerprint(const WorkItem& item)
    {
        const std::string text = absl::StrCat(item.service, "/", item.profile.name);
        return XXH3_64bits(text.data(), text.size());
    }

    /** Passes one result from the decision thread to the thread that waits for it. */
    template <typename T> struct PendingResult {
        absl::Notification done;
        T value;
    };

} // namespace

struct RequestHandler::InFlightRequest {
    uint64_t fingerprint = 0;
    absl::Notification done;
    CallerResponse response;
};

RequestHandler::RequestHandler(Parts parts)
    : m_parts(parts)
{
}

CallerResponse RequestHandler::handle(const CallerRequest& request)
{
    SpanTimer entrySpan(m_parts.spans, m_parts.clock, parseTraceparent(request.traceparent), "entry");
    entrySpan.attribute("service", request.service);
    auto profile = lookUpProfile(request.profile);
    if (!profile)
        return errorResponse(request.id, profile.error());
    auto id = requestId(request, profile.value());
    if (!id)
        return errorResponse(request.id, id.error());
    entrySpan.attribute("request.id", id.value());
    const Instant start = m_parts.clock.now();
    CallerResponse response = handleOnce(request,
        WorkItem { id.value(), request.service, profile.value(), request.body->size(), start }, entrySpan.context());
    const std::string labels
        = absl::StrCat("{profile=\"", request.profile, "\",outcome=\"", outcomeName(response.outcome), "\"}");
    m_parts.metrics.count(absl::StrCat("cicada_requests_total", labels));
    m_parts.metrics.observe(
        absl::StrCat("cicada_request_seconds", labels), absl::ToDoubleSeconds(m_parts.clock.now() - start));
    entrySpan.attribute("outcome", std::string(outcomeName(response.outcome)));
    VLOG(1) << "request trace=" << entrySpan.context().traceId << " id=" << id.value() << " service=" << request.service
            << " profile=" << request.profile << " outcome=" << outcomeName(response.outcome);
    return response;
}

CallerResponse RequestHandler::handleOnce(
    const CallerRequest& request, const WorkItem& item, const TraceContext& parent)
{
    auto own = std::make_shared<InFlightRequest>();
    own->fingerprint = fingerprint(item);
    std::shared_ptr<InFlightRequest> existing;
    {
        absl::MutexLock lock(&m_mutex);
        existing = m_inFlight.try_emplace(item.requestId, own).first->second;
    }
    if (existing != own && existing->fingerprint != own->fingerprint) {
        CallerResponse response = errorResponse(item.requestId,
            { ErrorKind::DuplicateRequest, "The id was already used by another request, which may have run.",
                "Use a new UUID for each request, and the same one only for its retries." });
        response.outcome = Outcome::Unknown;
        return response;
    }
    if (existing != own) {
        SpanTimer joinSpan(m_parts.spans, m_parts.clock, parent, "join");
        existing->done.WaitForNotification();
        return existing->response;
    }
    own->response = runSettlement(request, item, parent);
    {
        absl::MutexLock lock(&m_mutex);
        m_inFlight.erase(item.requestId);
    }
    own->done.Notify();
    return own->response;
}

CallerResponse RequestHandler::runSettlement(
    const CallerRequest& request, const WorkItem& item, const TraceContext& parent)
{
    Settlement settlement(item.requestId, item.profile, m_parts.clock.now());
    {
        absl::MutexLock lock(&m_mutex);
        m_retryBudget.recordFirstAttempt(m_parts.clock.now());
    }
    RequestContext context { request, item, parent, settlement };
    while (settlement.step().kind != StepKind::Done)
        performStep(context);
    finish(settlement);
    return toCallerResponse(item.requestId, settlement.result());
}

void RequestHandler::performStep(RequestContext& context)
{
    switch (context.settlement.step().kind) {
    case StepKind::Claim:
        return claim(context);
    case StepKind::Locate:
        return locate(context);
    case StepKind::Place:
        return place(context);
    case StepKind::Run:
        return run(context);
    case StepKind::Join:
        return join(context);
    case StepKind::Scan:
        return scan(context);
    case StepKind::Wait:
        absl::SleepFor(context.settlement.step().until - m_parts.clock.now());
        return context.settlement.waited(m_parts.clock.now());
    case StepKind::Done:
        return;
    }
}

void RequestHandler::claim(RequestContext& context)
{
    SpanTimer span(m_parts.spans, m_parts.clock, context.parent, "claim");
    auto pending = std::make_shared<PendingResult<ClaimResult>>();
    const Step& step = context.settlement.step();
    ClaimSpec spec { context.item.requestId, fingerprint(context.item), step.supersedes, step.until,
        context.item.profile.maxWait };
    m_parts.loop.postBlocking([this, pending, spec] {
        m_parts.claims.claim(spec, [pending](const ClaimResult& result) {
            pending->value = result;
            pending->done.Notify();
        });
    });
    pending->done.WaitForNotification();
    context.settlement.claimed(pending->value, m_parts.clock.now());
}

void RequestHandler::locate(RequestContext& context)
{
    auto pending = std::make_shared<PendingResult<Location>>();
    const HeldClaim held = context.settlement.step().held;
    m_parts.loop.postBlocking([this, pending, held, id = context.item.requestId] {
        m_parts.claims.locate(id, held, [pending](const Location& location) {
            pending->value = location;
            pending->done.Notify();
        });
    });
    pending->done.WaitForNotification();
    context.settlement.located(pending->value, m_parts.clock.now());
}

void RequestHandler::place(RequestContext& context)
{
    SpanTimer span(m_parts.spans, m_parts.clock, context.parent, "queue");
    struct Placement {
        Result<StartGrant> grant
            = Error { ErrorKind::Internal, "The entry stopped before the request was placed.", "Send it again." };
        Instant startUntil = absl::InfiniteDuration();
    };
    auto pending = std::make_shared<PendingResult<Placement>>();
    const uint64_t token = context.settlement.token();
    WorkItem item = context.item;
    // The owner of the slot accounts for the run under the id that the executor receives.
    item.requestId = context.settlement.step().runId;
    const bool posted = m_parts.loop.post([this, pending, token, item] {
        m_parts.dispatcher.submit(item, [this, pending, token](Result<StartGrant> decision) {
            if (decision && token != 0) {
                m_parts.claims.placed(token, decision.value().address);
                pending->value.startUntil = m_parts.claims.startUntil(token);
            }
            pending->value.grant = std::move(decision);
            pending->done.Notify();
        });
    });
    if (!posted) {
        pending->value.grant = Error { ErrorKind::TooBusy, "The task queue of this entry is full.",
            "Nothing was run; retry later with exponential backoff." };
        pending->done.Notify();
    }
    pending->done.WaitForNotification();
    context.settlement.placed(pending->value.grant, pending->value.startUntil);
}

void RequestHandler::run(RequestContext& context)
{
    SpanTimer span(m_parts.spans, m_parts.clock, context.parent, "back-end");
    const Step step = context.settlement.step();
    span.attribute("executor", step.grant.executor);
    const RunRequest request { step.grant, step.runId, context.request.contentType, toTraceparent(span.context()),
        context.request.body, context.item.profile.maxRun };
    const Instant sentAt = m_parts.clock.now();
    RunResult result = runOnExecutor(request, m_parts.clock);
    reportRunEnd(step.grant, { toRunVerdict(result), m_parts.clock.now() - sentAt });
    const uint64_t token = context.settlement.token();
    if (token != 0 && result.end == RunEnd::NotStarted)
        m_parts.loop.postBlocking([this, token] { m_parts.claims.notStarted(token); });
    const Instant now = m_parts.clock.now();
    bool mayRetry = false;
    if (result.end == RunEnd::NotStarted || result.end == RunEnd::Refused) {
        absl::MutexLock lock(&m_mutex);
        mayRetry = m_retryBudget.takeRetry(now);
    }
    context.settlement.ran(std::move(result), mayRetry, now);
}

void RequestHandler::join(RequestContext& context)
{
    SpanTimer span(m_parts.spans, m_parts.clock, context.parent, "join");
    const Step step = context.settlement.step();
    const Instant now = m_parts.clock.now();
    RunResult result
        = joinRun(step.address, step.runId, now - step.held.beganAfter, context.item.profile.maxRun, m_parts.clock);
    context.settlement.joined(std::move(result), m_parts.clock.now());
}

void RequestHandler::scan(RequestContext& context)
{
    SpanTimer span(m_parts.spans, m_parts.clock, context.parent, "sweep");
    const Step step = context.settlement.step();
    const Instant startedAt = m_parts.clock.now();
    std::vector<Endpoint> executors;
    m_parts.loop.call([&] { executors = m_parts.executors.addressesOf(context.item.service); });
    const RunSearch search = searchRun(executors, step.runId, startedAt - step.held.beganAfter);
    ScanResult result;
    if (search.found)
        result = { ScanResult::Kind::Found, *search.found };
    else if (search.unresolved == 0 && !executors.empty())
        result.kind = ScanResult::Kind::NeverStarts;
    context.settlement.scanned(result, startedAt, m_parts.clock.now());
}

void RequestHandler::finish(const Settlement& settlement)
{
    const uint64_t token = settlement.token();
    if (token == 0)
        return;
    const bool isClosed = settlement.result().outcome == Outcome::NotRun;
    m_parts.loop.postBlocking([this, token, isClosed] {
        if (isClosed)
            m_parts.claims.closed(token);
        else
            m_parts.claims.ended(token);
    });
}

Result<Profile> RequestHandler::lookUpProfile(const std::string& name)
{
    Result<Profile> result = Error { ErrorKind::UnknownProfile, absl::StrCat("There is no profile '", name, "'."),
        "Name one of the operators' profiles in the Cicada-Profile header." };
    m_parts.loop.call([&] {
        if (const ProfileRecord* record = m_parts.profiles.find(name))
            result = record->profile;
    });
    return result;
}

void RequestHandler::reportRunEnd(const StartGrant& grant, const RunReport& report)
{
    m_parts.loop.postBlocking([this, grant, report] { m_parts.dispatcher.finished(grant, report); });
}

} // namespace cicada
