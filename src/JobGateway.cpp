#include "JobGateway.h"

#include "Pack.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr const char* requestService = "job.ask";
    constexpr const char* replyService = "job.reply";
    /** A request to an owner that has not replied is sent again after this interval. */
    constexpr absl::Duration resendInterval = absl::Milliseconds(900);
    /** Set in a request's verb when another cell's owner was asked before. */
    constexpr uint32_t redirectedFlag = 0x100;
    constexpr absl::Duration notOwnerDelay = absl::Milliseconds(100);
    /** How long a request that was never sent waits for an owner. */
    constexpr absl::Duration ownerlessTimeout = absl::Milliseconds(1800);

    GatewayReply replyOf(const CellReply& reply)
    {
        switch (reply.outcome) {
        case CellOutcome::Accepted:
            return { GatewayStatus::Accepted };
        case CellOutcome::Refused:
            if (reply.reason != RefusalCode::Unspecified)
                return { GatewayStatus::Refused, JobPhase::Queued, static_cast<uint64_t>(reply.reason) };
            return { GatewayStatus::Refused, JobPhase::Queued, reply.retryAfterSeconds };
        case CellOutcome::Found:
            return { GatewayStatus::Found, reply.phase, reply.crashes };
        case CellOutcome::Cancelled:
            return { GatewayStatus::Cancelled };
        case CellOutcome::Moved:
            return { GatewayStatus::Moved, JobPhase::Queued, reply.cell };
        case CellOutcome::Gone:
            return { GatewayStatus::Gone };
        case CellOutcome::NotOwner:
            return { GatewayStatus::Unreached };
        }
        return { GatewayStatus::Unreached };
    }

} // namespace

absl::string_view gatewayStatusName(GatewayStatus status)
{
    switch (status) {
    case GatewayStatus::Accepted:
        return "accepted";
    case GatewayStatus::Refused:
        return "refused";
    case GatewayStatus::Found:
        return "found";
    case GatewayStatus::Cancelled:
        return "cancelled";
    case GatewayStatus::Gone:
        return "gone";
    case GatewayStatus::Counted:
        return "counted";
    case GatewayStatus::Unknown:
        return "unknown";
    case GatewayStatus::Unreached:
        return "unreached";
    case GatewayStatus::Moved:
        return "moved";
    }
    return "unknown";
}

JobGateway::JobGateway(Parts parts)
    : m_parts(std::move(parts))
{
    m_parts.peers.handle(requestService,
        [this](absl::string_view from, absl::string_view bytes) { handleRequest(std::string(from), bytes); });
    m_parts.peers.handle(replyService, [this](absl::string_view, absl::string_view bytes) { handleReply(bytes); });
}

void JobGateway::submit(const Submission& spec, const QueuePolicy& policy, absl::Duration timeout, Callback callback)
{
    openRequest({ GatewayVerb::Submit, spec.id, encodeSubmission(spec, policy), std::move(callback) }, timeout);
}

void JobGateway::query(const std::string& job, absl::Duration timeout, Callback callback)
{
    openRequest({ GatewayVerb::Query, job, job, std::move(callback) }, timeout);
}

void JobGateway::cancel(const std::string& job, absl::Duration timeout, Callback callback)
{
    openRequest({ GatewayVerb::Cancel, job, job, std::move(callback) }, timeout);
}

void JobGateway::pending(const std::string& queue, absl::Duration timeout, Callback callback)
{
    struct Sum {
        size_t open;
        GatewayReply reply { GatewayStatus::Counted };
        Callback callback;
    };
    const uint32_t cells = m_parts.directory.cellCount();
    if (cells == 0)
        return callback({ GatewayStatus::Unreached });
    auto sum = std::make_shared<Sum>(Sum { cells, { GatewayStatus::Counted }, std::move(callback) });
    for (uint32_t cell = 0; cell < cells; ++cell) {
        auto addReply = [sum](GatewayReply reply) {
            sum->reply.count += reply.count;
            if (reply.status != GatewayStatus::Counted)
                sum->reply.status = reply.status;
            if (--sum->open == 0)
                sum->callback(sum->reply);
        };
        openRequest({ GatewayVerb::Pending, queue, queue, std::move(addReply), cell }, timeout);
    }
}

void JobGateway::openRequest(Request request, absl::Duration timeout)
{
    const uint64_t number = m_numbers.next();
    request.openedAt = m_parts.timers.clock().now();
    m_open.emplace(number, std::move(request));
    m_parts.timers.after(timeout, [this, number] { expire(number); });
    if (timeout > ownerlessTimeout)
        m_parts.timers.after(ownerlessTimeout, [this, number] { checkOwnerless(number); });
    trySend(number);
}

