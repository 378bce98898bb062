#include "Authority.h"

#include "GuardianChoice.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::string_view renewalService = "authority-renew";
    constexpr absl::string_view promiseService = "authority-promise";
    /** Number of renewals sent per promise time. */
    constexpr int renewalsPerPromise = 3;
    constexpr size_t maxRememberedRenewals = 16;
    /** Minimum time between two writes of the own record. */
    constexpr absl::Duration writeInterval = absl::Milliseconds(200);
    /** How long the watch is given to deliver the index of the own record before the store is read. */
    constexpr absl::Duration refreshInterval = absl::Milliseconds(300);

} // namespace

Authority::Authority(const Settings& settings, Store& store, PeerBus& peers, Membership& membership, ConfigWatch& watch,
    const Clock& clock, IncarnationSource newIncarnation)
    : m_settings(settings)
    , m_store(store)
    , m_peers(peers)
    , m_membership(membership)
    , m_watch(watch)
    , m_clock(clock)
    , m_newIncarnation(std::move(newIncarnation))
{
    membership.onChange([this] { handleMembers(); });
    peers.handle(
        promiseService, [this](absl::string_view from, absl::string_view bytes) { handlePromise(from, bytes); });
}

absl::Duration Authority::holderTimeout(const Settings& settings)
{
    return settings.promiseTime * (1 - settings.clockDriftBound);
}

absl::Duration Authority::guardianTimeout(const Settings& settings)
{
    return settings.promiseTime * (1 + settings.clockDriftBound);
}

Instant Authority::until() const
{
    if (!m_record || m_ending)
        return -absl::InfiniteDuration();
    Instant until = m_ownWriteUntil;
    for (const auto& [guardian, promised] : m_promises)
        until = std::max(until, promised);
    return until;
}

bool Authority::activeFor(absl::Duration duration) const
{
    return active() && m_activeSince && m_clock.now() - *m_activeSince >= duration;
}

absl::Span<const EntryId> Authority::guardians() const
{
    return m_record ? absl::MakeConstSpan(m_record->guardians) : absl::Span<const EntryId>();
}

void Authority::end()
{
    m_stopping = true;
    m_ending = true;
}

void Authority::tick(Instant now)
{
    if (!m_startedAt)
        m_startedAt = now;
    updateActiveSince(now);
    renew(now);
    writeIfDue(now);
}

void Authority::updateActiveSince(Instant now)
{
    if (now >= until())
        m_activeSince.reset();
    else if (!m_activeSince)
        m_activeSince = now;
}

void Authority::renew(Instant now)
{
    if (!m_record || m_ending || now < m_nextRenewal)
        return;
    m_nextRenewal = now + m_settings.promiseTime / renewalsPerPromise;
    for (const EntryId& guardian : m_record->guardians) {
        const Renewal renewal { m_nextSequence++, m_record->incarnation, m_record->version, guardian.incarnation };
        m_renewals.push_back({ renewal.sequence, now });
        m_peers.send(guardian.name, renewalService, encode(renewal));
    }
    while (m_renewals.size() > maxRememberedRenewals)
        m_renewals.pop_front();
}

void Authority::handlePromise(absl::string_view from, absl::string_view bytes)
{
    auto promise = decodePromise(bytes);
    if (!promise || !m_record || promise.value().incarnation != m_record->incarnation)
        return;
    handleKnownVersion(promise.value().knownVersion);
    const EntryId guardian { std::string(from), promise.value().guardianIncarnation };
    const uint64_t sequence = promise.value().sequence;
    auto sent = std::find_if(
        m_renewals.begin(), m_renewals.end(), [sequence](const SentRenewal& r) { return r.sequence == sequence; });
    if (!promise.value().granted || sent == m_renewals.end() || !countsPromisesOf(guardian))
        return;
    Instant& until = m_promises.try_emplace(guardian, -absl::InfiniteDuration()).first->second;
    until = std::max(until, sent->sentAt + holderTimeout(m_settings));
}

/** A guardian has read a higher version in the store than this entry had confirmed, so the pending write has taken
 * effect. */
void Authority::handleKnownVersion(uint64_t version)
{
    if (!m_pending || version < m_pending->content.version)
        return;
    adopt(m_pending->content, m_pending->firstSentAt);
    m_indexKnown = false;
}

/** While a write that may change the guardians is pending, only guardians that are in both lists count. */
bool Authority::countsPromisesOf(const EntryId& guardian) const
{
    return contains(m_record->guardians, guardian) && (!m_pending || contains(m_pending->content.guardians, guardian));
}

void Authority::handleMembers()
{
    m_wantedGuardians = chooseGuardians(m_settings.name, m_membership.members());
    const Member* record = m_membership.find(m_settings.name);
    const uint64_t incarnation = m_record ? m_record->incarnation : m_pending ? m_pending->content.incarnation : 0;
    if (record && record->incarnation == incarnation)
        return handleOwnRecord(*record);
    if (m_pending && record && record->index > m_pending->baseIndex)
        m_pending.reset();
    // Another incarnation has registered under this name, which is possible only after this one was ended. A snapshot
    // that predates this registration is recognized by its index, or by this entry being active, which is impossible
    // for an ended entry.
    if (m_record && (record ? record->index > m_indexFloor : !active()))
        clearRegistration();
}

