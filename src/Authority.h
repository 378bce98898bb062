#pragma once

/** \file
 * Decides whether this entry may act at all. It may while it holds an unexpired promise from one of its guardians, or
 * has written its own record in the store within the last promise time. Both periods are measured from when the
 * request was sent, so an entry that was paused or partitioned stops by its own clock before any other entry may end
 * it.
 *
 * It does no I/O of its own; its only inputs are the clock, messages from peers and replies from the store.
 */

#include "AuthorityMessages.h"
#include "Clock.h"
#include "Membership.h"
#include "Settings.h"
#include "Store.h"

#include "absl/container/btree_map.h"

#include <deque>
#include <optional>

namespace cicada {

/** The holder's side of authority: renews promises and writes the own record. Used on the decision thread only. */
class Authority {
public:
    /** Returns a number that no other incarnation of any entry has ever had. */
    using IncarnationSource = absl::AnyInvocable<uint64_t()>;

    /** All arguments must outlive the authority. */
    Authority(const Settings&, Store&, PeerBus&, Membership&, ConfigWatch&, const Clock&, IncarnationSource);

    void tick(Instant now);

    /** True while the last known record of this entry exists and has not ended. */
    bool registered() const { return m_record.has_value(); }
    /** The name and incarnation of this process; the incarnation is 0 before registration. */
    EntryId self() const { return { m_settings.name, m_record ? m_record->incarnation : 0 }; }
    /** When the authority expires unless it is renewed, on this process's clock. */
    Instant until() const;
    /** True while this entry may act. */
    bool active() const { return m_clock.now() < until(); }
    /** True when this entry has been active for at least `duration` without a gap that tick() detected. */
    bool activeFor(absl::Duration duration) const;
    absl::Span<const EntryId> guardians() const;

    /** Announces in the own record that this entry is stopping; it continues to act. */
    void announceStop() { m_stopping = true; }
    /** Stops acting immediately and permanently, and marks the own record as ended. */
    void end();
    /** True once the own record is known to be ended after end(). */
    bool ended() const { return m_ended; }

    /** How long the holder relies on a promise or on a write of its own, from when it sent the request. */
    static absl::Duration holderTimeout(const Settings&);
    /** How long a guardian waits after giving a promise before it considers the promise lapsed. */
    static absl::Duration guardianTimeout(const Settings&);

private:
    /** A write of the own record whose outcome is not known yet. It is repeated unchanged until it is. */
    struct PendingWrite {
        Member content;
        /** The index that the write expects: once the record has another index, the write can no longer take effect. */
        uint64_t baseIndex = 0;
        Instant firstSentAt;
        Instant lastSentAt;
    };
    struct SentRenewal {
        uint64_t sequence = 0;
        Instant sentAt;
    };

    void handleMembers();
    void handleOwnRecord(const Member& record);
    void handleReply(const StoreReply& reply);
    void handlePromise(absl::string_view from, absl::string_view bytes);
    void handleKnownVersion(uint64_t version);
    void updateActiveSince(Instant now);
    void renew(Instant now);
    void writeIfDue(Instant now);
    void registerSelf(Instant now);
    void write(Member content, uint64_t baseIndex, Instant now);
    void adopt(const Member& record, Instant requestedAt);
    void clearRegistration();
    bool mayRegister(Instant now) const;
    bool ownWriteDue(Instant now) const;
    bool countsPromisesOf(const EntryId& guardian) const;
    Member nextContent();

    const Settings& m_settings;
    Store& m_store;
    PeerBus& m_peers;
    Membership& m_membership;
    ConfigWatch& m_watch;
    const Clock& m_clock;
    IncarnationSource m_newIncarnation;

    /** The own record as last confirmed; empty before it is stored and after it has been ended. */
    std::optional<Member> m_record;
    std::vector<EntryId> m_wantedGuardians;
    /** No record of this incarnation can have an index as low as this. */
    uint64_t m_indexFloor = 0;
    /** False when the index of the record is not known because a write was confirmed by something other than a read. */
    bool m_indexKnown = false;
    std::optional<PendingWrite> m_pending;
    bool m_writeInFlight = false;
    std::optional<Instant> m_startedAt;
    Instant m_nextWrite = absl::ZeroDuration();
    Instant m_nextRenewal = absl::ZeroDuration();
    Instant m_nextRefresh = absl::ZeroDuration();
    Instant m_ownWriteUntil = -absl::InfiniteDuration();
    absl::btree_map<EntryId, Instant> m_promises;
    std::deque<SentRenewal> m_renewals;
    uint64_t m_nextSequence = 1;
    std::optional<Instant> m_activeSince;
    bool m_stopping = false;
    bool m_ending = false;
    bool m_ended = false;
};

} // namespace cicada
