#include "PeerLoads.h"

#include <algorithm>

namespace cicada {

size_t RandomChoice::choose(absl::Span<const PeerCandidate> candidates, std::mt19937_64& random) const
{
    return std::uniform_int_distribution<size_t>(0, candidates.size() - 1)(random);
}

size_t LeastLoadedChoice::choose(absl::Span<const PeerCandidate> candidates, std::mt19937_64&) const
{
    const auto best = std::max_element(candidates.begin(), candidates.end(),
        [](const PeerCandidate& a, const PeerCandidate& b) { return a.freeSlots < b.freeSlots; });
    return static_cast<size_t>(best - candidates.begin());
}

void PeerLoads::update(absl::string_view name, const LoadDigest& digest, Instant now)
{
    Peer& peer = m_peers[std::string(name)];
    peer.region = digest.region;
    peer.receivedAt = now;
    if (digest.isWhole)
        peer.services.clear();
    for (const ServiceLoad& load : digest.services)
        peer.services[load.service] = load;
}

void PeerLoads::setFree(absl::string_view name, absl::string_view service, uint32_t free, uint32_t freeForLong)
{
    auto peer = m_peers.find(name);
    if (peer == m_peers.end())
        return;
    ServiceLoad& load = peer->second.services[std::string(service)];
    load.freeSlots = free;
    load.freeForLong = freeForLong;
}

void PeerLoads::decrementFree(absl::string_view name, absl::string_view service)
{
    auto peer = m_peers.find(name);
    if (peer == m_peers.end())
        return;
    ServiceLoad& load = peer->second.services[std::string(service)];
    load.freeSlots -= std::min(load.freeSlots, 1U);
    load.freeForLong -= std::min(load.freeForLong, 1U);
}

uint32_t PeerLoads::freeSlotsAt(const Peer& peer, absl::string_view service, bool isLong, Instant now) const
{
    if (now - peer.receivedAt > maxAge)
        return 0;
    auto load = peer.services.find(service);
    if (load == peer.services.end())
        return 0;
    return isLong ? load->second.freeForLong : load->second.freeSlots;
}

std::vector<PeerCandidate> PeerLoads::candidates(
    absl::string_view service, bool isLong, bool otherRegions, Instant now) const
{
    std::vector<PeerCandidate> found;
    for (const auto& [name, peer] : m_peers) {
        if ((peer.region != m_region) != otherRegions)
            continue;
        const uint32_t free = freeSlotsAt(peer, service, isLong, now);
        if (free > 0)
            found.push_back({ name, free });
    }
    return found;
}

bool PeerLoads::anyFree(absl::string_view service, bool isLong, bool otherRegions, Instant now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& named) {
        const Peer& peer = named.second;
        return (peer.region != m_region) == otherRegions && freeSlotsAt(peer, service, isLong, now) > 0;
    });
}

uint32_t PeerLoads::freeSlots(absl::string_view service, bool isLong, bool otherRegions, Instant now) const
{
    uint32_t sum = 0;
    for (const auto& [name, peer] : m_peers) {
        if ((peer.region != m_region) == otherRegions)
            sum += freeSlotsAt(peer, service, isLong, now);
    }
    return sum;
}

size_t PeerLoads::recentPeersInRegion(Instant now) const
{
    return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(),
        [&](const auto& named) { return named.second.region == m_region && now - named.second.receivedAt <= maxAge; }));
}

std::string PeerLoads::region(absl::string_view name) const
{
    auto peer = m_peers.find(name);
    return peer == m_peers.end() ? "" : peer->second.region;
}

} // namespace cicada
