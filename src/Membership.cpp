#include "Membership.h"

#include "Json.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace cicada {

namespace {

    using Internal::Json;

    Json encodeIds(absl::Span<const EntryId> ids)
    {
        Json list = Json::array();
        for (const EntryId& id : ids)
            list.push_back({ id.name, id.incarnation });
        return list;
    }

    std::vector<EntryId> decodeIds(const Json& list)
    {
        std::vector<EntryId> ids;
        for (const auto& item : list)
            ids.push_back({ item.at(0).get<std::string>(), Internal::integerOf<uint64_t>(item.at(1)) });
        return ids;
    }

    MemberState decodeState(absl::string_view name)
    {
        for (MemberState state : { MemberState::Live, MemberState::Stopping }) {
            if (memberStateName(state) == name)
                return state;
        }
        return MemberState::Ended;
    }

} // namespace

bool contains(absl::Span<const EntryId> ids, const EntryId& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

absl::string_view memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Stopping:
        return "stopping";
    case MemberState::Ended:
        return "ended";
    }
    return "ended";
}

std::string memberKey(absl::string_view name) { return absl::StrCat(configPrefix, "members/", name); }

std::string encode(const Member& member)
{
    return Json {
        { "name", member.name }, { "incarnation", member.incarnation }, { "version", member.version },
        { "state", std::string(memberStateName(member.state)) }, { "guardians", encodeIds(member.guardians) },
        { "lapses", encodeIds(member.lapses) }, { "address", member.address }, { "region", member.region },
        { "failureDomain", member.failureDomain }
    }.dump();
}

std::optional<Member> decodeMember(absl::string_view text)
{
    try {
        const auto document = Json::parse(text.begin(), text.end());
        Member member;
        member.name = document.at("name").get<std::string>();
        member.incarnation = Internal::integerOf<uint64_t>(document.at("incarnation"));
        member.version = Internal::integerOf<uint64_t>(document.at("version"));
        member.state = decodeState(document.at("state").get<std::string>());
        member.guardians = decodeIds(document.at("guardians"));
        member.lapses = decodeIds(document.at("lapses"));
        member.address = document.at("address").get<std::string>();
        member.region = document.at("region").get<std::string>();
        member.failureDomain = document.at("failureDomain").get<std::string>();
        return member;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Membership::Membership(PeerBus& peers, ConfigWatch& watch)
    : m_peers(peers)
{
    watch.subscribe("members/", [this](absl::Span<const StoreEntry> entries) { handleEntries(entries); });
}

const Member* Membership::find(absl::string_view name) const
{
    auto it = std::find_if(m_members.begin(), m_members.end(), [name](const Member& m) { return m.name == name; });
    return it == m_members.end() ? nullptr : &*it;
}

bool Membership::hasEnded(const EntryId& id) const
{
    if (!m_known)
        return false;
    const Member* member = find(id.name);
    return !member || member->incarnation != id.incarnation || member->state == MemberState::Ended;
}

size_t Membership::rank(absl::string_view name) const
{
    return std::count_if(m_members.begin(), m_members.end(),
        [name](const Member& m) { return m.state != MemberState::Ended && m.name < name; });
}

void Membership::handleEntries(absl::Span<const StoreEntry> entries)
{
    m_known = true;
    m_members.clear();
    std::vector<PeerAddress> peers;
    for (const StoreEntry& entry : entries) {
        auto member = decodeMember(entry.value);
        if (!member || memberKey(member->name) != entry.key)
            continue;
        member->index = entry.index;
        if (member->state != MemberState::Ended)
            peers.push_back({ member->name, member->address, member->region });
        m_members.push_back(std::move(*member));
    }
    std::sort(m_members.begin(), m_members.end(), [](const Member& a, const Member& b) { return a.name < b.name; });
    m_peers.setPeers(peers);
    for (auto& observer : m_observers)
        observer();
}

} // namespace cicada
