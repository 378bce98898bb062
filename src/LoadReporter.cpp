#include "LoadReporter.h"

#include <algorithm>

namespace cicada {

namespace {

    /** The approximate size in bytes that a frame adds to its payload: length, names, tags. */
    constexpr size_t frameOverhead = 40;

    /** Whether the change matters to a peer's decisions: from zero to non-zero, from non-zero to zero, or by more than
     * a quarter. */
    bool differs(uint32_t reported, uint32_t now)
    {
        if ((reported == 0) != (now == 0))
            return true;
        const uint32_t change = reported > now ? reported - now : now - reported;
        return change > 1 + reported / 4;
    }

    bool differs(const ServiceLoad& reported, const ServiceLoad& now)
    {
        return differs(reported.freeSlots, now.freeSlots) || differs(reported.freeForLong, now.freeForLong);
    }

} // namespace

LoadReporter::LoadReporter(std::string region, PeerBus& peers, const PeerLoads& loads, std::mt19937_64& random)
    : m_region(std::move(region))
    , m_peers(peers)
    , m_loads(loads)
    , m_random(random)
{
}

void LoadReporter::report(absl::Span<const ServiceLoad> loads, Instant now)
{
    m_byteBudget += maxBytesPerSecond * absl::ToDoubleSeconds(now - m_budgetUpdatedAt);
    m_byteBudget = std::min(m_byteBudget, maxBurstBytes);
    m_budgetUpdatedAt = now;
    if (now >= m_nextFullDigest) {
        m_nextFullDigest = now + fullDigestInterval;
        m_nextChangeDigest = now + changeDigestInterval;
        return sendFullDigest(loads);
    }
    if (now < m_nextChangeDigest)
        return;
    m_nextChangeDigest = now + changeDigestInterval;
    LoadDigest digest { m_region, false, changed(loads) };
    if (digest.services.empty())
        return;
    std::vector<std::string> inRegion;
    std::vector<std::string> otherRegions;
    splitPeers(inRegion, otherRegions);
    sample(inRegion, maxRegionPeers);
    send(digest, inRegion);
}

std::vector<ServiceLoad> LoadReporter::changed(absl::Span<const ServiceLoad> loads) const
{
    std::vector<ServiceLoad> changes;
    for (const ServiceLoad& load : loads) {
        auto reported = m_lastReported.find(load.service);
        if (reported == m_lastReported.end() || differs(reported->second, load))
            changes.push_back(load);
        if (changes.size() == maxServices)
            break;
    }
    return changes;
}

void LoadReporter::sendFullDigest(absl::Span<const ServiceLoad> loads)
{
    LoadDigest digest { m_region, true, { loads.begin(), loads.end() } };
    if (digest.services.size() > maxServices) {
        std::shuffle(digest.services.begin(), digest.services.end(), m_random);
        digest.services.resize(maxServices);
        digest.isWhole = false;
    }
    std::vector<std::string> inRegion;
    std::vector<std::string> otherRegions;
    splitPeers(inRegion, otherRegions);
    sample(inRegion, maxRegionPeers);
    sample(otherRegions, maxOtherRegionPeers);
    send(digest, inRegion);
    send(digest, otherRegions);
}

void LoadReporter::send(const LoadDigest& digest, absl::Span<const std::string> peers)
{
    const std::string bytes = encode(digest);
    const size_t size = bytes.size() + frameOverhead;
    for (const std::string& peer : peers) {
        if (m_byteBudget < static_cast<double>(size))
            return;
        m_byteBudget -= static_cast<double>(size);
        m_bytesSent += size;
        m_peers.send(peer, loadService, bytes);
    }
    for (const ServiceLoad& load : digest.services)
        m_lastReported[load.service] = load;
}

void LoadReporter::sample(std::vector<std::string>& peers, size_t maxPeers)
{
    if (peers.size() <= maxPeers)
        return;
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(maxPeers);
}

void LoadReporter::splitPeers(std::vector<std::string>& inRegion, std::vector<std::string>& otherRegions) const
{
    for (std::string& peer : m_peers.peerNames()) {
        const bool isSameRegion = m_loads.region(peer) == m_region;
        (isSameRegion ? inRegion : otherRegions).push_back(std::move(peer));
    }
}

} // namespace cicada
