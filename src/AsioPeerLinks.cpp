#include "AsioPeerLinks.h"

#include "TcpListener.h"
#include "Wire.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>

namespace cicada {

namespace {

    using boost::asio::ip::tcp;
    using boost::system::error_code;

    constexpr absl::Duration maintenanceInterval = absl::Milliseconds(150);
    /** The entry with the lesser name opens the link; the other one does so only if there is no link after this delay.
     */
    constexpr absl::Duration fallbackDialDelay = absl::Milliseconds(900);
    constexpr absl::Duration firstDialDelay = absl::Milliseconds(150);
    constexpr absl::Duration maxDialDelay = absl::Milliseconds(1200);
    constexpr absl::Duration dialTimeout = absl::Milliseconds(1500);
    constexpr size_t maxQueuedBytes = 8 << 20;
    constexpr int listenBacklog = 128;
    constexpr const char* heartbeatService = "link.heartbeat";

    std::optional<tcp::endpoint> resolve(const std::string& host, uint16_t port)
    {
        error_code error;
        const auto address = boost::asio::ip::make_address(host, error);
        if (error)
            return std::nullopt;
        return tcp::endpoint(address, port);
    }

} // namespace

struct AsioPeerLinks::State : std::enable_shared_from_this<AsioPeerLinks::State> {
    struct Link : std::enable_shared_from_this<Link> {
        explicit Link(boost::asio::io_context& io)
            : socket(io)
        {
        }
        tcp::socket socket;
        /** Empty until the other side's first frame has named it. */
        std::string peer;
        bool isOpen = false;
        /** This side opened the link. */
        bool isDialed = false;
        bool isWriting = false;
        FrameDecoder decoder;
        std::array<char, 16384> input {};
        std::string output;
        std::string writing;
        Instant lastReceivedAt = absl::ZeroDuration();
        Instant lastSentAt = absl::ZeroDuration();
    };
    using LinkPtr = std::shared_ptr<Link>;
    struct Peer {
        std::optional<tcp::endpoint> address;
        std::string region;
        bool isWanted = false;
        LinkPtr link;
        LinkPtr dialing;
        /** A link that this side has opened and on which nothing has been received yet. */
        LinkPtr unheard;
        std::optional<Instant> lostSince;
        Instant dialAt = absl::ZeroDuration();
        absl::Duration dialDelay = firstDialDelay;
    };

    State(boost::asio::io_context& context, std::string name, TimerQueue& t, EventLog& l, Metrics& m)
        : io(context)
        , acceptor(context)
        , self(std::move(name))
        , timers(t)
        , log(l)
        , metrics(m)
    {
    }

    Instant now() const { return timers.clock().now(); }

    void accept()
    {
        auto link = std::make_shared<Link>(io);
        acceptor.async_accept(link->socket, [state = shared_from_this(), link](error_code error) {
            if (state->isStopped || !state->acceptor.is_open())
                return;
            if (!error) {
                state->open(link);
                return state->accept();
            }
            state->timers.after(absl::FromChrono(Internal::acceptRetryDelay), [weak = state->weak_from_this()] {
                const auto again = weak.lock();
                if (again && !again->isStopped)
                    again->accept();
            });
        });
    }

    void open(const LinkPtr& link)
    {
        error_code ignored;
        link->socket.set_option(tcp::no_delay(true), ignored);
        link->isOpen = true;
        link->lastReceivedAt = now();
        unidentifiedLinks.push_back(link);
        write(link, heartbeatService, "");
        read(link);
    }

    void read(const LinkPtr& link)
    {
        link->socket.async_read_some(
            boost::asio::buffer(link->input), [state = shared_from_this(), link](error_code error, size_t size) {
                if (state->isStopped || !link->isOpen)
                    return;
                if (error)
                    return state->close(link, "closed");
                link->lastReceivedAt = state->now();
                link->decoder.append(absl::string_view(link->input.data(), size));
                if (state->deliver(link))
                    state->read(link);
            });
    }

    bool deliver(const LinkPtr& link)
    {
        while (link->isOpen) {
            auto next = link->decoder.next();
            if (!next) {
                close(link, "malformed");
                return false;
            }
            if (!next.value())
                return true;
            Frame frame = std::move(*next.value());
            if (link->peer.empty())
                bindToPeer(link, frame.from);
            const auto handler = handlers.find(frame.service);
            if (handler != handlers.end())
                (*handler->second)(frame.from, frame.payload);
        }
        return false;
    }

    void bindToPeer(const LinkPtr& link, const std::string& name)
    {
        link->peer = name;
        Peer& peer = peers[name];
        if (peer.unheard == link)
            peer.unheard.reset();
        if (peer.link && staysBeside(*peer.link, *link))
            return giveUp(link);
        forgetUnidentified(link);
        const LinkPtr old = std::exchange(peer.link, link);
        peer.dialDelay = firstDialDelay;
        peer.lostSince.reset();
        if (!old)
            return notifyLinkChange(name, true);
        unidentifiedLinks.push_back(old);
        const bool isReconnect = old->isDialed == link->isDialed;
        isReconnect ? drop(old) : giveUp(old);
    }

