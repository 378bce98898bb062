#pragma once

/** \file
 * The guardian's side of authority: gives promises to other entries, and ends those that no longer hold one.
 *
 * An entry is ended in the store only after each of its guardians has let a whole promise time pass without giving a
 * promise and has recorded that as a lapse. Before a guardian sends the lapse it commits to giving no further promise
 * to that version, because the reply may be lost. A lapse applies to the version that was watched: a write of the entry
 * itself raises the version and clears the lapses.
 */

#include "Authority.h"

namespace cicada {

/** Gives promises to other entries and ends those whose promises have lapsed. Used on the decision thread only. */
class Guardianship {
public:
    /** All arguments must outlive the guardianship. */
    Guardianship(const Settings&, Store&, PeerBus&, Membership&, ConfigWatch&, const Clock&, Authority&);

    void tick(Instant now);

private:
    /** The state that this entry keeps about one incarnation of another entry. */
    struct Watched {
        uint64_t version = 0;
        /** When that version was first seen. */
        Instant seenAt = absl::ZeroDuration();
        Instant lastPromised = -absl::InfiniteDuration();
        /** Versions up to and including this one are given no further promise. */
        uint64_t lapsedVersion = 0;
        bool writing = false;
        /** The record's index at the last attempt to write, and when to retry if the index has not changed. */
        uint64_t triedIndex = 0;
        Instant nextTry = absl::ZeroDuration();
    };

    void handleMembers();
    void handleRenewal(absl::string_view from, absl::string_view bytes);
    bool mayPromise(const EntryId& holder, const Renewal& renewal) const;
    void checkMember(const Member& member, Instant now);
    bool watchedLongEnough(const Watched& watched, Instant now) const;
    std::vector<EntryId> lapsesToRecord(const Member& member, Instant now) const;
    bool mayStandInFor(const EntryId& guardian, Instant now) const;
    void record(const Member& member, absl::Span<const EntryId> lapses, Instant now);

    const Settings& m_settings;
    Store& m_store;
    PeerBus& m_peers;
    Membership& m_membership;
    ConfigWatch& m_watch;
    const Clock& m_clock;
    Authority& m_authority;
    Instant m_nextCheck = absl::ZeroDuration();
    absl::btree_map<EntryId, Watched> m_watched;
    /** When a guardian that a record names was first seen to have ended. */
    absl::btree_map<EntryId, Instant> m_endedSince;
};

} // namespace cicada