void JobGateway::resendLater(uint64_t number)
{
    m_parts.timers.after(resendInterval, [this, number] {
        const auto found = m_open.find(number);
        if (found == m_open.end())
            return;
        if (m_parts.timers.clock().now() - found->second.sentAt >= resendInterval)
            found->second.sentTo.clear();
        trySend(number);
    });
}

void JobGateway::trySend(uint64_t number)
{
    const auto found = m_open.find(number);
    if (found == m_open.end() || !found->second.sentTo.empty())
        return;
    Request& request = found->second;
    if (m_parts.directory.cellCount() == 0)
        return;
    if (request.verb != GatewayVerb::Pending)
        request.cell = request.redirectedTo.value_or(m_parts.directory.cellOf(request.subject));
    const bool isRedirected = request.redirectedTo || request.notFoundIn;
    if (m_parts.cellOf(request.cell)) {
        request.sentTo = m_parts.self;
        request.sentAt = m_parts.timers.clock().now();
        request.wasSent = true;
        ++request.unanswered;
        return serve(request.verb, request.cell, isRedirected, request.body,
            [this, number](GatewayReply reply, bool isOwner) { handleAnswer(number, reply, isOwner); });
    }
    const CellRow* row = m_parts.directory.ownerOf(request.cell);
    if (!row || row->owner.name == m_parts.self || !m_parts.isLinked(row->owner.name))
        return;
    const uint32_t verb = static_cast<uint32_t>(request.verb) | (isRedirected ? redirectedFlag : 0);
    const bool sent = m_parts.peers.send(
        row->owner.name, requestService, Internal::packFields(number, verb, request.cell, request.body));
    if (!sent)
        return;
    request.sentTo = row->owner.name;
    request.sentAt = m_parts.timers.clock().now();
    request.wasSent = true;
    ++request.unanswered;
    resendLater(number);
}

void JobGateway::resendOpenRequests()
{
    std::vector<uint64_t> numbers;
    for (auto& [number, request] : m_open) {
        const CellRow* row = m_parts.directory.ownerOf(request.cell);
        const bool isStale = !row || row->owner.name != request.sentTo
            || (request.sentTo != m_parts.self && !m_parts.isLinked(request.sentTo));
        if (isStale)
            request.sentTo.clear();
        numbers.push_back(number);
    }
    for (const uint64_t number : numbers)
        trySend(number);
}

bool JobGateway::canReachOwners() const
{
    if (m_parts.directory.cellCount() == 0)
        return false;
    for (uint32_t cell = 0; cell < m_parts.directory.cellCount(); ++cell) {
        if (m_parts.cellOf(cell))
            continue;
        const CellRow* row = m_parts.directory.ownerOf(cell);
        if (!row || !m_parts.isLinked(row->owner.name))
            return false;
    }
    return true;
}

void JobGateway::finish(uint64_t number, GatewayReply reply)
{
    const auto found = m_open.find(number);
    if (found == m_open.end())
        return;
    Request request = std::move(found->second);
    m_open.erase(found);
    const double took = absl::ToDoubleMilliseconds(m_parts.timers.clock().now() - request.openedAt);
    m_parts.metrics.count(absl::StrCat("cicada_gateway_requests{status=\"", gatewayStatusName(reply.status), "\"}"));
    m_parts.metrics.observe("cicada_gateway_ms", took);
    const bool showsFailure = reply.status == GatewayStatus::Found && reply.phase == JobPhase::Failed;
    const bool isRoutine
        = !showsFailure && (reply.status == GatewayStatus::Found || reply.status == GatewayStatus::Counted);
    if (!isRoutine)
        m_parts.log.write("request-answered", "subject", request.subject, "verb", static_cast<uint32_t>(request.verb),
            "status", gatewayStatusName(reply.status), "phase", jobPhaseName(reply.phase), "owner", request.sentTo,
            "tookMs", static_cast<int64_t>(took));
    request.callback(reply);
}

void JobGateway::expire(uint64_t number)
{
    const auto found = m_open.find(number);
    if (found != m_open.end())
        finish(number, { found->second.wasSent ? GatewayStatus::Unknown : GatewayStatus::Unreached });
}

void JobGateway::expireAll()
{
    std::vector<uint64_t> numbers;
    for (const auto& [number, request] : m_open)
        numbers.push_back(number);
    for (const uint64_t number : numbers)
        expire(number);
}

void JobGateway::checkOwnerless(uint64_t number)
{
    const auto found = m_open.find(number);
    if (found != m_open.end() && !found->second.wasSent)
        finish(number, { GatewayStatus::Unreached });
}

