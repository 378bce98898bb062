#pragma once

/** \file
 * Peer links for processes that do all their work on one thread. Each pair of entries shares one connection, used in
 * both directions, with a heartbeat so that an unresponsive connection is replaced. Link changes are reported; a lost
 * link is the first sign by which an entry notices that another one has failed.
 */

#include "EventLog.h"
#include "ListenStatus.h"
#include "Metrics.h"
#include "PeerBus.h"
#include "Settings.h"
#include "TimerQueue.h"

#include <functional>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
}

namespace cicada {

/** PeerLinks on a Boost.Asio event loop. Used on the loop's thread only. */
class AsioPeerLinks final : public PeerLinks {
public:
    /** The referenced objects must outlive the links. */
    AsioPeerLinks(boost::asio::io_context& io, std::string self, TimerQueue& timers, EventLog& log, Metrics& metrics);
    ~AsioPeerLinks() override;

    /** Listens for links at the address; may be called again while that is in use. */
    Result<ListenStatus> listen(const Endpoint& address);
    void onLinkChange(std::function<void(const std::string& peer, bool isUp)>) override;
    void handle(absl::string_view service, Handler) override;
    bool send(absl::string_view peer, absl::string_view service, std::string bytes) override;
    void setPeers(absl::Span<const PeerAddress>) override;
    /** The peers to which a link is up. */
    std::vector<std::string> peerNames() const override;
    PeerTraffic traffic() const override;
    bool isLinked(const std::string& peer) const override;
    std::optional<Instant> lostSince(const std::string& peer) const override;

    static constexpr absl::Duration heartbeatInterval = absl::Milliseconds(300);
    /** A link on which nothing was received for this long is closed as unresponsive. */
    static constexpr absl::Duration linkTimeout = absl::Milliseconds(1000);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cicada
