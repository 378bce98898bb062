#pragma once

/** \file
 * Which entries there are. Each keeps one record in the store; all learn of the others from the watch. The record
 * says under which incarnation and version an entry runs and who guards it, so that an entry can only be ended by a
 * compare-and-swap that loses against anything the entry has written meanwhile.
 */

#include "ConfigWatch.h"
#include "PeerBus.h"

#include "absl/functional/any_invocable.h"
#include "absl/types/span.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicada {

/** One run of one entry. A restarted entry keeps its name and gets another incarnation. */
struct EntryId {
    std::string name;
    uint64_t incarnation = 0;

    friend bool operator==(const EntryId& a, const EntryId& b)
    {
        return a.name == b.name && a.incarnation == b.incarnation;
    }
    friend bool operator<(const EntryId& a, const EntryId& b)
    {
        return a.name != b.name ? a.name < b.name : a.incarnation < b.incarnation;
    }
};

/** Where an entry is in its life. */
enum class MemberState {
    Live,
    /** Hands over what it owns, and guards nobody new. */
    Stopping,
    /** Gone for good under this incarnation; it never acts again. */
    Ended,
};

/** The name of a state as stored and shown. */
absl::string_view memberStateName(MemberState);

/** The record of one entry. */
struct Member {
    std::string name;
    uint64_t incarnation = 0;
    /** Raised by each write of the entry itself, and by nobody else. */
    uint64_t version = 0;
    MemberState state = MemberState::Live;
    /** Those whose promises keep this entry's authority alive. */
    std::vector<EntryId> guardians;
    /** Guardians whose last promise to this version has lapsed, as they or their stand-ins recorded. */
    std::vector<EntryId> lapses;
    std::string address;
    std::string region;
    std::string failureDomain;
    /** The store's index of the record; not part of it. */
    uint64_t index = 0;

    EntryId id() const { return { name, incarnation }; }
};

/** The key of an entry's record. */
std::string memberKey(absl::string_view name);
std::string encode(const Member&);
/** Nothing when the text is no record. */
std::optional<Member> decodeMember(absl::string_view text);

/** All entries as the store last told. Used on the decision thread only. */
class Membership {
public:
    /** Both arguments must outlive the membership. */
    Membership(PeerBus&, ConfigWatch&);

    /** False until the store has been read once; until then members() says nothing. */
    bool known() const { return m_known; }
    /** All entries that have a record, sorted by name; ended ones too. */
    absl::Span<const Member> members() const { return m_members; }
    /** The record of that name, or null. */
    const Member* find(absl::string_view name) const;
    /** True when that incarnation has ended for good. False when this isn't known. */
    bool hasEnded(const EntryId&) const;
    /** The position of `name` among the entries that have not ended, for spreading chores; 0 is the first. */
    size_t rank(absl::string_view name) const;
    void onChange(absl::AnyInvocable<void()> observer) { m_observers.push_back(std::move(observer)); }

private:
    void handleEntries(absl::Span<const StoreEntry>);

    PeerBus& m_peers;
    std::vector<Member> m_members;
    std::vector<absl::AnyInvocable<void()>> m_observers;
    bool m_known = false;
};

} // namespace cicada
