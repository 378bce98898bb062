#include "GuardianChoice.h"

#include "absl/container/flat_hash_map.h"

#include <xxhash.h>

#include <algorithm>

namespace cicada {

namespace {

    using MemberList = std::vector<const Member*>;
    using Choices = absl::flat_hash_map<const Member*, MemberList>;

    uint64_t ringPosition(const Member& member) { return XXH3_64bits(member.name.data(), member.name.size()); }

    bool contains(const MemberList& list, const Member* member)
    {
        return std::find(list.begin(), list.end(), member) != list.end();
    }

    /** The members that have not ended, ordered by the hash of their names, which is independent of their location. */
    MemberList sortedRing(absl::Span<const Member> members)
    {
        MemberList ring;
        for (const Member& member : members) {
            if (member.state != MemberState::Ended)
                ring.push_back(&member);
        }
        std::sort(ring.begin(), ring.end(), [](const Member* a, const Member* b) {
            return std::make_pair(ringPosition(*a), a->name) < std::make_pair(ringPosition(*b), b->name);
        });
        return ring;
    }

    /** The cost of `candidate` as a further guardian of `holder`; lower is better. */
    int penalty(const Member& holder, const Member& candidate, const Choices& choices, const MemberList& chosen)
    {
        auto reverse = choices.find(&candidate);
        const bool mutual = reverse != choices.end() && contains(reverse->second, &holder);
        const bool sameDomain = candidate.failureDomain == holder.failureDomain;
        const bool repeated = std::any_of(chosen.begin(), chosen.end(),
            [&](const Member* other) { return other->failureDomain == candidate.failureDomain; });
        return (sameDomain ? 4 : 0) + (mutual ? 2 : 0) + (repeated ? 1 : 0);
    }

    /** The candidate with the lowest penalty; among equals, the next one in the ring after the holder. */
    const Member* nextGuardian(const MemberList& ring, size_t holder, const Choices& choices, const MemberList& chosen)
    {
        const Member* best = nullptr;
        int minPenalty = 0;
        for (size_t step = 1; step < ring.size(); ++step) {
            const Member* candidate = ring[(holder + step) % ring.size()];
            if (candidate->state != MemberState::Live || contains(chosen, candidate))
                continue;
            const int candidatePenalty = penalty(*ring[holder], *candidate, choices, chosen);
            if (!best || candidatePenalty < minPenalty) {
                best = candidate;
                minPenalty = candidatePenalty;
            }
        }
        return best;
    }

} // namespace

std::vector<EntryId> chooseGuardians(absl::string_view self, absl::Span<const Member> members)
{
    const MemberList ring = sortedRing(members);
    Choices choices;
    std::vector<EntryId> result;
    for (size_t i = 0; i < ring.size(); ++i) {
        MemberList chosen;
        while (chosen.size() < maxGuardians) {
            const Member* guardian = nextGuardian(ring, i, choices, chosen);
            if (!guardian)
                break;
            chosen.push_back(guardian);
        }
        if (ring[i]->name == self) {
            for (const Member* guardian : chosen)
                result.push_back(guardian->id());
        }
        choices[ring[i]] = std::move(chosen);
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace cicada
