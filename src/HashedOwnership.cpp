#include "HashedOwnership.h"

#include <xxhash.h>

namespace cicada {

namespace {

    uint64_t weight(absl::string_view group, absl::string_view member)
    {
        const uint64_t seed = XXH3_64bits(member.data(), member.size());
        return XXH3_64bits_withSeed(group.data(), group.size(), seed);
    }

    std::string highestWeightMember(absl::string_view group, absl::string_view region, absl::Span<const Member> members)
    {
        const Member* best = nullptr;
        for (const Member& member : members) {
            const bool outside = !region.empty() && member.region != region;
            if (outside || member.state == MemberState::Ended)
                continue;
            if (!best || weight(group, member.name) > weight(group, best->name))
                best = &member;
        }
        return best ? best->name : "";
    }

} // namespace

HashedOwnership::HashedOwnership(
    const Settings& settings, Membership& membership, BackEnds& backEnds, const Clock& clock)
    : m_settings(settings)
    , m_membership(membership)
    , m_backEnds(backEnds)
    , m_clock(clock)
{
    membership.onChange([this] { recompute(); });
    backEnds.onChange([this] { recompute(); });
}

std::optional<Term> HashedOwnership::term(absl::string_view group) const
{
    if (owner(group) != m_settings.name)
        return std::nullopt;
    return Term { 1, m_clock.now() + m_settings.promiseTime };
}

std::string HashedOwnership::owner(absl::string_view group) const
{
    auto it = m_owners.find(group);
    return it == m_owners.end() ? "" : it->second;
}

void HashedOwnership::recompute()
{
    const auto before = std::move(m_owners);
    m_owners.clear();
    for (const BackEnd& backEnd : m_backEnds.all()) {
        const std::string group = backEnd.group();
        std::string best = highestWeightMember(group, backEnd.region, m_membership.members());
        if (best.empty())
            best = highestWeightMember(group, "", m_membership.members());
        m_owners[group] = best;
    }
    for (uint32_t partition = 0; partition < claimPartitions; ++partition)
        m_owners[claimGroup(partition)] = highestWeightMember(claimGroup(partition), "", m_membership.members());
    notify(before);
}

void HashedOwnership::notify(const absl::flat_hash_map<std::string, std::string>& before)
{
    for (const auto& [group, owner] : m_owners) {
        auto old = before.find(group);
        const bool wasOwned = old != before.end() && old->second == m_settings.name;
        const bool owned = owner == m_settings.name;
        if (owned == wasOwned)
            continue;
        for (auto& observer : m_observers)
            observer(group, 1, owned);
    }
}

} // namespace cicada