    void forgetUnidentified(const LinkPtr& link)
    {
        unidentifiedLinks.erase(
            std::remove(unidentifiedLinks.begin(), unidentifiedLinks.end(), link), unidentifiedLinks.end());
    }

    void drop(const LinkPtr& link)
    {
        forgetUnidentified(link);
        closeSocket(*link);
    }

    /** Of two links, the one that is not kept is closed by the side that opened it; until then the other side may still
     * send on it. */
    void giveUp(const LinkPtr& link)
    {
        if (link->isDialed)
            drop(link);
    }

    /** Whether the link stays that was there first, when both sides have opened one. Both must keep the same: the one
     * that the entry with the lesser name opened. A link on which nothing has arrived for some time may be that of a
     * former process. */
    bool staysBeside(const Link& first, const Link& second) const
    {
        const bool isPreferred = (self < second.peer) == first.isDialed;
        error_code error;
        const bool isQuiet = first.isDialed && now() - first.lastReceivedAt > heartbeatInterval * 2
            && first.socket.available(error) == 0;
        return isPreferred && first.isDialed != second.isDialed && !isQuiet;
    }

    /** Another open link to the peer, or null: one on which nothing has been received yet, or one that was not kept. */
    LinkPtr findOtherLink(Peer& peer, const std::string& name)
    {
        LinkPtr unheard = std::exchange(peer.unheard, {});
        if (unheard && unheard->isOpen)
            return unheard;
        const auto found = std::find_if(unidentifiedLinks.begin(), unidentifiedLinks.end(),
            [&name](const LinkPtr& link) { return link->isOpen && link->peer == name; });
        return found == unidentifiedLinks.end() ? nullptr : *found;
    }

    void notifyLinkChange(const std::string& name, bool isUp)
    {
        log.write(isUp ? "peer-linked" : "peer-lost", "peer", name);
        if (onChange)
            onChange(name, isUp);
    }

    static void closeSocket(Link& link)
    {
        error_code ignored;
        link.isOpen = false;
        link.socket.close(ignored);
    }

    void close(const LinkPtr& link, absl::string_view why)
    {
        if (!link->isOpen)
            return;
        drop(link);
        const auto peer = peers.find(link->peer);
        if (peer == peers.end() || peer->second.link != link)
            return;
        if (const LinkPtr other = findOtherLink(peer->second, link->peer)) {
            other->peer = link->peer;
            forgetUnidentified(other);
            peer->second.link = other;
            return;
        }
        peer->second.link.reset();
        peer->second.lostSince = now();
        peer->second.dialAt = now() + (self < link->peer ? firstDialDelay : fallbackDialDelay);
        log.write("peer-link-closed", "peer", link->peer, "why", why);
        notifyLinkChange(link->peer, false);
    }

    bool write(const LinkPtr& link, absl::string_view service, std::string payload)
    {
        if (link->output.size() > maxQueuedBytes) {
            ++counts.refused;
            return false;
        }
        const std::string frame = encodeFrame({ self, std::string(service), std::move(payload) });
        ++counts.messages;
        counts.bytes += frame.size();
        link->output += frame;
        link->lastSentAt = now();
        flush(link);
        return true;
    }

    void flush(const LinkPtr& link)
    {
        if (link->isWriting || link->output.empty() || !link->isOpen)
            return;
        link->isWriting = true;
        link->writing = std::exchange(link->output, {});
        boost::asio::async_write(link->socket, boost::asio::buffer(link->writing),
            [state = shared_from_this(), link](error_code error, size_t) {
                link->isWriting = false;
                if (state->isStopped || !link->isOpen)
                    return;
                if (error)
                    return state->close(link, "write-failed");
                state->flush(link);
            });
    }

    void dial(const std::string& name, Peer& peer)
    {
        auto link = std::make_shared<Link>(io);
        link->isDialed = true;
        peer.dialing = link;
        peer.dialAt = now() + dialTimeout;
        link->socket.async_connect(*peer.address, [state = shared_from_this(), name, link](error_code error) {
            const auto found = state->peers.find(name);
            if (state->isStopped || found == state->peers.end() || found->second.dialing != link)
                return;
            found->second.dialing.reset();
            if (!error) {
                found->second.unheard = link;
                return state->open(link);
            }
            found->second.dialAt = state->now() + found->second.dialDelay;
            found->second.dialDelay = std::min(maxDialDelay, found->second.dialDelay * 2);
        });
    }

    /** Whether the other side has sent nothing for too long. What stands ready in the socket was sent, and is read as
     * soon as this side's event loop gets to it. */
    bool isSilent(const LinkPtr& link) const
    {
        if (now() - link->lastReceivedAt <= linkTimeout)
            return false;
        error_code error;
        return link->socket.available(error) == 0;
    }

