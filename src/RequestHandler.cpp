#include "RequestHandler.h"

#include "Uuid.h"

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"

#include <glog/logging.h>

namespace cicada {

namespace {

    /** How often a request that surely did not start is placed again. */
    constexpr int maxPlacements = 3;

    CallerAnswer refused(const std::string& id, Error error)
    {
        CallerAnswer answer;
        answer.requestId = id;
        answer.error = std::move(error);
        return answer;
    }

    CallerAnswer unknown(const std::string& id, const std::string& reason)
    {
        CallerAnswer answer = refused(id,
            Error { ErrorKind::BackEndFailed, reason, "It is not run again; check its effects before you repeat it." });
        answer.outcome = Outcome::Unknown;
        return answer;
    }

    CallerAnswer ran(const std::string& id, RunResult result)
    {
        CallerAnswer answer;
        answer.outcome = Outcome::Ran;
        answer.requestId = id;
        answer.status = result.status;
        answer.contentType = std::move(result.contentType);
        answer.body = std::move(result.body);
        return answer;
    }

    RunVerdict verdictOf(const RunResult& result)
    {
        constexpr int firstServerError = 500;
        if (result.end == RunEnd::Unknown)
            return RunVerdict::Unsettled;
        if (result.end == RunEnd::NotStarted)
            return RunVerdict::NotStarted;
        return result.status >= firstServerError ? RunVerdict::Failed : RunVerdict::Succeeded;
    }

    Result<std::string> requestId(const CallerRequest& request, const Profile& profile)
    {
        if (request.id.empty() && profile.mayRunTwice)
            return randomUuid();
        if (request.id.empty())
            return Error { ErrorKind::InvalidRequest,
                absl::StrCat("Profile '", profile.name, "' may not run twice, so the request needs an id."),
                "Send a UUID in the Idempotency-Key header, the same one on each retry." };
        if (!isUuid(request.id))
            return Error { ErrorKind::InvalidRequest, "The Idempotency-Key is not a UUID.",
                "Send it as in 123e4567-e89b-12d3-a456-426614174000." };
        return request.id;
    }

} // namespace

RequestHandler::RequestHandler(Parts parts)
    : m_parts(parts)
{
}

CallerAnswer RequestHandler::handle(const CallerRequest& request)
{
    SpanTimer entrySpan(m_parts.spans, m_parts.clock, parseTraceparent(request.traceparent), "entry");
    entrySpan.attribute("service", request.service);
    auto profile = lookUpProfile(request.profile);
    if (!profile)
        return refused(request.id, profile.error());
    auto id = requestId(request, profile.value());
    if (!id)
        return refused(request.id, id.error());
    entrySpan.attribute("request.id", id.value());
    const Instant start = m_parts.clock.now();
    CallerAnswer answer = runPlaced(request,
        WorkItem { id.value(), request.service, profile.value(), request.body->size(), start }, entrySpan.context());
    const std::string labels
        = absl::StrCat("{profile=\"", request.profile, "\",outcome=\"", outcomeName(answer.outcome), "\"}");
    m_parts.metrics.count(absl::StrCat("cicada_requests_total", labels));
    m_parts.metrics.observe(
        absl::StrCat("cicada_request_seconds", labels), absl::ToDoubleSeconds(m_parts.clock.now() - start));
    entrySpan.attribute("outcome", std::string(outcomeName(answer.outcome)));
    VLOG(1) << "request trace=" << entrySpan.context().traceId << " id=" << id.value() << " service=" << request.service
            << " profile=" << request.profile << " outcome=" << outcomeName(answer.outcome);
    return answer;
}

CallerAnswer RequestHandler::runPlaced(const CallerRequest& request, const WorkItem& item, const TraceContext& parent)
{
    std::string reason;
    for (int attempt = 0; attempt < maxPlacements; ++attempt) {
        SpanTimer queueSpan(m_parts.spans, m_parts.clock, parent, "queue");
        auto grant = place(item);
        queueSpan.end();
        if (!grant)
            return refused(item.requestId, grant.error());
        SpanTimer runSpan(m_parts.spans, m_parts.clock, parent, "back-end");
        runSpan.attribute("executor", grant.value().executor);
        RunRequest run { grant.value(), item.requestId, request.contentType, toTraceparent(runSpan.context()),
            request.body, item.profile.maxRun };
        const Instant sentAt = m_parts.clock.now();
        RunResult result = runOnExecutor(run, m_parts.clock);
        giveBack(grant.value(), { verdictOf(result), m_parts.clock.now() - sentAt });
        if (result.end == RunEnd::Answered)
            return ran(item.requestId, std::move(result));
        if (result.end == RunEnd::Unknown)
            return unknown(item.requestId, result.reason);
        reason = result.reason;
    }
    return refused(item.requestId,
        Error { ErrorKind::BackEndFailed, absl::StrCat("No executor started it: ", reason),
            "Nothing was run; try again later, and check the service's executors." });
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

Result<StartGrant> RequestHandler::place(const WorkItem& item)
{
    struct Waiter {
        absl::Notification done;
        Result<StartGrant> result = Error { ErrorKind::Internal, "The entry stopped.", "Send it again." };
    };
    auto waiter = std::make_shared<Waiter>();
    const bool posted = m_parts.loop.post([this, waiter, item] {
        m_parts.dispatcher.submit(item, [waiter](Result<StartGrant> decision) {
            waiter->result = std::move(decision);
            waiter->done.Notify();
        });
    });
    if (!posted)
        return Error { ErrorKind::TooBusy, "This entry has no room for another request.",
            "Nothing was run; try again later, with growing delays." };
    waiter->done.WaitForNotification();
    return waiter->result;
}

void RequestHandler::giveBack(const StartGrant& grant, const RunReport& report)
{
    m_parts.loop.postMust([this, grant, report] { m_parts.dispatcher.finished(grant, report); });
}

} // namespace cicada
