#pragma once

/** \file
 * Reports the free capacity of this entry to the other entries. The traffic is bounded at all times: between the
 * periodic full digests only changes are sent, at a minimum interval, and all digests keep within a budget of bytes.
 * Other regions get only the full digests, and each digest goes to a random sample of peers.
 */

#include "PeerBus.h"
#include "PeerLoads.h"

#include "absl/container/btree_map.h"

#include <random>
#include <string>
#include <vector>

namespace cicada {

/** Sends load digests. Used on the decision thread only. */
class LoadReporter {
public:
    /** All arguments must outlive the reporter. `region` is this entry's own. */
    LoadReporter(std::string region, PeerBus&, const PeerLoads&, std::mt19937_64&);

    /** Whether a digest may be due. */
    bool isDue(Instant now) const { return now >= m_nextChangeDigest; }
    /** Sends the digest that is due, if there is one. */
    void report(absl::Span<const ServiceLoad> loads, Instant now);
    uint64_t bytesSent() const { return m_bytesSent; }

    /** Between two digests of changes, which go to the own region only. */
    static constexpr absl::Duration changeDigestInterval = absl::Milliseconds(50);
    /** Between two full digests, which also go to other regions. */
    static constexpr absl::Duration fullDigestInterval = absl::Seconds(1);
    static constexpr double maxBytesPerSecond = 2000;
    static constexpr double maxBurstBytes = 4000;
    /** The maximum number of peers in the own region, and in other regions, that one digest is sent to. */
    static constexpr size_t maxRegionPeers = 8;
    static constexpr size_t maxOtherRegionPeers = 8;
    /** The maximum number of services in one digest; if there are more, each full digest contains a random subset. */
    static constexpr size_t maxServices = 32;

private:
    std::vector<ServiceLoad> changed(absl::Span<const ServiceLoad> loads) const;
    void sendFullDigest(absl::Span<const ServiceLoad> loads);
    void send(const LoadDigest& digest, absl::Span<const std::string> peers);
    void sample(std::vector<std::string>& peers, size_t maxPeers);
    void splitPeers(std::vector<std::string>& inRegion, std::vector<std::string>& otherRegions) const;

    const std::string m_region;
    PeerBus& m_peers;
    const PeerLoads& m_loads;
    std::mt19937_64& m_random;
    absl::btree_map<std::string, ServiceLoad> m_lastReported;
    Instant m_nextChangeDigest = absl::ZeroDuration();
    Instant m_nextFullDigest = absl::ZeroDuration();
    double m_byteBudget = maxBurstBytes;
    Instant m_budgetUpdatedAt = absl::ZeroDuration();
    uint64_t m_bytesSent = 0;
};

} // namespace cicada
