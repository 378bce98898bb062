#include "FakeWorld.h"

#include "absl/strings/match.h"

#include <algorithm>

namespace cicada::Testing {

namespace {

    constexpr absl::Duration maxWatchDelay = absl::Milliseconds(5);
    constexpr absl::Duration maxClockOffset = absl::Hours(1);

} // namespace

Instant NodeClock::now() const { return m_offset + m_world->now() * m_rate; }

void Node::handle(absl::string_view service, Handler handler)
{
    m_handlers[std::string(service)] = std::make_shared<Handler>(std::move(handler));
}

bool Node::send(absl::string_view peer, absl::string_view service, std::string bytes)
{
    ++m_traffic.messages;
    m_traffic.bytes += bytes.size();
    if (m_dead || m_world->m_cuts.contains({ m_name, std::string(peer) }) || m_world->chance(m_world->m_loss))
        return true;
    const absl::Duration delay = m_world->randomDelay(m_world->m_maxDelay);
    m_world->schedule(delay, [this, to = std::string(peer), service = std::string(service), bytes = std::move(bytes)] {
        for (auto& node : m_world->m_nodes) {
            if (node->m_name != to || node->m_dead)
                continue;
            m_world->scheduleOn(*node, absl::ZeroDuration(), [this, &node = *node, service, bytes] {
                auto it = node.m_handlers.find(service);
                if (it != node.m_handlers.end())
                    (*it->second)(m_name, bytes);
            });
        }
    });
    return true;
}

void Node::setPeers(absl::Span<const PeerAddress> peers)
{
    m_peers.clear();
    for (const PeerAddress& peer : peers) {
        if (peer.name != m_name)
            m_peers.push_back(peer.name);
    }
}

void Node::call(const std::function<StoreReply()>& effect, bool isWrite, Callback callback)
{
    ++(isWrite ? m_counts.writes : m_counts.reads);
    auto shared = std::make_shared<Callback>(std::move(callback));
    m_world->schedule(m_world->randomDelay(m_world->m_maxStoreDelay), [this, effect, isWrite, shared] {
        StoreReply reply;
        const bool down = m_world->m_storeDown || m_storeCut;
        if (!down)
            reply = effect();
        const bool lost = down || (isWrite && m_world->chance(m_world->m_lostReplies));
        if (lost)
            reply = {};
        const absl::Duration delay = lost ? FakeWorld::storeTimeout : m_world->randomDelay(m_world->m_maxStoreDelay);
        m_world->scheduleOn(*this, delay, [this, shared, reply] { (*shared)(m_storeCut ? StoreReply {} : reply); });
    });
}

void Node::get(absl::string_view key, Callback callback)
{
    call(
        [this, key = std::string(key)] {
            auto it = m_world->m_stored.find(key);
            if (it == m_world->m_stored.end())
                return StoreReply { StoreStatus::Missing, {} };
            return StoreReply { StoreStatus::Ok, { it->second } };
        },
        false, std::move(callback));
}

void Node::list(absl::string_view prefix, Callback callback)
{
    call(
        [this, prefix = std::string(prefix)] {
            StoreReply reply { StoreStatus::Ok, {} };
            for (const auto& [key, entry] : m_world->m_stored) {
                if (absl::StartsWith(key, prefix))
                    reply.entries.push_back(entry);
            }
            return reply;
        },
        false, std::move(callback));
}

void Node::put(absl::string_view key, std::string value, uint64_t expectedIndex, Callback callback)
{
    call(
        [this, key = std::string(key), value = std::move(value), expectedIndex] {
            auto it = m_world->m_stored.find(key);
            const uint64_t current = it == m_world->m_stored.end() ? 0 : it->second.index;
            if (current != expectedIndex)
                return StoreReply { StoreStatus::Conflict, {} };
            m_world->m_stored[key] = { key, value, m_world->nextIndex() };
            m_world->changed();
            return StoreReply { StoreStatus::Ok, {} };
        },
        true, std::move(callback));
}

void Node::remove(absl::string_view key, uint64_t expectedIndex, Callback callback)
{
    call(
        [this, key = std::string(key), expectedIndex] {
            auto it = m_world->m_stored.find(key);
            if (it == m_world->m_stored.end() || it->second.index != expectedIndex)
                return StoreReply { StoreStatus::Conflict, {} };
            m_world->m_stored.erase(it);
            m_world->changed();
            return StoreReply { StoreStatus::Ok, {} };
        },
        true, std::move(callback));
}

void Node::watch(absl::string_view prefix, absl::AnyInvocable<void(absl::Span<const StoreEntry>)> callback)
{
    m_watchPrefix = std::string(prefix);
    m_watch = std::move(callback);
    deliverWatch();
}

void Node::deliverWatch()
{
    if (!m_watch || m_dead || m_world->m_storeDown || m_storeCut || m_watchStale)
        return;
    std::vector<StoreEntry> entries;
    for (const auto& [key, entry] : m_world->m_stored) {
        if (absl::StartsWith(key, m_watchPrefix))
            entries.push_back(entry);
    }
    // One watch is one stream: what it tells never overtakes what it told before.
    m_watchDue = std::max(m_watchDue, m_world->now() + m_world->randomDelay(maxWatchDelay));
    m_world->scheduleOn(*this, m_watchDue - m_world->now(), [this, entries = std::move(entries)] {
        if (!m_storeCut && !m_watchStale)
            m_watch(entries);
    });
}

FakeWorld::FakeWorld(uint64_t seed)
    : m_random(seed)
{
}

FakeWorld::~FakeWorld() = default;

Node& FakeWorld::addNode(const std::string& name, double rate)
{
    m_nodes.push_back(std::make_unique<Node>());
    Node& node = *m_nodes.back();
    node.m_world = this;
    node.m_name = name;
    node.m_clock.m_world = this;
    node.m_clock.m_rate = rate;
    node.m_clock.m_offset = randomDelay(maxClockOffset);
    return node;
}

void FakeWorld::run(absl::Duration by)
{
    const absl::Duration until = m_now + by;
    while (m_now < until) {
        const absl::Duration nextEvent = m_events.empty() ? until : m_events.begin()->first;
        m_now = std::min({ until, std::max(m_now, nextEvent), std::max(m_now, m_nextTick) });
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        if (m_now < m_nextTick)
            continue;
        m_nextTick = m_now + tickInterval;
        for (size_t i = 0; i < m_nodes.size(); ++i) {
            Node& node = *m_nodes[i];
            if (!node.m_paused && !node.m_dead && node.m_tick)
                node.m_tick(node.m_clock.now());
        }
    }
}

void FakeWorld::pause(Node& node) { node.m_paused = true; }

void FakeWorld::resume(Node& node)
{
    node.m_paused = false;
    std::vector<std::function<void()>> held;
    held.swap(node.m_held);
    for (auto& event : held)
        scheduleOn(node, absl::ZeroDuration(), std::move(event));
}

void FakeWorld::kill(Node& node) { node.m_dead = true; }

void FakeWorld::cut(const std::string& from, const std::string& to, bool isCut)
{
    if (isCut)
        m_cuts.insert({ from, to });
    else
        m_cuts.erase({ from, to });
}

void FakeWorld::cutBoth(const std::string& a, const std::string& b, bool isCut)
{
    cut(a, b, isCut);
    cut(b, a, isCut);
}

void FakeWorld::cutStore(Node& node, bool isCut)
{
    node.m_storeCut = isCut;
    if (!isCut)
        node.deliverWatch();
}

void FakeWorld::setWatchStale(Node& node, bool isStale)
{
    node.m_watchStale = isStale;
    if (!isStale)
        node.deliverWatch();
}

void FakeWorld::setStoreDown(bool down)
{
    m_storeDown = down;
    if (!down)
        changed();
}

void FakeWorld::schedule(absl::Duration delay, std::function<void()> event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void FakeWorld::scheduleOn(Node& node, absl::Duration delay, std::function<void()> event)
{
    schedule(delay, [&node, event = std::move(event)] {
        if (node.m_dead)
            return;
        if (node.m_paused)
            node.m_held.push_back(event);
        else
            event();
    });
}

absl::Duration FakeWorld::randomDelay(absl::Duration most)
{
    return absl::Microseconds(std::uniform_int_distribution<int64_t>(0, absl::ToInt64Microseconds(most))(m_random));
}

bool FakeWorld::chance(double share) { return share > 0 && std::bernoulli_distribution(share)(m_random); }

void FakeWorld::changed()
{
    for (auto& node : m_nodes)
        node->deliverWatch();
}

} // namespace cicada::Testing
