#include "RequestHandler.h"

#include "Uuid.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"

#include <glog/logging.h>
#include <xxhash.h>

namespace cicada {

namespace {

    CallerAnswer refused(const std::string& id, Error error)
    {
        CallerAnswer answer;
        answer.requestId = id;
        answer.error = std::move(error);
        return answer;
    }

    CallerAnswer toAnswer(const std::string& id, const Verdict& verdict)
    {
        CallerAnswer answer;
        answer.requestId = id;
        answer.outcome = verdict.outcome;
        answer.error = verdict.error;
        answer.status = verdict.answer.status;
        answer.contentType = verdict.answer.contentType;
        answer.body = verdict.answer.body;
        return answer;
    }

    RunVerdict verdictOf(const RunResult& result)
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
                absl::StrCat("Profile '", profile.name, "' may not run twice, so the request needs an id."),
                "Send a UUID in the Idempotency-Key header, the same one on each retry." };
        if (!isUuid(request.id))
            return Error { ErrorKind::InvalidRequest, "The Idempotency-Key is not a UUID.",
                "Send it as in 123e4567-e89b-12d3-a456-426614174000." };
        return absl::AsciiStrToLower(request.id);
    }

    uint64_t fingerprint(const WorkItem& item)
    {
        const std::string text = absl::StrCat(item.service, "/", item.profile.name);
        return XXH3_64bits(text.data(), text.size());
    }

    /** Waits for one answer from the decision thread. */
    template <typename T> struct Answer {
        absl::Notification done;
        T value;
    };

} // namespace

