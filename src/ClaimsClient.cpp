#include "ClaimsClient.h"

#include <xxhash.h>

namespace cicada {

namespace {

    constexpr absl::string_view requestService = "claim-ask";
    constexpr absl::string_view replyService = "claim-reply";
    constexpr absl::string_view locateService = "claim-locate";
    constexpr absl::string_view locateReplyService = "claim-located";

} // namespace

ClaimsClient::ClaimsClient(std::string self, uint64_t incarnation, ClaimsHome& home, PeerBus& peers,
    Ownership& ownership, const Clock& clock, absl::Duration retention)
    : m_self(std::move(self))
    , m_home(home)
    , m_peers(peers)
    , m_ownership(ownership)
    , m_clock(clock)
    , m_retention(retention)
    , m_nextToken(XXH3_64bits_withSeed(m_self.data(), m_self.size(), incarnation) | 1)
{
    m_home.onReply([this](const std::string& claimer, const ClaimReply& reply) {
        if (claimer == m_self)
            handleReply(reply);
        else
            m_peers.send(claimer, replyService, encode(reply));
    });
    m_peers.handle(requestService, [this](absl::string_view from, absl::string_view bytes) {
        if (auto request = decodeClaimRequest(bytes))
            m_home.handleRequest(std::string(from), request.value());
    });
    m_peers.handle(replyService, [this](absl::string_view, absl::string_view bytes) {
        if (auto reply = decodeClaimReply(bytes))
            handleReply(reply.value());
    });
    m_peers.handle(
        locateService, [this](absl::string_view from, absl::string_view bytes) { handleLocate(from, bytes); });
    m_peers.handle(locateReplyService, [this](absl::string_view, absl::string_view bytes) { handleLocated(bytes); });
}

ClaimsClient::~ClaimsClient() = default;

void ClaimsClient::claim(ClaimSpec spec, ClaimCallback callback)
{
    auto attempt = std::make_unique<Attempt>();
    const absl::Duration startWithin = std::min(startLease, spec.maxWait + absl::Milliseconds(500));
    attempt->request = { std::move(spec.id), m_nextToken++, spec.fingerprint,
        static_cast<uint32_t>(absl::ToInt64Milliseconds(startWithin)), spec.supersedes };
    attempt->callback = std::move(callback);
    attempt->deadline = spec.deadline;
    Attempt& added = *attempt;
    m_attempts[added.request.token] = std::move(attempt);
    m_live.insert(added.request.token);
    sendRequest(added);
}

void ClaimsClient::sendRequest(Attempt& attempt)
{
    attempt.lastSentAt = m_clock.now();
    attempt.request.stamp = absl::ToInt64Microseconds(attempt.lastSentAt);
    const std::string home = m_ownership.owner(claimGroup(claimPartition(attempt.request.id)));
    if (home == m_self)
        m_home.handleRequest(m_self, attempt.request);
    else if (!home.empty())
        m_peers.send(home, requestService, encode(attempt.request));
}

void ClaimsClient::handleReply(const ClaimReply& reply)
{
    auto it = m_attempts.find(reply.token);
    if (it == m_attempts.end() || it->second->isEnded)
        return;
    Attempt& attempt = *it->second;
    ClaimResult result;
    result.token = reply.token;
    result.version = reply.version;
    switch (reply.status) {
    case ClaimStatus::NotHome:
        return;
    case ClaimStatus::Pending:
        attempt.noEarlierAttemptAt = absl::Microseconds(reply.stamp);
        return extend(attempt, reply);
    case ClaimStatus::Granted:
        extend(attempt, reply);
        // If the store was slow, the lease for sending starts may have expired; the next request renews it.
        if (attempt.startUntil <= m_clock.now())
            return;
        result.kind = ClaimResult::Kind::Granted;
        break;
    case ClaimStatus::Mismatch:
        result.kind = ClaimResult::Kind::Mismatch;
        break;
    case ClaimStatus::Held:
        result.kind = ClaimResult::Kind::Held;
        const Instant now = m_clock.now();
        result.held = { reply.holder, reply.holderToken, reply.version, now + absl::Milliseconds(reply.mayStartForMs),
            now - absl::Milliseconds(reply.maxAgeMs) };
        break;
    }
    decide(attempt, result);
}

void ClaimsClient::extend(Attempt& attempt, const ClaimReply& reply)
{
    const Instant until = absl::Microseconds(reply.stamp) + absl::Milliseconds(attempt.request.startWithinMs);
    attempt.startUntil = std::max(attempt.startUntil, until);
}

void ClaimsClient::decide(Attempt& attempt, const ClaimResult& result)
{
    if (attempt.granted || !attempt.callback)
        return;
    attempt.granted = result.kind == ClaimResult::Kind::Granted;
    if (!attempt.granted)
        end(attempt.request.token, AttemptPhase::Closed);
    ClaimCallback callback = std::move(attempt.callback);
    attempt.callback = nullptr;
    callback(result);
}

Instant ClaimsClient::startUntil(uint64_t token) const
{
    auto it = m_attempts.find(token);
    return it == m_attempts.end() || it->second->isEnded ? absl::ZeroDuration() : it->second->startUntil;
}

void ClaimsClient::placed(uint64_t token, const Endpoint& address)
{
    auto it = m_attempts.find(token);
    if (it == m_attempts.end())
        return;
    it->second->phase = AttemptPhase::Placed;
    it->second->address = address;
}

void ClaimsClient::notStarted(uint64_t token)
{
    auto it = m_attempts.find(token);
    if (it != m_attempts.end())
        it->second->phase = AttemptPhase::Waiting;
}

void ClaimsClient::end(uint64_t token, AttemptPhase phase)
{
    auto it = m_attempts.find(token);
    if (it == m_attempts.end())
        return;
    it->second->phase = phase;
    if (it->second->isEnded)
        return;
    it->second->isEnded = true;
    m_live.erase(token);
    m_ended.emplace_back(m_clock.now(), token);
}

void ClaimsClient::closed(uint64_t token) { end(token, AttemptPhase::Closed); }

void ClaimsClient::ended(uint64_t token) { end(token, AttemptPhase::Placed); }

Location ClaimsClient::locateLocally(uint64_t token) const
{
    auto it = m_attempts.find(token);
    if (it == m_attempts.end())
        return {};
    return { it->second->phase, it->second->address };
}

void ClaimsClient::locate(const std::string& id, const HeldClaim& held, LocateCallback callback)
{
    if (held.holder == m_self)
        return callback(locateLocally(held.token));
    const uint64_t locateId = m_locateNumbers.next();
    m_pendingLocates[locateId] = { std::move(callback), m_clock.now() + locateTimeout };
    m_peers.send(held.holder, locateService, encode(LocateRequest { locateId, id, held.token }));
}

void ClaimsClient::handleLocate(absl::string_view from, absl::string_view bytes)
{
    auto request = decodeLocateRequest(bytes);
    if (!request)
        return;
    const Location location = locateLocally(request.value().token);
    m_peers.send(from, locateReplyService,
        encode(LocateReply { request.value().locateId, location.phase, toString(location.address) }));
}

void ClaimsClient::handleLocated(absl::string_view bytes)
{
    auto reply = decodeLocateReply(bytes);
    if (!reply)
        return;
    auto it = m_pendingLocates.find(reply.value().locateId);
    if (it == m_pendingLocates.end())
        return;
    Location location;
    auto address = parseEndpoint(reply.value().address);
    if (address || reply.value().phase != AttemptPhase::Placed)
        location.phase = reply.value().phase;
    if (address)
        location.address = address.value();
    LocateCallback callback = std::move(it->second.callback);
    m_pendingLocates.erase(it);
    callback(location);
}

absl::Duration ClaimsClient::resendIntervalOf(const Attempt& attempt) const
{
    if (!attempt.granted)
        return resendInterval;
    // Once the attempt is placed, it only needs to be kept from expiring at the home, so requests may be infrequent.
    return attempt.phase == AttemptPhase::Placed ? m_retention / 8 : extendInterval;
}

void ClaimsClient::tickAttempt(Attempt& attempt, Instant now)
{
    if (attempt.callback && now >= attempt.deadline) {
        ClaimResult result;
        const bool noEarlierAttempt = now - attempt.noEarlierAttemptAt <= noEarlierAttemptValidity;
        result.kind = noEarlierAttempt ? ClaimResult::Kind::NotStored : ClaimResult::Kind::Unreachable;
        return decide(attempt, result);
    }
    if (now - attempt.lastSentAt >= resendIntervalOf(attempt))
        sendRequest(attempt);
}

void ClaimsClient::tick(Instant now)
{
    const std::vector<uint64_t> live(m_live.begin(), m_live.end());
    for (const uint64_t token : live) {
        Attempt& attempt = *m_attempts[token];
        if (!attempt.isEnded)
            tickAttempt(attempt, now);
    }
    removeExpiredAttempts(now);
    expireLocates(now);
}

void ClaimsClient::removeExpiredAttempts(Instant now)
{
    while (!m_ended.empty() && now - m_ended.front().first > m_retention) {
        m_attempts.erase(m_ended.front().second);
        m_ended.pop_front();
    }
}

void ClaimsClient::expireLocates(Instant now)
{
    std::vector<uint64_t> expired;
    for (auto& [locateId, pending] : m_pendingLocates) {
        if (now >= pending.deadline)
            expired.push_back(locateId);
    }
    for (const uint64_t locateId : expired) {
        LocateCallback callback = std::move(m_pendingLocates[locateId].callback);
        m_pendingLocates.erase(locateId);
        callback({});
    }
}

} // namespace cicada
