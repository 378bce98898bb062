#pragma once

/** \file
 * Peer links over TCP. Each entry opens one connection to every peer and sends only on that one; it receives on the
 * connections that the peers open. A heartbeat on each link detects an unresponsive connection, which is then replaced.
 */

#include "EventLoop.h"
#include "PeerBus.h"
#include "Settings.h"
#include "Wire.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <thread>

namespace cicada {

/** A PeerBus with one thread that serves all sockets. */
class TcpPeerBus final : public Service, public PeerBus {
public:
    /** `clock` and `loop` must outlive the bus. `region` is the region of this entry; traffic to others is paid for. */
    TcpPeerBus(std::string self, std::string region, Endpoint listen, const Clock& clock, EventLoop& loop);
    ~TcpPeerBus() override;

    absl::string_view name() const override { return "peers"; }
    Result<void> start() override;
    void stop() override;

    void handle(absl::string_view service, Handler) override;
    bool send(absl::string_view peer, absl::string_view service, std::string bytes) override;
    void setPeers(absl::Span<const PeerAddress>) override;
    std::vector<std::string> peerNames() const override;
    PeerTraffic traffic() const override;

    static constexpr absl::Duration heartbeatInterval = absl::Milliseconds(500);
    /** A link whose heartbeats got no reply for this long is replaced as unresponsive. */
    static constexpr absl::Duration linkTimeout = absl::Milliseconds(1500);
    static constexpr size_t maxQueuedBytesPerLink = 16 << 20;

private:
    struct Link;
    struct Inbound;

    Result<void> listen();
    void run();
    void handleEvent(int fd, uint32_t events);
    void acceptAll();
    void readInbound(Inbound&);
    void deliver(Frame frame);
    void readLink(Link&);
    void flush(Link&);
    void connect(Link&, Instant now);
    void close(Link&);
    void maintainLinks(Instant now);
    void watchFd(int fd, uint32_t events, bool add);

    const std::string m_self;
    const std::string m_region;
    const Endpoint m_listen;
    const Clock& m_clock;
    EventLoop& m_loop;
    absl::flat_hash_map<std::string, std::shared_ptr<Handler>> m_handlers;

    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<std::string, std::unique_ptr<Link>> m_links ABSL_GUARDED_BY(m_mutex);
    PeerTraffic m_traffic ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;

    absl::flat_hash_map<int, std::unique_ptr<Inbound>> m_inbound;
    Instant m_nextMaintenance = absl::ZeroDuration();
    int m_epoll = -1;
    int m_listener = -1;
    int m_wake = -1;
    std::thread m_thread;
};

} // namespace cicada
