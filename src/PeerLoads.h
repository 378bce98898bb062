#pragma once

/** \file
 * What the other entries last said about their free slots, and which of them to ask for one. What is known is always
 * a little old: it is lowered with each ask that is sent, corrected by each reply, and forgotten when it is stale.
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

/** Chooses among peers that say they have a free slot. */
class PeerChoice {
public:
    virtual ~PeerChoice() = default;
    /** The index of the chosen one; `candidates` is not empty. */
    virtual size_t choose(absl::Span<const PeerCandidate> candidates, std::mt19937_64& random) const = 0;
};

/** Any of them, so that not all entries ask the same peer. */
class RandomChoice final : public PeerChoice {
public:
    size_t choose(absl::Span<const PeerCandidate>, std::mt19937_64&) const override;
};

/** The one with the most free slots. */
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
    /** Sets what is free at a peer, as its reply to an ask said. */
    void setFree(absl::string_view peer, absl::string_view service, uint32_t free, uint32_t freeForLong);
    /** Notes that a peer was asked, or that what it has is not known any more. */
    void decrementFree(absl::string_view peer, absl::string_view service);
    void forget(absl::string_view peer) { m_peers.erase(std::string(peer)); }

    /** The peers of the own region, or those of others, that have a slot for such a request. */
    std::vector<PeerCandidate> candidates(absl::string_view service, bool isLong, bool otherRegions, Instant now) const;
    bool anyFree(absl::string_view service, bool isLong, bool otherRegions, Instant now) const;
    /** The free slots of all those peers together. */
    uint32_t freeSlots(absl::string_view service, bool isLong, bool otherRegions, Instant now) const;
    /** The other entries of the own region that were heard of lately. */
    size_t recentPeersInRegion(Instant now) const;
    /** The region of a peer; empty when it has not said. */
    std::string region(absl::string_view peer) const;

    /** What is older than this says nothing any more. */
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