void JobGateway::handleAnswer(uint64_t number, GatewayReply reply, bool isOwner)
{
    const auto found = m_open.find(number);
    if (found == m_open.end())
        return;
    Request& request = found->second;
    request.unanswered -= std::min(1u, request.unanswered);
    if (!isOwner) {
        request.sentTo.clear();
        return m_parts.timers.after(notOwnerDelay, [this, number] { trySend(number); });
    }
    // The owner decides anew about each send, and may accept one that is still under way.
    const bool mayBeAccepted = reply.status == GatewayStatus::Refused && reply.count > 0 && request.unanswered > 0;
    if (mayBeAccepted)
        return;
    if (reply.status == GatewayStatus::Moved)
        return handleRedirect(number, request, static_cast<uint32_t>(reply.count));
    if (reply.status != GatewayStatus::Gone || !request.redirectedTo)
        return finish(number, reply);
    // The job may have gone back meanwhile; its home cell's owner knows.
    request.notFoundIn = request.redirectedTo;
    request.redirectedTo.reset();
    request.sentTo.clear();
    trySend(number);
}

void JobGateway::handleRedirect(uint64_t number, Request& request, uint32_t cell)
{
    // Named again after the job was not found there: it was there all the time and has been removed since.
    if (request.notFoundIn == cell)
        return finish(number, { GatewayStatus::Gone });
    request.redirectedTo = cell;
    request.sentTo.clear();
    trySend(number);
}

void JobGateway::serve(GatewayVerb verb, uint32_t number, bool isRedirected, const std::string& body,
    absl::AnyInvocable<void(GatewayReply, bool)> done)
{
    Cell* cell = m_parts.cellOf(number);
    if (!cell)
        return done({}, false);
    if (verb == GatewayVerb::Pending)
        return done({ GatewayStatus::Counted, JobPhase::Queued, cell->pending(body) }, cell->isLoaded());
    auto reply = [this, done = std::move(done)](CellReply cellReply) mutable {
        // Only an entry that certainly owns the cell may report that a job does not exist, or refuse it: another owner
        // may have accepted it.
        const bool isDecidedRefusal = cellReply.outcome == CellOutcome::Refused && cellReply.retryAfterSeconds > 0;
        const bool isUncertain = !m_parts.directory.isFresh()
            && (cellReply.outcome == CellOutcome::Gone || cellReply.outcome == CellOutcome::Moved || isDecidedRefusal);
        done(replyOf(cellReply), cellReply.outcome != CellOutcome::NotOwner && !isUncertain);
    };
    if (verb == GatewayVerb::Query)
        return cell->query(body, isRedirected, std::move(reply));
    if (verb == GatewayVerb::Cancel)
        return cell->cancel(body, isRedirected, std::move(reply));
    Submission spec;
    QueuePolicy policy;
    auto decoded = decodeSubmission(body, spec, policy);
    if (!decoded) {
        m_parts.log.write("submission-unreadable", "cell", number, "error", decoded.error().message);
        return reply({ CellOutcome::Refused });
    }
    cell->submit(std::move(spec), std::move(policy), std::move(reply));
}

void JobGateway::handleRequest(const std::string& from, absl::string_view bytes)
{
    uint64_t number = 0;
    uint32_t verb = 0;
    uint32_t cell = 0;
    std::string body;
    if (!Internal::unpackFields(bytes, "job request", number, verb, cell, body)
        || (verb & ~redirectedFlag) > static_cast<uint32_t>(GatewayVerb::Pending)) {
        m_parts.log.write("peer-message-malformed", "from", from, "service", requestService);
        return;
    }
    const bool isRedirected = (verb & redirectedFlag) != 0;
    serve(static_cast<GatewayVerb>(verb & ~redirectedFlag), cell, isRedirected, body,
        [this, from, number](GatewayReply reply, bool isOwner) {
            m_parts.peers.send(from, replyService,
                Internal::packFields(number, isOwner, static_cast<uint32_t>(reply.status),
                    static_cast<uint32_t>(reply.phase), reply.count));
        });
}

void JobGateway::handleReply(absl::string_view bytes)
{
    uint64_t number = 0;
    bool isOwner = false;
    uint32_t status = 0;
    uint32_t phase = 0;
    uint64_t count = 0;
    if (!Internal::unpackFields(bytes, "job reply", number, isOwner, status, phase, count)
        || status > static_cast<uint32_t>(GatewayStatus::Moved) || phase > static_cast<uint32_t>(JobPhase::Cancelled)) {
        m_parts.log.write("peer-message-malformed", "service", replyService);
        return;
    }
    handleAnswer(number, { static_cast<GatewayStatus>(status), static_cast<JobPhase>(phase), count }, isOwner);
}

} // namespace cicada
