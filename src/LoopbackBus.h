#pragma once

/** \file
 * Peer links that also reach the sender itself, so that an entry sends to its own parts in the same way as to those of
 * its peers. A message to itself is delivered on the next tick, never within the call that sends it.
 */

#include "PeerBus.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <memory>

namespace cicada {

/** Decorates a PeerBus. Used on the decision thread only. */
class LoopbackBus final : public PeerBus {
public:
    /** `name` is the name of this entry; `peers` must outlive this object. */
    LoopbackBus(std::string name, PeerBus& peers);

    void handle(absl::string_view service, Handler) override;
    bool send(absl::string_view peer, absl::string_view service, std::string bytes) override;
    void setPeers(absl::Span<const PeerAddress> peers) override { m_peers.setPeers(peers); }
    std::vector<std::string> peerNames() const override { return m_peers.peerNames(); }
    PeerTraffic traffic() const override { return m_peers.traffic(); }

    /** Delivers the messages that this entry has sent to itself. */
    void tick();

private:
    struct Message {
        std::string service;
        std::string bytes;
    };

    const std::string m_name;
    PeerBus& m_peers;
    absl::flat_hash_map<std::string, std::shared_ptr<Handler>> m_handlers;
    std::deque<Message> m_queue;
};

} // namespace cicada
