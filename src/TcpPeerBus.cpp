#include "TcpPeerBus.h"

#include "absl/strings/str_cat.h"

#include <glog/logging.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cicada {

namespace {

    constexpr int listenBacklog = 128;
    constexpr size_t readChunkBytes = 64 << 10;
    constexpr size_t maxInboundLinks = 256;
    constexpr absl::Duration reconnectDelay = absl::Milliseconds(200);
    constexpr absl::Duration maintenanceInterval = absl::Milliseconds(100);
    constexpr absl::string_view heartbeatService = "";
    /** The byte that a receiver sends back for each heartbeat. */
    constexpr char heartbeatReply = '\1';

    sockaddr_in toSocketAddress(const Endpoint& endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
        return address;
    }

    void setNoDelay(int fd)
    {
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }

} // namespace

struct TcpPeerBus::Link {
    PeerAddress peer;
    int fd = -1;
    bool connecting = false;
    std::string queued;
    size_t sent = 0;
    Instant lastReply = absl::ZeroDuration();
    Instant lastHeartbeat = absl::ZeroDuration();
    Instant lastAttempt = -absl::InfiniteDuration();
};

struct TcpPeerBus::Inbound {
    int fd = -1;
    FrameDecoder decoder;
};

TcpPeerBus::TcpPeerBus(std::string self, std::string region, Endpoint listen, const Clock& clock, EventLoop& loop)
    : m_self(std::move(self))
    , m_region(std::move(region))
    , m_listen(std::move(listen))
    , m_clock(clock)
    , m_loop(loop)
{
}

TcpPeerBus::~TcpPeerBus() { stop(); }

Result<void> TcpPeerBus::start()
{
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    watchFd(m_wake, EPOLLIN, true);
    BOOST_OUTCOME_TRY(listen());
    m_thread = std::thread([this] { run(); });
    return success();
}

Result<void> TcpPeerBus::listen()
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = toSocketAddress(m_listen);
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        || ::listen(m_listener, listenBacklog) != 0)
        return Error { ErrorKind::InvalidSettings,
            absl::StrCat("The address of 'peers', ", toString(m_listen), ", can't be bound: ", strerror(errno), "."),
            "Use an address of this machine and a port that is free." };
    watchFd(m_listener, EPOLLIN, true);
    return success();
}

void TcpPeerBus::stop()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    if (m_thread.joinable()) {
        eventfd_write(m_wake, 1);
        m_thread.join();
    }
    absl::MutexLock lock(&m_mutex);
    for (auto& [name, link] : m_links)
        close(*link);
    for (auto& [fd, inbound] : m_inbound)
        ::close(fd);
    m_inbound.clear();
    for (int* fd : { &m_listener, &m_wake, &m_epoll }) {
        if (*fd >= 0)
            ::close(*fd);
        *fd = -1;
    }
}

void TcpPeerBus::handle(absl::string_view service, Handler handler)
{
    m_handlers[service] = std::make_shared<Handler>(std::move(handler));
}

bool TcpPeerBus::send(absl::string_view peer, absl::string_view service, std::string bytes)
{
    std::string frame = encodeFrame({ m_self, std::string(service), std::move(bytes) });
    {
        absl::MutexLock lock(&m_mutex);
        auto it = m_links.find(peer);
        if (it == m_links.end() || it->second->queued.size() + frame.size() > maxQueuedBytesPerLink) {
            ++m_traffic.refused;
            return false;
        }
        Link& link = *it->second;
        ++m_traffic.messages;
        m_traffic.bytes += frame.size();
        if (link.peer.region != m_region)
            m_traffic.bytesAcrossRegions += frame.size();
        link.queued += frame;
    }
    eventfd_write(m_wake, 1);
    return true;
}

void TcpPeerBus::setPeers(absl::Span<const PeerAddress> peers)
{
    absl::MutexLock lock(&m_mutex);
    absl::flat_hash_map<std::string, std::unique_ptr<Link>> links;
    for (const PeerAddress& peer : peers) {
        if (peer.name == m_self)
            continue;
        auto it = m_links.find(peer.name);
        if (it != m_links.end() && it->second->peer.address == peer.address) {
            links[peer.name] = std::move(it->second);
            continue;
        }
        links[peer.name] = std::make_unique<Link>();
        links[peer.name]->peer = peer;
    }
    for (auto& [name, link] : m_links) {
        if (link)
            close(*link);
    }
    m_links = std::move(links);
    eventfd_write(m_wake, 1);
}

std::vector<std::string> TcpPeerBus::peerNames() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<std::string> names;
    for (const auto& [name, link] : m_links)
        names.push_back(name);
    return names;
}

PeerTraffic TcpPeerBus::traffic() const
{
    absl::MutexLock lock(&m_mutex);
    return m_traffic;
}

void TcpPeerBus::watchFd(int fd, uint32_t events, bool add)
{
    epoll_event event {};
    event.events = events;
    event.data.fd = fd;
    epoll_ctl(m_epoll, add ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event);
}