struct RequestHandler::Running {
    uint64_t fingerprint = 0;
    absl::Notification done;
    CallerAnswer answer;
};

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
    CallerAnswer answer = handleOnce(request,
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

CallerAnswer RequestHandler::handleOnce(const CallerRequest& request, const WorkItem& item, const TraceContext& parent)
{
    auto mine = std::make_shared<Running>();
    mine->fingerprint = fingerprint(item);
    std::shared_ptr<Running> first;
    {
        absl::MutexLock lock(&m_mutex);
        first = m_running.try_emplace(item.requestId, mine).first->second;
    }
    if (first != mine && first->fingerprint != mine->fingerprint) {
        CallerAnswer answer = refused(item.requestId,
            { ErrorKind::DuplicateRequest, "The id belongs to another request, which may have run.",
                "Use a new UUID for each request, and the same one only for its retries." });
        answer.outcome = Outcome::Unknown;
        return answer;
    }
    if (first != mine) {
        SpanTimer joinSpan(m_parts.spans, m_parts.clock, parent, "join");
        first->done.WaitForNotification();
        return first->answer;
    }
    mine->answer = settle(request, item, parent);
    {
        absl::MutexLock lock(&m_mutex);
        m_running.erase(item.requestId);
    }
    mine->done.Notify();
    return mine->answer;
}

CallerAnswer RequestHandler::settle(const CallerRequest& request, const WorkItem& item, const TraceContext& parent)
{
    Settlement settlement(item.requestId, item.profile, m_parts.clock.now());
    {
        absl::MutexLock lock(&m_mutex);
        m_budget.firstAttempt(m_parts.clock.now());
    }
    Flow flow { request, item, parent, settlement };
    while (settlement.step().kind != StepKind::Done)
        carryOut(flow);
    finish(settlement);
    return toAnswer(item.requestId, settlement.verdict());
}

void RequestHandler::carryOut(Flow& flow)
{
    switch (flow.settlement.step().kind) {
    case StepKind::Claim:
        return claim(flow);
    case StepKind::Locate:
        return locate(flow);
    case StepKind::Place:
        return place(flow);
    case StepKind::Run:
        return run(flow);
    case StepKind::Join:
        return join(flow);
    case StepKind::Sweep:
        return sweep(flow);
    case StepKind::Wait:
        absl::SleepFor(flow.settlement.step().until - m_parts.clock.now());
        return flow.settlement.waited(m_parts.clock.now());
    case StepKind::Done:
        return;
    }
}

void RequestHandler::claim(Flow& flow)
{
    SpanTimer span(m_parts.spans, m_parts.clock, flow.parent, "claim");
    auto answer = std::make_shared<Answer<ClaimVerdict>>();
    const Step& step = flow.settlement.step();
    ClaimWish wish { flow.item.requestId, fingerprint(flow.item), step.supersedes, step.until,
        flow.item.profile.maxWait };
    m_parts.loop.postBlocking([this, answer, wish] {
        m_parts.claims.claim(wish, [answer](const ClaimVerdict& verdict) {
            answer->value = verdict;
            answer->done.Notify();
        });
    });
    answer->done.WaitForNotification();
    flow.settlement.claimed(answer->value, m_parts.clock.now());
}

void RequestHandler::locate(Flow& flow)
{
    auto answer = std::make_shared<Answer<Location>>();
    const HeldClaim held = flow.settlement.step().held;
    m_parts.loop.postBlocking([this, answer, held, id = flow.item.requestId] {
        m_parts.claims.locate(id, held, [answer](const Location& location) {
            answer->value = location;
            answer->done.Notify();
        });
    });
    answer->done.WaitForNotification();
    flow.settlement.located(answer->value, m_parts.clock.now());
}

void RequestHandler::place(Flow& flow)
{
    SpanTimer span(m_parts.spans, m_parts.clock, flow.parent, "queue");
    struct Placement {
        Result<StartGrant> grant = Error { ErrorKind::Internal, "The entry stopped.", "Send it again." };
        Instant startUntil = absl::InfiniteDuration();
    };
    auto answer = std::make_shared<Answer<Placement>>();
    const uint64_t token = flow.settlement.token();
    WorkItem item = flow.item;
    // Owners account for runs under the id that the executors know.
    item.requestId = flow.settlement.step().runId;
    const bool posted = m_parts.loop.post([this, answer, token, item] {
        m_parts.dispatcher.submit(item, [this, answer, token](Result<StartGrant> decision) {
            if (decision && token != 0) {
                m_parts.claims.placed(token, decision.value().address);
                answer->value.startUntil = m_parts.claims.startUntil(token);
            }
            answer->value.grant = std::move(decision);
            answer->done.Notify();
        });
    });
    if (!posted) {
        answer->value.grant = Error { ErrorKind::TooBusy, "This entry has no room for another request.",
            "Nothing was run; try again later, with growing delays." };
        answer->done.Notify();
    }
    answer->done.WaitForNotification();
    flow.settlement.placed(answer->value.grant, answer->value.startUntil);
}

void RequestHandler::run(Flow& flow)
{
    SpanTimer span(m_parts.spans, m_parts.clock, flow.parent, "back-end");
    const Step step = flow.settlement.step();
    span.attribute("executor", step.grant.executor);
    const RunRequest request { step.grant, step.runId, flow.request.contentType, toTraceparent(span.context()),
        flow.request.body, flow.item.profile.maxRun };
    const Instant sentAt = m_parts.clock.now();
    RunResult result = runOnExecutor(request, m_parts.clock);
    giveBack(step.grant, { verdictOf(result), m_parts.clock.now() - sentAt });
    const uint64_t token = flow.settlement.token();
    if (token != 0 && result.end == RunEnd::NotStarted)
        m_parts.loop.postBlocking([this, token] { m_parts.claims.notStarted(token); });
    const Instant now = m_parts.clock.now();
    bool mayRetry = false;
    if (result.end == RunEnd::NotStarted || result.end == RunEnd::Refused) {
        absl::MutexLock lock(&m_mutex);
        mayRetry = m_budget.takeRetry(now);
    }
    flow.settlement.ran(std::move(result), mayRetry, now);
}

void RequestHandler::join(Flow& flow)
{
    SpanTimer span(m_parts.spans, m_parts.clock, flow.parent, "join");
    const Step step = flow.settlement.step();
    const Instant now = m_parts.clock.now();
    RunResult result
        = joinRun(step.address, step.runId, now - step.held.beganAfter, flow.item.profile.maxRun, m_parts.clock);
    flow.settlement.joined(std::move(result), m_parts.clock.now());
}

void RequestHandler::sweep(Flow& flow)
{
    SpanTimer span(m_parts.spans, m_parts.clock, flow.parent, "sweep");
    const Step step = flow.settlement.step();
    const Instant startedAt = m_parts.clock.now();
    std::vector<Endpoint> executors;
    m_parts.loop.call([&] { executors = m_parts.executors.of(flow.item.service); });
    const RunSearch search = searchRun(executors, step.runId, startedAt - step.held.beganAfter);
    SweepResult result;
    if (search.found)
        result = { SweepResult::Kind::Found, *search.found };
    else if (search.unsettled == 0 && !executors.empty())
        result.kind = SweepResult::Kind::NeverStarts;
    flow.settlement.swept(result, startedAt, m_parts.clock.now());
}

void RequestHandler::finish(const Settlement& settlement)
{
    const uint64_t token = settlement.token();
    if (token == 0)
        return;
    const bool isClosed = settlement.verdict().outcome == Outcome::NotRun;
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

void RequestHandler::giveBack(const StartGrant& grant, const RunReport& report)
{
    m_parts.loop.postBlocking([this, grant, report] { m_parts.dispatcher.finished(grant, report); });
}

} // namespace cicada
