#pragma once

/** \file
 * The free slots that the other entries last reported, and the choice of the peer to request one from. The data is
 * always slightly stale: it is decremented with each place request sent, corrected by each reply, and ignored when it
 * is too old.
 */

#include "Clock.h"
#include "PlacementMessages.h"

#include "absl/container/btree_map.h"
#include "absl/types/span.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cicada {

/** A peer that could take a request. */
struct PeerCandidate {
    std::string name;
    uint32_t freeSlots = 0;
};

/** Chooses among the peers that reported a free slot. */
class PeerChoice {
public:
    virtual ~PeerChoice() = default;
    /** Returns the index of the chosen one; `candidates` is not empty. */
    virtual size_t choose(absl::Span<const PeerCandidate> candidates, std::mt19937_64& random) const = 0;
};

/** Chooses at random, so that not all entries send their requests to the same peer. */
class RandomChoice final : public PeerChoice {
public:
    size_t choose(absl::Span<const PeerCandidate>, std::mt19937_64&) const override;
};

/** Chooses the one with the most free slots. */
class LeastLoadedChoice final : public PeerChoice {
public:
    size_t choose(absl::Span<const PeerCandidate>, std::mt19937_64&) const override;
};

/** The loads of all peers. Used on the decision thread only. */
class PeerLoads {
public:
    /** `region` is this entry's own. */
    explicit PeerLoads(std::string region)
        : m_region(std::move(region))
    {
    }

    void update(absl::string_view peer, const LoadDigest& digest, Instant now);
    /** Sets the free slots of a peer to those in its reply to a place request. */
    void setFree(absl::string_view peer, absl::string_view service, uint32_t free, uint32_t freeForLong);
    /** Accounts for a place request sent to a peer, or discards the data of a peer whose state is no longer known. */
    void decrementFree(absl::string_view peer, absl::string_view service);
    void forget(absl::string_view peer) { m_peers.erase(std::string(peer)); }

    /** The peers of the own region, or of the other regions, that have a free slot for such a request. */
    std::vector<PeerCandidate> candidates(absl::string_view service, bool isLong, bool otherRegions, Instant now) const;
    bool anyFree(absl::string_view service, bool isLong, bool otherRegions, Instant now) const;
    /** The total free slots of all those peers. */
    uint32_t freeSlots(absl::string_view service, bool isLong, bool otherRegions, Instant now) const;
    /** The number of other entries of the own region with a recent digest. */
    size_t recentPeersInRegion(Instant now) const;
    /** The region of a peer; empty if it has not reported one. */
    std::string region(absl::string_view peer) const;

    /** Data older than this is ignored. */
    static constexpr absl::Duration maxAge = absl::Milliseconds(2500);

private:
    struct Peer {
        std::string region;
        Instant receivedAt;
        absl::btree_map<std::string, ServiceLoad> services;
    };

    uint32_t freeSlotsAt(const Peer&, absl::string_view service, bool isLong, Instant now) const;

    const std::string m_region;
    absl::btree_map<std::string, Peer> m_peers;
};

} // namespace cicada
