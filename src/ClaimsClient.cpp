#include "ClaimsClient.h"

#include <xxhash.h>

namespace cicada {

namespace {

    constexpr absl::string_view askService = "claim-ask";
    constexpr absl::string_view replyService = "claim-reply";
    constexpr absl::string_view locateService = "claim-locate";
    constexpr absl::string_view locatedService = "claim-located";

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
    m_peers.handle(askService, [this](absl::string_view from, absl::string_view bytes) {
        if (auto ask = decodeClaimAsk(bytes))
            m_home.handleAsk(std::string(from), ask.value());
    });
    m_peers.handle(replyService, [this](absl::string_view, absl::string_view bytes) {
        if (auto reply = decodeClaimReply(bytes))
            handleReply(reply.value());
    });
    m_peers.handle(
        locateService, [this](absl::string_view from, absl::string_view bytes) { handleLocate(from, bytes); });
    m_peers.handle(locatedService, [this](absl::string_view, absl::string_view bytes) { handleLocated(bytes); });
}

ClaimsClient::~ClaimsClient() = default;

void ClaimsClient::claim(ClaimWish wish, ClaimCallback callback)
{
    auto attempt = std::make_unique<Attempt>();
    const absl::Duration startWithin = std::min(startLease, wish.maxWait + absl::Milliseconds(500));
    attempt->ask = { std::move(wish.id), m_nextToken++, wish.fingerprint,
        static_cast<uint32_t>(absl::ToInt64Milliseconds(startWithin)), wish.supersedes };
    attempt->callback = std::move(callback);
    attempt->giveUp = wish.giveUp;
    Attempt& added = *attempt;
    m_attempts[added.ask.token] = std::move(attempt);
    m_live.insert(added.ask.token);
    sendAsk(added);
}

void ClaimsClient::sendAsk(Attempt& attempt)
{
    attempt.lastAskAt = m_clock.now();
    attempt.ask.stamp = absl::ToInt64Microseconds(attempt.lastAskAt);
    const std::string home = m_ownership.owner(claimGroup(claimPartition(attempt.ask.id)));
    if (home == m_self)
        m_home.handleAsk(m_self, attempt.ask);
    else if (!home.empty())
        m_peers.send(home, askService, encode(attempt.ask));
}

void ClaimsClient::handleReply(const ClaimReply& reply)
{
    auto it = m_attempts.find(reply.token);
    if (it == m_attempts.end() || it->second->over)
        return;
    Attempt& attempt = *it->second;
    ClaimVerdict verdict;
    verdict.token = reply.token;
    verdict.version = reply.version;
    switch (reply.answer) {
    case ClaimAnswer::NotHome:
        return;
    case ClaimAnswer::Pending:
        attempt.noEarlierAt = absl::Microseconds(reply.stamp);
        return extend(attempt, reply);
    case ClaimAnswer::Granted:
        extend(attempt, reply);
        // Granted after a long wait for the store, the leave to start may be over; the next ask renews it.
        if (attempt.startUntil <= m_clock.now())
            return;
        verdict.kind = ClaimVerdict::Kind::Granted;
        break;
    case ClaimAnswer::Mismatch:
        verdict.kind = ClaimVerdict::Kind::Mismatch;
        break;
    case ClaimAnswer::Held:
        verdict.kind = ClaimVerdict::Kind::Held;
        const Instant now = m_clock.now();
        verdict.held = { reply.holder, reply.holderToken, reply.version, now + absl::Milliseconds(reply.mayStartForMs),
            now - absl::Milliseconds(reply.ageMs) };
        break;
    }
    decide(attempt, verdict);
}

void ClaimsClient::extend(Attempt& attempt, const ClaimReply& reply)
{
    const Instant until = absl::Microseconds(reply.stamp) + absl::Milliseconds(attempt.ask.startWithinMs);
    attempt.startUntil = std::max(attempt.startUntil, until);
}

void ClaimsClient::decide(Attempt& attempt, const ClaimVerdict& verdict)
{
    if (attempt.granted || !attempt.callback)
        return;
    attempt.granted = verdict.kind == ClaimVerdict::Kind::Granted;
    if (!attempt.granted)
        end(attempt.ask.token, AttemptPhase::Closed);
    ClaimCallback callback = std::move(attempt.callback);
    attempt.callback = nullptr;
    callback(verdict);
}

Instant ClaimsClient::startUntil(uint64_t token) const
{
    auto it = m_attempts.find(token);
    return it == m_attempts.end() || it->second->over ? absl::ZeroDuration() : it->second->startUntil;
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
    if (it->second->over)
        return;
    it->second->over = true;
    m_live.erase(token);
    m_ended.emplace_back(m_clock.now(), token);
}

void ClaimsClient::closed(uint64_t token) { end(token, AttemptPhase::Closed); }

void ClaimsClient::ended(uint64_t token) { end(token, AttemptPhase::Placed); }

Location ClaimsClient::locateHere(uint64_t token) const
{
    auto it = m_attempts.find(token);
    if (it == m_attempts.end())
        return {};
    return { it->second->phase, it->second->address };
}

void ClaimsClient::locate(const std::string& id, const HeldClaim& held, LocateCallback callback)
{
    if (held.holder == m_self)
        return callback(locateHere(held.token));
    const uint64_t askId = m_nextLocate++;
    m_locating[askId] = { std::move(callback), m_clock.now() + locateTimeout };
    m_peers.send(held.holder, locateService, encode(LocateAsk { askId, id, held.token }));
}

void ClaimsClient::handleLocate(absl::string_view from, absl::string_view bytes)
{
    auto ask = decodeLocateAsk(bytes);
    if (!ask)
        return;
    const Location location = locateHere(ask.value().token);
    m_peers.send(
        from, locatedService, encode(LocateReply { ask.value().askId, location.phase, toString(location.address) }));
}

void ClaimsClient::handleLocated(absl::string_view bytes)
{
    auto reply = decodeLocateReply(bytes);
    if (!reply)
        return;
    auto it = m_locating.find(reply.value().askId);
    if (it == m_locating.end())
        return;
    Location location;
    auto address = parseEndpoint(reply.value().address);
    if (address || reply.value().phase != AttemptPhase::Placed)
        location.phase = reply.value().phase;
    if (address)
        location.address = address.value();
    LocateCallback callback = std::move(it->second.callback);
    m_locating.erase(it);
    callback(location);
}

absl::Duration ClaimsClient::askAgainAfter(const Attempt& attempt) const
{
    if (!attempt.granted)
        return askInterval;
    // Once placed, the home need only learn now and then that the attempt lives.
    return attempt.phase == AttemptPhase::Placed ? m_retention / 8 : extendInterval;
}

void ClaimsClient::tickAttempt(Attempt& attempt, Instant now)
{
    if (attempt.callback && now >= attempt.giveUp) {
        ClaimVerdict verdict;
        const bool knowsEarlier = now - attempt.noEarlierAt <= wordLifetime;
        verdict.kind = knowsEarlier ? ClaimVerdict::Kind::NotStored : ClaimVerdict::Kind::Unreachable;
        return decide(attempt, verdict);
    }
    if (now - attempt.lastAskAt >= askAgainAfter(attempt))
        sendAsk(attempt);
}

void ClaimsClient::tick(Instant now)
{
    const std::vector<uint64_t> live(m_live.begin(), m_live.end());
    for (const uint64_t token : live) {
        Attempt& attempt = *m_attempts[token];
        if (!attempt.over)
            tickAttempt(attempt, now);
    }
    forgetOld(now);
    tickLocates(now);
}

void ClaimsClient::forgetOld(Instant now)
{
    while (!m_ended.empty() && now - m_ended.front().first > m_retention) {
        m_attempts.erase(m_ended.front().second);
        m_ended.pop_front();
    }
}

void ClaimsClient::tickLocates(Instant now)
{
    std::vector<uint64_t> late;
    for (auto& [askId, locating] : m_locating) {
        if (now >= locating.giveUp)
            late.push_back(askId);
    }
    for (const uint64_t askId : late) {
        LocateCallback callback = std::move(m_locating[askId].callback);
        m_locating.erase(askId);
        callback({});
    }
}

} // namespace cicada
