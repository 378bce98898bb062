#pragma once

/** \file
 * What one entry of a CellWorld reaches: the store, the workers, the policy service and the other entries, each as the
 * world's faults have it. For the sources of CellWorld only.
 */

#include "CellWorld.h"

#include <algorithm>

namespace cicada::test {

/** How long the reply to a call that gets none is waited for. */
constexpr absl::Duration replyTimeout = absl::Milliseconds(1200);
/** How long a link takes to carry a message. */
constexpr absl::Duration linkDelay = absl::Milliseconds(2);

/** The store as one entry reaches it. */
class CellWorld::Door final : public TransactionalStore {
public:
    Door(CellWorld& world, WorldEntry& entry)
        : m_world(world)
        , m_entry(entry)
    {
    }
    enum class CallKind { Read, Write, Lease };
    StoreMood mood = StoreMood::Well;
    /** What a slow link to the store adds each way. */
    absl::Duration distance;

    void transact(Transaction transaction, absl::AnyInvocable<void(TransactionReply)> callback) override
    {
        TransactionReply refused;
        refused.status = TransactionStatus::NotApplied;
        call<TransactionReply>(
            [this, transaction = std::move(transaction)] { return m_world.m_store.transact(transaction); }, refused, {},
            std::move(callback), CallKind::Write);
    }
    void listPage(
        const std::string& prefix, const std::string& afterKey, absl::AnyInvocable<void(StorePage)> callback) override
    {
        call<StorePage>([this, prefix, afterKey] { return m_world.m_store.list(prefix, afterKey); }, {}, {},
            std::move(callback), CallKind::Read);
    }
    void awaitChange(const std::string& prefix, uint64_t revision, absl::Duration wait,
        absl::AnyInvocable<void(WatchReply)> callback) override;
    void grantLease(absl::Duration ttl, absl::AnyInvocable<void(LeaseReply)> callback) override
    {
        call<LeaseReply>(
            [this, ttl] {
                return LeaseReply { LeaseStatus::Ok, m_world.m_store.grant(ttl) };
            },
            {}, {}, std::move(callback), CallKind::Lease);
    }
    void keepLease(uint64_t lease, absl::AnyInvocable<void(LeaseStatus)> callback) override
    {
        call<LeaseStatus>([this, lease] { return m_world.m_store.keep(lease) ? LeaseStatus::Ok : LeaseStatus::Ended; },
            LeaseStatus::Failed, LeaseStatus::Failed, std::move(callback), CallKind::Lease);
    }
    void endLease(uint64_t lease) override
    {
        if (mood == StoreMood::Well)
            m_world.m_store.endLease(lease);
    }

private:
    template <typename Reply>
    void call(std::function<Reply()> effect, Reply refused, Reply lost, absl::AnyInvocable<void(Reply)> callback,
        CallKind kind);
    template <typename Reply> void answer(absl::Duration delay, Reply reply, absl::AnyInvocable<void(Reply)> callback);
    void pollWatch(
        const std::string& prefix, uint64_t revision, Instant until, absl::AnyInvocable<void(WatchReply)> callback);

    CellWorld& m_world;
    WorldEntry& m_entry;
};

class CellWorld::Orders final : public WorkerOrders {
public:
    Orders(CellWorld& world, WorldEntry& entry)
        : m_world(world)
        , m_entry(entry)
    {
    }
    void start(
        const WorkerIncarnation& incarnation, StartOrder order, absl::AnyInvocable<void(OrderReply)> callback) override
    {
        send<OrderReply>(
            incarnation, [this, order](WorldWorker& worker) { return m_world.startAt(worker, order); },
            std::move(callback));
    }
    void stop(const WorkerIncarnation& incarnation, TaskRun run, uint64_t token,
        absl::AnyInvocable<void(OrderReply)> callback) override
    {
        send<OrderReply>(
            incarnation, [this, run, token](WorldWorker& worker) { return m_world.stopAt(worker, run, token); },
            std::move(callback));
    }
    void sync(
        const WorkerIncarnation& incarnation, SyncOrder order, absl::AnyInvocable<void(SyncReply)> callback) override;

private:
    template <typename Reply>
    void send(const WorkerIncarnation& incarnation, std::function<Reply(WorldWorker&)> effect,
        absl::AnyInvocable<void(Reply)> callback);
    /** Carries out an order whose sender does not wait for the reply any more. */
    void carryOut(
        const WorkerIncarnation& incarnation, absl::Duration transit, std::function<void(WorldWorker&)> effect);

