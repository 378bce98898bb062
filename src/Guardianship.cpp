#include "Guardianship.h"

#include <glog/logging.h>

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::string_view renewalService = "authority-renew";
    constexpr absl::string_view promiseService = "authority-promise";
    constexpr absl::Duration checkInterval = absl::Milliseconds(20);
    constexpr absl::Duration retryInterval = absl::Milliseconds(300);
    /** Entries that may stand in for an ended guardian wait this long per rank, lest they all write at once. */
    constexpr absl::Duration delayPerRank = absl::Milliseconds(50);

} // namespace

Guardianship::Guardianship(const Settings& settings, Store& store, PeerBus& peers, Membership& membership,
    ConfigWatch& watch, const Clock& clock, Authority& authority)
    : m_settings(settings)
    , m_store(store)
    , m_peers(peers)
    , m_membership(membership)
    , m_watch(watch)
    , m_clock(clock)
    , m_authority(authority)
{
    membership.onChange([this] { handleMembers(); });
    peers.handle(
        renewalService, [this](absl::string_view from, absl::string_view bytes) { handleRenewal(from, bytes); });
}

void Guardianship::handleMembers()
{
    const Instant now = m_clock.now();
    absl::btree_map<EntryId, Instant> endedSince;
    for (const Member& member : m_membership.members()) {
        Watched& watched = m_watched[member.id()];
        if (member.version > watched.version) {
            watched.version = member.version;
            watched.seenAt = now;
        }
        for (const EntryId& guardian : member.guardians) {
            if (!m_membership.hasEnded(guardian))
                continue;
            auto before = m_endedSince.find(guardian);
            endedSince[guardian] = before == m_endedSince.end() ? now : before->second;
        }
    }
    m_endedSince = std::move(endedSince);
    absl::erase_if(m_watched, [&](const auto& item) {
        return m_membership.hasEnded(item.first) && now - item.second.lastPromised > 2 * m_settings.promiseTime;
    });
}

void Guardianship::handleRenewal(absl::string_view from, absl::string_view bytes)
{
    auto renewal = decodeRenewal(bytes);
    if (!renewal)
        return;
    const EntryId holder { std::string(from), renewal.value().incarnation };
    Promise promise;
    promise.sequence = renewal.value().sequence;
    promise.incarnation = holder.incarnation;
    promise.guardianIncarnation = m_authority.self().incarnation;
    promise.granted = mayPromise(holder, renewal.value());
    Watched& watched = m_watched[holder];
    promise.knownVersion = watched.version;
    if (promise.granted)
        watched.lastPromised = m_clock.now();
    m_peers.send(from, promiseService, encode(promise));
}

bool Guardianship::mayPromise(const EntryId& holder, const Renewal& renewal) const
{
    if (!m_authority.active() || renewal.guardianIncarnation != m_authority.self().incarnation)
        return false;
    const Member* member = m_membership.find(holder.name);
    if (member && member->id() == holder && member->state == MemberState::Ended)
        return false;
    auto it = m_watched.find(holder);
    if (it == m_watched.end())
        return true;
    // An older version means that the holder doesn't know the outcome of its own write; the reply carries it.
    return renewal.version > it->second.lapsedVersion && renewal.version >= it->second.version;
}

void Guardianship::tick(Instant now)
{
    // An entry that has just regained its own authority allows the others time to do the same.
    if (now < m_nextCheck || !m_authority.activeFor(m_settings.promiseTime))
        return;
    m_nextCheck = now + checkInterval;
    for (const Member& member : m_membership.members()) {
        if (member.state != MemberState::Ended && member.name != m_settings.name)
            checkMember(member, now);
    }
}

void Guardianship::checkMember(const Member& member, Instant now)
{
    Watched& watched = m_watched[member.id()];
    const bool triedRecently = member.index == watched.triedIndex && now < watched.nextTry;
    if (watched.writing || triedRecently || !watchedLongEnough(watched, now))
        return;
    const auto lapses = lapsesToRecord(member, now);
    // An entry without guardians holds no promise, so having watched its version for long enough is sufficient.
    if (!lapses.empty() || member.guardians.empty())
        record(member, lapses, now);
}

bool Guardianship::watchedLongEnough(const Watched& watched, Instant now) const
{
    return now - std::max(watched.seenAt, watched.lastPromised) >= Authority::guardianTimeout(m_settings);
}

std::vector<EntryId> Guardianship::lapsesToRecord(const Member& member, Instant now) const
{
    std::vector<EntryId> lapses;
    for (const EntryId& guardian : member.guardians) {
        if (contains(member.lapses, guardian))
            continue;
        if (guardian == m_authority.self() || mayStandInFor(guardian, now))
            lapses.push_back(guardian);
    }
    return lapses;
}

/** An ended guardian may have given promises until it ended, so an entry that stands in for it waits until those have
 * expired. */
bool Guardianship::mayStandInFor(const EntryId& guardian, Instant now) const
{
    const absl::Duration rankDelay = delayPerRank * m_membership.rank(m_settings.name);
    auto ended = m_endedSince.find(guardian);
    return ended != m_endedSince.end() && now - ended->second >= Authority::guardianTimeout(m_settings) + rankDelay;
}

void Guardianship::record(const Member& member, absl::Span<const EntryId> lapses, Instant now)
{
    Watched& watched = m_watched[member.id()];
    // Set before the write is sent: the reply may be lost, and the lapse may take effect late.
    watched.lapsedVersion = std::max(watched.lapsedVersion, member.version);
    watched.writing = true;
    watched.triedIndex = member.index;
    watched.nextTry = now + retryInterval;
    Member next = member;
    next.lapses.insert(next.lapses.end(), lapses.begin(), lapses.end());
    const bool all = std::all_of(next.guardians.begin(), next.guardians.end(),
        [&next](const EntryId& guardian) { return contains(next.lapses, guardian); });
    if (all)
        next.state = MemberState::Ended;
    LOG(INFO) << (all ? "ending " : "recording a lapse of ") << member.name << " at version " << member.version;
    m_store.put(memberKey(member.name), encode(next), member.index, [this, id = member.id()](const StoreReply& reply) {
        m_watched[id].writing = false;
        if (reply.status != StoreStatus::Ok)
            m_watch.refresh();
    });
}

} // namespace cicada
