#include "OwnershipPlan.h"

#include <algorithm>

namespace cicada {

namespace {

    /** Groups of each kind, "executor", "rack" or "claims", are spread separately. */
    absl::string_view kindOf(absl::string_view group) { return group.substr(0, group.find('/')); }

    /** The number of groups that each entry owns, per kind and in total. */
    class Loads {
    public:
        Loads(const OwnershipRows& rows, const Membership& membership)
        {
            for (const Member& member : membership.members()) {
                if (member.state == MemberState::Live)
                    m_live[member.id()] = member.region;
            }
            for (const auto& [group, row] : rows)
                add(row.owner, group, 1);
        }

        void add(const EntryId& owner, absl::string_view group, int delta)
        {
            m_perKind[{ owner, std::string(kindOf(group)) }] += delta;
            m_total[owner] += delta;
        }

        /** Orders by the number of groups of this kind, then by the total, then by name. */
        auto weight(const EntryId& entry, absl::string_view group) const
        {
            auto ofKind = m_perKind.find({ entry, std::string(kindOf(group)) });
            auto all = m_total.find(entry);
            return std::make_tuple(
                ofKind == m_perKind.end() ? 0 : ofKind->second, all == m_total.end() ? 0 : all->second, entry.name);
        }

        bool isLive(const EntryId& entry) const { return m_live.contains(entry); }
        std::string regionOf(const EntryId& entry) const
        {
            auto it = m_live.find(entry);
            return it == m_live.end() ? "" : it->second;
        }

        bool hasLiveEntryIn(absl::string_view region) const
        {
            return std::any_of(
                m_live.begin(), m_live.end(), [region](const auto& item) { return item.second == region; });
        }

        bool isEligible(absl::string_view entryRegion, absl::string_view region) const
        {
            return region.empty() || entryRegion == region || !hasLiveEntryIn(region);
        }

        /** The number of groups of this kind that each eligible entry would own in an even spread, rounded down. */
        int fairShare(absl::string_view group, absl::string_view region) const
        {
            int entries = 0;
            int groups = 0;
            for (const auto& [entry, entryRegion] : m_live) {
                if (!isEligible(entryRegion, region))
                    continue;
                ++entries;
                groups += std::get<0>(weight(entry, group));
            }
            return entries == 0 ? 0 : groups / entries;
        }

        /** The least loaded live entry of `region`, or of all regions when none is live there; null if none. */
        const EntryId* entryWithLeastLoad(absl::string_view group, absl::string_view region) const
        {
            const EntryId* best = nullptr;
            for (const auto& [entry, entryRegion] : m_live) {
                if (!isEligible(entryRegion, region))
                    continue;
                if (!best || weight(entry, group) < weight(*best, group))
                    best = &entry;
            }
            return best;
        }

    private:
        absl::btree_map<EntryId, std::string> m_live;
        absl::btree_map<std::pair<EntryId, std::string>, int> m_perKind;
        absl::btree_map<EntryId, int> m_total;
    };

    void moveTo(Loads& loads, OwnershipMoves& moves, const std::string& group, const EntryId& from, const EntryId& to)
    {
        loads.add(from, group, -1);
        loads.add(to, group, 1);
        moves[group] = to;
    }

    /** True when the owner should hand the group to `other`, the least loaded entry for it. */
    bool shouldHandOver(const Loads& loads, const std::string& group, const OwnershipRow& row, const EntryId& other)
    {
        if (other == row.owner)
            return false;
        if (!loads.isLive(row.owner))
            return true;
        const bool misplaced
            = !row.region.empty() && loads.regionOf(row.owner) != row.region && loads.regionOf(other) == row.region;
        const int own = std::get<0>(loads.weight(row.owner, group));
        const int others = std::get<0>(loads.weight(other, group));
        return misplaced || (own - others >= 2 && own > loads.fairShare(group, row.region));
    }

} // namespace

OwnershipMoves planUnownedGroups(const OwnershipRows& rows, const GroupRegions& groups, const Membership& membership)
{
    Loads loads(rows, membership);
    OwnershipMoves moves;
    for (const auto& [group, row] : rows) {
        const EntryId* successor
            = membership.hasEnded(row.owner) ? loads.entryWithLeastLoad(group, row.region) : nullptr;
        if (successor)
            moveTo(loads, moves, group, row.owner, *successor);
    }
    for (const auto& [group, region] : groups) {
        const EntryId* owner = rows.contains(group) ? nullptr : loads.entryWithLeastLoad(group, region);
        if (owner)
            moveTo(loads, moves, group, {}, *owner);
    }
    return moves;
}

OwnershipMoves planHandovers(const OwnershipRows& rows, const Membership& membership, const EntryId& self)
{
    Loads loads(rows, membership);
    OwnershipMoves moves;
    for (const auto& [group, row] : rows) {
        if (row.owner != self)
            continue;
        const EntryId* other = loads.entryWithLeastLoad(group, row.region);
        if (other && shouldHandOver(loads, group, row, *other))
            moveTo(loads, moves, group, self, *other);
    }
    return moves;
}

} // namespace cicada
