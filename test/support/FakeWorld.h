#pragma once

/** \file
 * Fakes at the interfaces for tests with a paused clock: a store, peer links and a clock for each node, joined by one
 * queue of events in seeded order. Nothing in it knows what the nodes do.
 */

#include "Clock.h"
#include "PeerBus.h"
#include "Store.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_set.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cicada::Testing {

class FakeWorld;

/** A node's own clock, which may run fast or slow. */
class NodeClock final : public Clock {
public:
    Instant now() const override;
    int64_t wallMicros() const override { return absl::ToInt64Microseconds(now()); }

private:
    friend class FakeWorld;
    const FakeWorld* m_world = nullptr;
    double m_rate = 1.0;
    absl::Duration m_offset;
};

/** One simulated process: its clock, its links and its way to the store. */
class Node final : public PeerBus, public Store {
public:
    const Clock& clock() const { return m_clock; }
    const std::string& name() const { return m_name; }
    /** Called every 5 ms of the world's time while the node is neither paused nor dead. */
    void onTick(std::function<void(Instant)> tick) { m_tick = std::move(tick); }

    // PeerBus
    void handle(absl::string_view service, Handler) override;
    bool send(absl::string_view peer, absl::string_view service, std::string bytes) override;
    void setPeers(absl::Span<const PeerAddress>) override;
    std::vector<std::string> peerNames() const override { return m_peers; }
    PeerTraffic traffic() const override { return m_traffic; }

    // Store
    void get(absl::string_view key, Callback) override;
    void list(absl::string_view prefix, Callback) override;
    void put(absl::string_view key, std::string value, uint64_t expectedIndex, Callback) override;
    void remove(absl::string_view key, uint64_t expectedIndex, Callback) override;
    void watch(absl::string_view prefix, absl::AnyInvocable<void(absl::Span<const StoreEntry>)>) override;
    StoreCallCounts counts() const override { return m_counts; }

private:
    friend class FakeWorld;
    /** Runs `effect` on the store after a delay and brings the reply back after another. */
    void call(const std::function<StoreReply()>& effect, bool isWrite, Callback callback);
    void deliverWatch();

    FakeWorld* m_world = nullptr;
    std::string m_name;
    NodeClock m_clock;
    std::function<void(Instant)> m_tick;
    absl::btree_map<std::string, std::shared_ptr<Handler>> m_handlers;
    std::vector<std::string> m_peers;
    std::string m_watchPrefix;
    absl::AnyInvocable<void(absl::Span<const StoreEntry>)> m_watch;
    absl::Duration m_watchDue = absl::ZeroDuration();
    bool m_paused = false;
    bool m_dead = false;
    bool m_storeCut = false;
    bool m_watchStale = false;
    std::vector<std::function<void()>> m_held;
    PeerTraffic m_traffic;
    StoreCallCounts m_counts;
};

/** All nodes, the store behind them and the time. */
class FakeWorld {
public:
    explicit FakeWorld(uint64_t seed);
    ~FakeWorld();

    /** A new node; its clock runs at `rate` and starts at a random offset. A dead node's name may be used again. */
    Node& addNode(const std::string& name, double rate = 1.0);
    /** Advances the world's time, delivering what falls due and ticking the nodes. */
    void run(absl::Duration by);
    absl::Duration now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

    /** Stops a node as SIGSTOP does: its clock goes on, and what arrives waits. */
    void pause(Node& node);
    void resume(Node& node);
    /** Ends a node as kill -9 does. The object stays valid, and nothing reaches it any more. */
    void kill(Node& node);
    /** Cuts or mends the link from one node to another; the other way is not touched. */
    void cut(const std::string& from, const std::string& to, bool isCut);
    /** Cuts or mends both ways. */
    void cutBoth(const std::string& a, const std::string& b, bool isCut);

    /** Cuts one node off from the store, or mends that: to it alone the store is down, and what is on its way is lost.
     */
    void cutStore(Node& node, bool isCut);
    /** Makes one node's watch hear nothing while calls are answered, or mends that. */
    void setWatchStale(Node& node, bool isStale);
    /** Takes the store down: calls are answered Unavailable after a time limit, and watches hear nothing. */
    void setStoreDown(bool down);
    /** The longest time that a call takes on its way to the store, and its reply on the way back. */
    void setMaxStoreDelay(absl::Duration delay) { m_maxStoreDelay = delay; }
    /** The share of writes whose reply is lost after the effect, from 0 to 1. */
    void setLostReplies(double share) { m_lostReplies = share; }
    /** The share of peer messages that are lost, from 0 to 1. */
    void setLoss(double share) { m_loss = share; }
    /** The longest delay of a peer message; each takes a random time up to it. */
    void setMaxDelay(absl::Duration delay) { m_maxDelay = delay; }
    /** What the store holds; tests may look, and set up what was there before. */
    absl::btree_map<std::string, StoreEntry>& stored() { return m_stored; }
    uint64_t nextIndex() { return ++m_index; }

    static constexpr absl::Duration tickInterval = absl::Milliseconds(5);
    static constexpr absl::Duration storeTimeout = absl::Milliseconds(500);

private:
    friend class Node;
    void schedule(absl::Duration delay, std::function<void()> event);
    /** Runs `event` on the node after `delay`: later if it is paused then, and never if it is dead. */
    void scheduleOn(Node& node, absl::Duration delay, std::function<void()> event);
    absl::Duration randomDelay(absl::Duration most);
    bool chance(double share);
    void changed();

    std::mt19937_64 m_random;
    absl::Duration m_now = absl::ZeroDuration();
    absl::Duration m_nextTick = absl::ZeroDuration();
    std::multimap<absl::Duration, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Node>> m_nodes;
    absl::btree_map<std::string, StoreEntry> m_stored;
    uint64_t m_index = 0;
    bool m_storeDown = false;
    absl::Duration m_maxStoreDelay = absl::Milliseconds(5);
    double m_lostReplies = 0;
    double m_loss = 0;
    absl::Duration m_maxDelay = absl::Milliseconds(2);
    absl::flat_hash_set<std::pair<std::string, std::string>> m_cuts;
};

} // namespace cicada::Testing
