#pragma once

/** \file
 * The list of entries. Each entry keeps one record in the store, and all entries follow the others' records through the
 * watch. The record holds the entry's incarnation, version and guardians, so that an entry can be ended only by a
 * compare-and-swap that fails if the entry has written its record meanwhile.
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

/** One incarnation of one entry. A restarted entry keeps its name and gets another incarnation. */
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

bool contains(absl::Span<const EntryId> ids, const EntryId& id);

/** The lifecycle state of an entry. */
enum class MemberState {
    Live,
    /** Hands over the groups it owns, and is not chosen as a guardian. */
    Stopping,
    /** Permanently ended; this incarnation never acts again. */
    Ended,
};

/** The name of a state as stored and shown. */
absl::string_view memberStateName(MemberState);

/** The record of one entry. */
struct Member {
    std::string name;
    uint64_t incarnation = 0;
    /** Raised by each write of the entry itself, and by no other entry. */
    uint64_t version = 0;
    MemberState state = MemberState::Live;
    /** The entries whose promises extend this entry's authority. */
    std::vector<EntryId> guardians;
    /** Guardians whose last promise to this version has lapsed, as recorded by them or by entries that stand in. */
    std::vector<EntryId> lapses;
    std::string address;
    std::string region;
    std::string failureDomain;
    /** The store's index of the record; not part of the stored value. */
    uint64_t index = 0;

    EntryId id() const { return { name, incarnation }; }
};

/** The key of an entry's record. */
std::string memberKey(absl::string_view name);
std::string encode(const Member&);
/** Nothing when the text is not a valid record. */
std::optional<Member> decodeMember(absl::string_view text);

/** All entries as last reported by the store. Used on the decision thread only. */
class Membership {
public:
    /** Both arguments must outlive the membership. */
    Membership(PeerBus&, ConfigWatch&);

    /** False until the store has been read once; until then members() is empty and has no meaning. */
    bool known() const { return m_known; }
    /** All entries that have a record, sorted by name; ended ones too. */
    absl::Span<const Member> members() const { return m_members; }
    /** The record of that name, or null. */
    const Member* find(absl::string_view name) const;
    /** True when that incarnation has permanently ended. False when this isn't known. */
    bool hasEnded(const EntryId&) const;
    /** The position of `name` among the entries that have not ended, for spreading shared work; 0 is the first. */
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
