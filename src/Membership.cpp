#include "Membership.h"

#include "Json.h"

#include "absl/strings/str_cat.h"

namespace cicada {

namespace {

    constexpr absl::Duration retryDelay = absl::Milliseconds(300);

    std::string memberKey(absl::string_view name) { return absl::StrCat(configPrefix, "members/", name); }

    std::string encode(const Settings& settings)
    {
        return Internal::Json {
            { "name", settings.name }, { "address", toString(settings.peers) }, { "region", settings.region },
            { "failureDomain", settings.failureDomain }
        }.dump();
    }

    bool decode(const std::string& text, Member& member)
    {
        const auto document = Internal::Json::parse(text, nullptr, false);
        if (!document.is_object())
            return false;
        member.name = document.value("name", "");
        member.address = document.value("address", "");
        member.region = document.value("region", "");
        member.failureDomain = document.value("failureDomain", "");
        return !member.name.empty();
    }

} // namespace

Membership::Membership(const Settings& settings, Store& store, PeerBus& peers, ConfigWatch& watch, const Clock& clock)
    : m_settings(settings)
    , m_store(store)
    , m_peers(peers)
    , m_clock(clock)
{
    watch.subscribe("members/", [this](absl::Span<const StoreEntry> entries) { handleEntries(entries); });
}

void Membership::start() { registerSelf(); }

void Membership::tick(Instant now)
{
    if (!m_registered && !m_registering && now >= m_nextAttempt)
        registerSelf();
}

void Membership::registerSelf()
{
    m_registering = true;
    const std::string key = memberKey(m_settings.name);
    m_store.get(key, [this, key](const StoreReply& reply) {
        if (reply.status == StoreStatus::Unavailable) {
            m_registering = false;
            m_nextAttempt = m_clock.now() + retryDelay;
            return;
        }
        const uint64_t index = reply.entries.empty() ? 0 : reply.entries[0].index;
        m_store.put(key, encode(m_settings), index, [this](const StoreReply& written) {
            m_registering = false;
            m_registered = written.status == StoreStatus::Ok;
            m_nextAttempt = m_clock.now() + retryDelay;
        });
    });
}

void Membership::handleEntries(absl::Span<const StoreEntry> entries)
{
    m_members.clear();
    std::vector<PeerAddress> peers;
    for (const StoreEntry& entry : entries) {
        Member member;
        if (!decode(entry.value, member))
            continue;
        peers.push_back({ member.name, member.address, member.region });
        m_members.push_back(std::move(member));
    }
    m_peers.setPeers(peers);
    for (auto& observer : m_observers)
        observer();
}

} // namespace cicada
