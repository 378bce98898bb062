#pragma once

/** \file
 * Messages between entries. A message is addressed to a named service on a named peer. Delivery is best effort: a
 * message may be lost, late or out of order, and the sender must tolerate that.
 */

#include "Clock.h"

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cicada {

/** Where a peer listens. `address` is an IP address and a port, as in "10.0.0.1:7201". */
struct PeerAddress {
    std::string name;
    std::string address;
    std::string region;
    /** Whether this side opens the link at once, even if the other side normally opens it. */
    bool dialsImmediately = false;
};

/** Traffic sent to peers; it shows the control overhead and the traffic that is paid for. */
struct PeerTraffic {
    uint64_t messages = 0;
    uint64_t bytes = 0;
    uint64_t bytesAcrossRegions = 0;
    uint64_t refused = 0;
};

/** The links to all peers. Call it on the decision thread only; handlers run there too. */
class PeerBus {
public:
    /** `from` is the sender's name; `bytes` is only valid during the call. */
    using Handler = absl::AnyInvocable<void(absl::string_view from, absl::string_view bytes)>;

    virtual ~PeerBus() = default;
    /** Sets the handler of messages to `service`; each service has one handler. */
    virtual void handle(absl::string_view service, Handler) = 0;
    /** Sends `bytes`; false when the peer is not known or its send queue is full. */
    virtual bool send(absl::string_view peer, absl::string_view service, std::string bytes) = 0;
    /** Sets the peers to link to; links to others are closed. */
    virtual void setPeers(absl::Span<const PeerAddress>) = 0;
    virtual std::vector<std::string> peerNames() const = 0;
    virtual PeerTraffic traffic() const = 0;
};

/** Peer links that report when they come up and go down. */
class PeerLinks : public PeerBus {
public:
    virtual void onLinkChange(std::function<void(const std::string& peer, bool isUp)>) = 0;
    virtual bool isLinked(const std::string& peer) const = 0;
    /** When the link went down; nothing while it is up or if it was never up. */
    virtual std::optional<Instant> lostSince(const std::string& peer) const = 0;
};

} // namespace cicada