    void maintain()
    {
        std::vector<LinkPtr> unresponsive;
        for (const LinkPtr& link : unidentifiedLinks) {
            if (isSilent(link))
                unresponsive.push_back(link);
        }
        for (auto& [name, peer] : peers) {
            if (!peer.link) {
                if (!peer.isWanted || !peer.address || now() < peer.dialAt)
                    continue;
                if (peer.dialing)
                    closeSocket(*peer.dialing);
                dial(name, peer);
                continue;
            }
            if (isSilent(peer.link))
                unresponsive.push_back(peer.link);
            else if (now() - peer.link->lastSentAt > heartbeatInterval)
                write(peer.link, heartbeatService, "");
        }
        for (const LinkPtr& link : unresponsive)
            close(link, "silent");
        timers.after(maintenanceInterval, [weak = weak_from_this()] {
            const auto state = weak.lock();
            if (state && !state->isStopped)
                state->maintain();
        });
    }

    boost::asio::io_context& io;
    tcp::acceptor acceptor;
    const std::string self;
    TimerQueue& timers;
    EventLog& log;
    Metrics& metrics;
    bool isStopped = false;
    std::function<void(const std::string&, bool)> onChange;
    PeerTraffic counts;
    absl::flat_hash_map<std::string, std::shared_ptr<Handler>> handlers;
    absl::btree_map<std::string, Peer> peers;
    std::vector<LinkPtr> unidentifiedLinks;
};

AsioPeerLinks::AsioPeerLinks(
    boost::asio::io_context& io, std::string self, TimerQueue& timers, EventLog& log, Metrics& metrics)
    : m_state(std::make_shared<State>(io, std::move(self), timers, log, metrics))
{
}

AsioPeerLinks::~AsioPeerLinks()
{
    m_state->isStopped = true;
    error_code ignored;
    m_state->acceptor.close(ignored);
    for (auto& [name, peer] : m_state->peers) {
        if (peer.link)
            State::closeSocket(*peer.link);
        if (peer.dialing)
            State::closeSocket(*peer.dialing);
    }
    for (const auto& link : m_state->unidentifiedLinks)
        State::closeSocket(*link);
}

Result<ListenStatus> AsioPeerLinks::listen(const Endpoint& address)
{
    BOOST_OUTCOME_TRY(status, Internal::listenAt(m_state->acceptor, address, listenBacklog));
    if (status == ListenStatus::Listening) {
        m_state->accept();
        m_state->maintain();
    }
    return status;
}

void AsioPeerLinks::onLinkChange(std::function<void(const std::string& peer, bool isUp)> change)
{
    m_state->onChange = std::move(change);
}

void AsioPeerLinks::handle(absl::string_view service, Handler handler)
{
    m_state->handlers[service] = std::make_shared<Handler>(std::move(handler));
}

bool AsioPeerLinks::send(absl::string_view peer, absl::string_view service, std::string bytes)
{
    const auto found = m_state->peers.find(std::string(peer));
    if (found == m_state->peers.end() || !found->second.link)
        return false;
    return m_state->write(found->second.link, service, std::move(bytes));
}

void AsioPeerLinks::setPeers(absl::Span<const PeerAddress> wanted)
{
    for (auto& [name, peer] : m_state->peers)
        peer.isWanted = false;
    for (const PeerAddress& item : wanted) {
        State::Peer& peer = m_state->peers[item.name];
        const size_t colon = item.address.rfind(':');
        uint32_t port = 0;
        if (colon == std::string::npos || !absl::SimpleAtoi(item.address.substr(colon + 1), &port))
            continue;
        const auto address = resolve(item.address.substr(0, colon), static_cast<uint16_t>(port));
        if (!peer.address || peer.address != address) {
            peer.address = address;
            peer.dialAt = m_state->now()
                + (item.dialsImmediately || m_state->self < item.name ? absl::ZeroDuration() : fallbackDialDelay);
        }
        peer.isWanted = true;
        peer.region = item.region;
    }
    for (auto it = m_state->peers.begin(); it != m_state->peers.end();) {
        if (it->second.isWanted || it->second.link)
            ++it;
        else
            it = m_state->peers.erase(it);
    }
}

std::vector<std::string> AsioPeerLinks::peerNames() const
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_state->peers) {
        if (peer.link)
            names.push_back(name);
    }
    return names;
}

bool AsioPeerLinks::isLinked(const std::string& peer) const
{
    const auto found = m_state->peers.find(peer);
    return found != m_state->peers.end() && found->second.link != nullptr;
}

std::optional<Instant> AsioPeerLinks::lostSince(const std::string& peer) const
{
    const auto found = m_state->peers.find(peer);
    return found == m_state->peers.end() ? std::nullopt : found->second.lostSince;
}

PeerTraffic AsioPeerLinks::traffic() const { return m_state->counts; }

} // namespace cicada
