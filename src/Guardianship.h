#pragma once

/** \file
 * The guardian's side of authority: promises to other entries, and the ending of those that no longer hold any.
 *
 * An entry is ended in the store only after each of its guardians has let a whole promise time pass without promising
 * and has recorded that. A guardian decides never to promise a version again before it sends the lapse, because the
 * reply may be lost. A lapse holds for the version that was watched: the entry's own write raises it and clears them.
 */

#include "Authority.h"

namespace cicada {

/** Promises to others, and ends them. Used on the decision thread only. */
class Guardianship {
public:
    /** All arguments must outlive the guardianship. */
    Guardianship(const Settings&, Store&, PeerBus&, Membership&, ConfigWatch&, const Clock&, Authority&);

    void tick(Instant now);

private:
    /** What this entry knows and did about one run of another entry. */
    struct Watched {
        uint64_t version = 0;
        /** When that version was first seen. */
        Instant seenAt = absl::ZeroDuration();
        Instant lastPromised = -absl::InfiniteDuration();
        /** Versions up to this one get no promise any more. */
        uint64_t lapsedVersion = 0;
        bool writing = false;
        /** The record's index at the last try to write, and when to try once more if it stays. */
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
    /** When a guardian that a record names was first seen to be gone. */
    absl::btree_map<EntryId, Instant> m_endedSince;
};

} // namespace cicada