void Authority::handleOwnRecord(const Member& record)
{
    if (record.state == MemberState::Ended)
        return clearRegistration();
    if (m_record && record.version < m_record->version)
        return;
    const bool tookEffect = m_pending && record.version >= m_pending->content.version;
    if (tookEffect)
        adopt(record, m_pending->firstSentAt);
    else if (m_pending && record.index > m_pending->baseIndex)
        m_pending.reset();
    if (!m_record)
        return;
    *m_record = record;
    m_indexKnown = true;
    m_indexFloor = record.index;
}

/** Adopts a record that is known to be in the store; the write that stored it was sent at `requestedAt`. */
void Authority::adopt(const Member& record, Instant requestedAt)
{
    m_ownWriteUntil = std::max(m_ownWriteUntil, requestedAt + holderTimeout(m_settings));
    m_record = record;
    m_indexFloor = std::max(m_indexFloor, m_pending->baseIndex);
    m_pending.reset();
    m_nextRenewal = absl::ZeroDuration();
}

/** This incarnation has been ended. Its groups may be taken by other entries, and it may register again only under a
 * new incarnation. */
void Authority::clearRegistration()
{
    m_ended = m_ended || m_ending;
    m_record.reset();
    m_pending.reset();
    m_promises.clear();
    m_renewals.clear();
    m_ownWriteUntil = -absl::InfiniteDuration();
    m_activeSince.reset();
}

void Authority::writeIfDue(Instant now)
{
    if (m_writeInFlight || !m_membership.known() || now < m_nextWrite || m_ended)
        return;
    if (m_pending)
        return write(m_pending->content, m_pending->baseIndex, now);
    if (!m_record) {
        if (m_stopping)
            m_ended = true;
        else if (mayRegister(now))
            registerSelf(now);
        return;
    }
    if (!ownWriteDue(now))
        return;
    if (m_indexKnown)
        return write(nextContent(), m_record->index, now);
    if (now >= m_nextRefresh) {
        m_nextRefresh = now + refreshInterval;
        m_watch.refresh();
    }
}

void Authority::registerSelf(Instant now)
{
    const Member* previous = m_membership.find(m_settings.name);
    write(nextContent(), previous ? previous->index : 0, now);
}

/** A previous incarnation under this name must have ended. If it listened on the address that this process has bound,
 * it has exited, and any authority it still held when this process started expires within a promise time. Otherwise it
 * may still be running elsewhere, and ending it is left to its guardians. */
bool Authority::mayRegister(Instant now) const
{
    const Member* previous = m_membership.find(m_settings.name);
    if (!previous || previous->state == MemberState::Ended)
        return true;
    return previous->address == toString(m_settings.peers) && now - *m_startedAt >= guardianTimeout(m_settings);
}

bool Authority::ownWriteDue(Instant now) const
{
    const bool expiresSoon = until() - now < m_settings.promiseTime / 2;
    const bool guardiansChanged = m_record->guardians != m_wantedGuardians;
    const bool stopNotAnnounced = m_stopping && m_record->state == MemberState::Live;
    return expiresSoon || guardiansChanged || stopNotAnnounced || m_ending;
}

Member Authority::nextContent()
{
    Member next;
    next.name = m_settings.name;
    next.incarnation = m_record ? m_record->incarnation : m_newIncarnation();
    next.version = m_record ? m_record->version + 1 : 1;
    next.state = m_ending ? MemberState::Ended : m_stopping ? MemberState::Stopping : MemberState::Live;
    next.guardians = m_wantedGuardians;
    next.address = toString(m_settings.peers);
    next.region = m_settings.region;
    next.failureDomain = m_settings.failureDomain;
    return next;
}

void Authority::write(Member content, uint64_t baseIndex, Instant now)
{
    if (!m_pending)
        m_pending = PendingWrite { std::move(content), baseIndex, now, now };
    m_pending->lastSentAt = now;
    m_writeInFlight = true;
    m_store.put(memberKey(m_settings.name), encode(m_pending->content), m_pending->baseIndex,
        [this](const StoreReply& reply) { handleReply(reply); });
}

void Authority::handleReply(const StoreReply& reply)
{
    const Instant now = m_clock.now();
    m_writeInFlight = false;
    m_nextWrite = now + writeInterval;
    if (!m_pending)
        return;
    if (reply.status != StoreStatus::Ok) {
        // Lost or refused, but an earlier attempt may have taken effect. Reading the record shows which.
        m_watch.refresh();
        return;
    }
    if (m_pending->content.state == MemberState::Ended)
        return clearRegistration();
    adopt(m_pending->content, m_pending->lastSentAt);
    m_indexKnown = false;
}

} // namespace cicada