    CellWorld& m_world;
    WorldEntry& m_entry;
};

class CellWorld::Roster final : public WorkerRoster {
public:
    Roster(CellWorld& world, std::vector<Roster*>& all)
        : m_world(world)
        , m_all(all)
    {
        m_all.push_back(this);
    }
    ~Roster() override { m_all.erase(std::find(m_all.begin(), m_all.end(), this)); }
    void watch(std::function<void(const std::string& id, const ListedWorker*)> onChange,
        std::function<void()> onSynced) override
    {
        m_onChange = std::move(onChange);
        m_onSynced = std::move(onSynced);
        for (WorldWorker& worker : m_world.m_workers)
            tell(worker);
    }
    void unwatch() override { m_onChange = nullptr; }
    void forget(const std::string& id)
    {
        if (m_onChange)
            m_onChange(id, nullptr);
    }
    void tell(const WorldWorker& worker)
    {
        if (!m_onChange)
            return;
        if (worker.isDown || worker.isDropped)
            return m_onChange(worker.id, nullptr);
        ListedWorker listed;
        listed.incarnation = { worker.id, { worker.id, 1 } };
        listed.startedUnixMillis = worker.started;
        listed.service = "service";
        listed.rack = worker.rack;
        listed.labels = { "a", worker.rack };
        listed.capacity = worker.capacity;
        listed.isDraining = worker.isDraining;
        m_onChange(worker.id, &listed);
        m_onSynced();
    }

private:
    CellWorld& m_world;
    /** The rosters of the entry's cells. */
    std::vector<Roster*>& m_all;
    std::function<void(const std::string&, const ListedWorker*)> m_onChange;
    std::function<void()> m_onSynced;
};

class CellWorld::Policy final : public Advisor {
public:
    Policy(CellWorld& world, WorldEntry& entry)
        : m_world(world)
        , m_entry(entry)
    {
    }
    void request(
        const AdviceRequest& question, absl::Duration, absl::AnyInvocable<void(AdviceReply)> callback) override;

private:
    CellWorld& m_world;
    WorldEntry& m_entry;
};

class CellWorld::Links final : public PeerLinks {
public:
    Links(CellWorld& world, WorldEntry& entry)
        : m_world(world)
        , m_entry(entry)
    {
    }
    void handle(absl::string_view service, Handler handler) override
    {
        m_handlers[service] = std::make_shared<Handler>(std::move(handler));
    }
    bool send(absl::string_view peer, absl::string_view service, std::string bytes) override;
    void setPeers(absl::Span<const PeerAddress>) override { }
    std::vector<std::string> peerNames() const override { return { m_linked.begin(), m_linked.end() }; }
    PeerTraffic traffic() const override { return {}; }
    void onLinkChange(std::function<void(const std::string&, bool)> function) override { m_onChange = function; }
    bool isLinked(const std::string& peer) const override { return m_linked.contains(peer); }
    std::optional<Instant> lostSince(const std::string& peer) const override
    {
        const auto found = m_lost.find(peer);
        return found == m_lost.end() ? std::nullopt : std::optional<Instant>(found->second);
    }
    void set(const std::string& peer, bool isUp);
    void deliver(const std::string& from, const std::string& service, const std::string& bytes)
    {
        const auto found = m_handlers.find(service);
        if (found != m_handlers.end() && m_linked.contains(from))
            (*found->second)(from, bytes);
    }

private:
    CellWorld& m_world;
    WorldEntry& m_entry;
    absl::flat_hash_map<std::string, std::shared_ptr<Handler>> m_handlers;
    absl::btree_set<std::string> m_linked;
    absl::flat_hash_map<std::string, Instant> m_lost;
    std::function<void(const std::string&, bool)> m_onChange;
};

struct WorldEntry {
    WorldEntry(CellWorld& world, const std::string& entryName, const std::string& incarnation)
        : name(entryName)
        , timers(world.m_clock)
        , log(entryName, -1)
        , door(world, *this)
        , store(door, world.m_clock)
        , orders(world, *this)
        , policy(world, *this)
        , links(world, *this)
        , host(CellHost::Parts { store, orders, policy, links, timers, log, metrics,
              { entryName, incarnation, entryName + ":1", "region", 0.25 },
              { world.m_maxLease, absl::Seconds(120), {} },
              [this, &world] { return std::make_unique<CellWorld::Roster>(world, rosters); },
              [&world](const std::function<void(std::optional<size_t>)>& done) { done(world.m_workers.size()); },
              [&world](const std::string& queue) { return &world.policyOfJob(queue); },
              [&world](const std::string& account) { return world.accountNamed(account); },
              [&world] { return world.m_isConfigurationRead; } })
    {
    }
    std::string name;
    bool isAlive = true;
    Instant frozenUntil = absl::ZeroDuration();
    bool isCut = false;
    absl::Duration congestion;
    TimerQueue timers;
    EventLog log;
    Metrics metrics;
    CellWorld::Door door;
    ObservedStore store;
    CellWorld::Orders orders;
    CellWorld::Policy policy;
    CellWorld::Links links;
    std::vector<CellWorld::Roster*> rosters;
    CellHost host;
};

} // namespace cicada::test
