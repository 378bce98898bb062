#pragma once

/** \file
 * Peer links for processes that do all their work on one thread: one connection for each pair of entries, used both
 * ways, with a heartbeat so that a connection that has gone silent is replaced. It says when links come and go, which
 * is how an entry learns first that another one died.
 */

#include "EventLog.h"
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

/** PeerLinks on an event loop. Used on the loop's thread only. */
class AsioPeerLinks final : public PeerLinks {
public:
    /** What is referred to must outlive the links. */
    AsioPeerLinks(boost::asio::io_context& io, std::string self, TimerQueue& timers, EventLog& log, Metrics& metrics);
    ~AsioPeerLinks() override;

    /** Accepts links at the address. */
    Result<void> listen(const Endpoint& address);
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
    /** A link on which nothing was heard for this long is taken as silent. */
    static constexpr absl::Duration linkTimeout = absl::Milliseconds(1000);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace cicada