void TcpPeerBus::run()
{
    constexpr int maxEvents = 64;
    epoll_event events[maxEvents];
    while (true) {
        const int count
            = epoll_wait(m_epoll, events, maxEvents, static_cast<int>(absl::ToInt64Milliseconds(maintenanceInterval)));
        for (int i = 0; i < count; ++i)
            handleEvent(events[i].data.fd, events[i].events);
        absl::MutexLock lock(&m_mutex);
        if (m_stopping)
            return;
        maintainLinks(m_clock.now());
    }
}

void TcpPeerBus::handleEvent(int fd, uint32_t events)
{
    if (fd == m_wake) {
        eventfd_t value;
        eventfd_read(m_wake, &value);
        return;
    }
    if (fd == m_listener)
        return acceptAll();
    auto inbound = m_inbound.find(fd);
    if (inbound != m_inbound.end())
        return readInbound(*inbound->second);
    absl::MutexLock lock(&m_mutex);
    for (auto& [name, link] : m_links) {
        if (link->fd != fd)
            continue;
        if (events & (EPOLLERR | EPOLLHUP))
            return close(*link);
        link->connecting = false;
        if (events & EPOLLIN)
            readLink(*link);
        return;
    }
}

void TcpPeerBus::acceptAll()
{
    while (true) {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (m_inbound.size() >= maxInboundLinks) {
            ::close(fd);
            continue;
        }
        setNoDelay(fd);
        m_inbound[fd] = std::make_unique<Inbound>();
        m_inbound[fd]->fd = fd;
        watchFd(fd, EPOLLIN, true);
    }
}

void TcpPeerBus::readInbound(Inbound& inbound)
{
    char chunk[readChunkBytes];
    const int fd = inbound.fd;
    const ssize_t count = read(fd, chunk, sizeof(chunk));
    bool broken = count == 0 || (count < 0 && errno != EAGAIN);
    if (count > 0)
        inbound.decoder.append({ chunk, static_cast<size_t>(count) });
    while (!broken) {
        auto frame = inbound.decoder.next();
        if (!frame) {
            LOG(WARNING) << "peer link closed: " << describe(frame.error());
            broken = true;
        } else if (!frame.value()) {
            break;
        } else if (frame.value()->service == heartbeatService) {
            ::send(fd, &heartbeatReply, 1, MSG_NOSIGNAL);
        } else {
            deliver(std::move(*frame.value()));
        }
    }
    if (broken) {
        ::close(fd);
        m_inbound.erase(fd);
    }
}

void TcpPeerBus::deliver(Frame frame)
{
    const bool posted = m_loop.post([this, frame = std::move(frame)] {
        auto it = m_handlers.find(frame.service);
        if (it != m_handlers.end())
            (*it->second)(frame.from, frame.payload);
    });
    if (posted)
        return;
    absl::MutexLock lock(&m_mutex);
    ++m_traffic.refused;
}

void TcpPeerBus::readLink(Link& link)
{
    char chunk[256];
    const ssize_t count = read(link.fd, chunk, sizeof(chunk));
    if (count > 0)
        link.lastReply = m_clock.now();
    else if (count == 0 || errno != EAGAIN)
        close(link);
}

void TcpPeerBus::maintainLinks(Instant now)
{
    for (auto& [name, link] : m_links) {
        if (link->fd < 0 && now - link->lastAttempt >= reconnectDelay)
            connect(*link, now);
        if (link->fd < 0)
            continue;
        if (now - link->lastReply > linkTimeout) {
            LOG(WARNING) << "no heartbeat reply from peer " << name << " within the time limit; replacing the link";
            close(*link);
            continue;
        }
        if (now - link->lastHeartbeat >= heartbeatInterval) {
            link->lastHeartbeat = now;
            link->queued += encodeFrame({ m_self, std::string(heartbeatService), {} });
        }
        if (!link->connecting)
            flush(*link);
    }
}

void TcpPeerBus::connect(Link& link, Instant now)
{
    link.lastAttempt = now;
    auto endpoint = parseEndpoint(link.peer.address);
    if (!endpoint)
        return;
    link.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setNoDelay(link.fd);
    const sockaddr_in address = toSocketAddress(endpoint.value());
    const int result = ::connect(link.fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (result != 0 && errno != EINPROGRESS)
        return close(link);
    link.connecting = result != 0;
    link.lastReply = now;
    watchFd(link.fd, EPOLLIN | EPOLLOUT | EPOLLET, true);
}

void TcpPeerBus::flush(Link& link)
{
    while (link.sent < link.queued.size()) {
        const ssize_t count
            = ::send(link.fd, link.queued.data() + link.sent, link.queued.size() - link.sent, MSG_NOSIGNAL);
        if (count < 0) {
            if (errno != EAGAIN)
                close(link);
            return;
        }
        link.sent += count;
    }
    link.queued.clear();
    link.sent = 0;
}

void TcpPeerBus::close(Link& link)
{
    if (link.fd >= 0)
        ::close(link.fd);
    link.fd = -1;
    // The rest of a partly sent frame would corrupt the stream of the next connection, and messages may be lost anyway.
    link.queued.clear();
    link.sent = 0;
}

} // namespace cicada
