#include "LoadReporter.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::string_view loadService = "load";
    /** What a frame adds to its payload, about: length, names, tags. */
    constexpr size_t frameOverhead = 40;

    /** Whether a peer would decide otherwise: from some to none, from none to some, or by more than a quarter. */
    bool differs(uint32_t told, uint32_t now)
    {
        if ((told == 0) != (now == 0))
            return true;
        const uint32_t change = told > now ? told - now : now - told;
        return change > 1 + told / 4;
    }

    bool differs(const ServiceLoad& told, const ServiceLoad& now)
    {
        return differs(told.freeSlots, now.freeSlots) || differs(told.freeForLong, now.freeForLong);
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
    m_budget += bytesPerSecond * absl::ToDoubleSeconds(now - m_budgetAt);
    m_budget = std::min(m_budget, mostBytesAtOnce);
    m_budgetAt = now;
    if (now >= m_nextWhole) {
        m_nextWhole = now + wholeInterval;
        m_nextChange = now + changeInterval;
        return sendWhole(loads);
    }
    if (now < m_nextChange)
        return;
    m_nextChange = now + changeInterval;
    LoadDigest digest { m_region, false, changed(loads) };
    if (digest.services.empty())
        return;
    std::vector<std::string> inRegion;
    std::vector<std::string> beyond;
    splitPeers(inRegion, beyond);
    sample(inRegion, regionSample);
    send(digest, inRegion);
}

std::vector<ServiceLoad> LoadReporter::changed(absl::Span<const ServiceLoad> loads) const
{
    std::vector<ServiceLoad> changes;
    for (const ServiceLoad& load : loads) {
        auto told = m_told.find(load.service);
        if (told == m_told.end() || differs(told->second, load))
            changes.push_back(load);
        if (changes.size() == mostServices)
            break;
    }
    return changes;
}

void LoadReporter::sendWhole(absl::Span<const ServiceLoad> loads)
{
    LoadDigest digest { m_region, true, { loads.begin(), loads.end() } };
    if (digest.services.size() > mostServices) {
        std::shuffle(digest.services.begin(), digest.services.end(), m_random);
        digest.services.resize(mostServices);
        digest.isWhole = false;
    }
    std::vector<std::string> inRegion;
    std::vector<std::string> beyond;
    splitPeers(inRegion, beyond);
    sample(inRegion, regionSample);
    sample(beyond, beyondSample);
    send(digest, inRegion);
    send(digest, beyond);
}

void LoadReporter::send(const LoadDigest& digest, absl::Span<const std::string> peers)
{
    const std::string bytes = encode(digest);
    const size_t size = bytes.size() + frameOverhead;
    for (const std::string& peer : peers) {
        if (m_budget < static_cast<double>(size))
            return;
        m_budget -= static_cast<double>(size);
        m_bytesSent += size;
        m_peers.send(peer, loadService, bytes);
    }
    for (const ServiceLoad& load : digest.services)
        m_told[load.service] = load;
}

void LoadReporter::sample(std::vector<std::string>& peers, size_t most)
{
    if (peers.size() <= most)
        return;
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(most);
}

void LoadReporter::splitPeers(std::vector<std::string>& inRegion, std::vector<std::string>& beyond) const
{
    for (std::string& peer : m_peers.peerNames()) {
        const bool isNear = m_loads.region(peer) == m_region;
        (isNear ? inRegion : beyond).push_back(std::move(peer));
    }
}

} // namespace cicada
