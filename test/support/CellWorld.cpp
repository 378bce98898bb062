#include "CellWorld.h"

#include "AsioPeerLinks.h"
#include "Job.h"
#include "Pack.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>

namespace cicada::test {

namespace {

    constexpr absl::Duration callDelay = absl::Milliseconds(4);
    constexpr absl::Duration replyTimeout = absl::Milliseconds(1200);
    constexpr absl::Duration orderTimeout = absl::Milliseconds(400);
    constexpr absl::Duration lateBy = absl::Milliseconds(3000);
    constexpr size_t maxWorkersInAdvice = 100;
    constexpr absl::Duration linkDelay = absl::Milliseconds(2);
    constexpr absl::Duration linkSilence = AsioPeerLinks::linkTimeout;

} // namespace

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
    void tell(const WorldWorker& worker)
    {
        if (!m_onChange)
            return;
        if (worker.isDown)
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
              { entryName, incarnation, entryName + ":1", "region", 0.25 }, { world.m_maxLease },
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

template <typename Reply>
void CellWorld::Door::answer(absl::Duration delay, Reply reply, absl::AnyInvocable<void(Reply)> callback)
{
    m_entry.timers.after(
        delay, [reply = std::move(reply), callback = std::move(callback)]() mutable { callback(std::move(reply)); });
}

template <typename Reply>
void CellWorld::Door::call(
    std::function<Reply()> effect, Reply refused, Reply lost, absl::AnyInvocable<void(Reply)> callback, CallKind kind)
{
    if (mood == StoreMood::Busy)
        return answer(callDelay, std::move(refused), std::move(callback));
    if (mood == StoreMood::Silent)
        return answer(replyTimeout, std::move(lost), std::move(callback));
    const absl::Duration delay = m_world.delay() + distance + m_world.congestion(m_entry);
    if (kind == CallKind::Write && mood == StoreMood::WritesLate) {
        m_world.m_timers.after(lateBy, [effect] { effect(); });
        return answer(replyTimeout, std::move(lost), std::move(callback));
    }
    const bool losesReply
        = mood == StoreMood::LosesReplies || (kind == CallKind::Lease && mood == StoreMood::LosesLeaseReplies);
    if (losesReply) {
        m_world.m_timers.after(delay, [effect] { effect(); });
        return answer(replyTimeout, std::move(lost), std::move(callback));
    }
    if (delay * 2 > replyTimeout) {
        m_world.m_timers.after(delay, [effect] { effect(); });
        return answer(replyTimeout, std::move(lost), std::move(callback));
    }
    auto shared = std::make_shared<absl::AnyInvocable<void(Reply)>>(std::move(callback));
    m_world.m_timers.after(delay, [this, effect, shared, delay]() mutable {
        Reply reply = effect();
        if (m_entry.isAlive)
            answer<Reply>(delay, std::move(reply), [shared](Reply r) { (*shared)(std::move(r)); });
    });
}

void CellWorld::Door::awaitChange(
    const std::string& prefix, uint64_t revision, absl::Duration wait, absl::AnyInvocable<void(WatchReply)> callback)
{
    pollWatch(prefix, revision, m_world.now() + wait, std::move(callback));
}

void CellWorld::Door::pollWatch(
    const std::string& prefix, uint64_t revision, Instant until, absl::AnyInvocable<void(WatchReply)> callback)
{
    constexpr absl::Duration pollInterval = absl::Milliseconds(10);
    if (mood != StoreMood::Well && mood != StoreMood::LosesLeaseReplies)
        return answer(mood == StoreMood::Busy ? callDelay : replyTimeout, WatchReply(), std::move(callback));
    auto changes = m_world.m_store.changesSince(prefix, revision);
    WatchReply reply;
    reply.storeRevision = m_world.m_store.revision();
    if (!changes) {
        reply.status = WatchStatus::HistoryGone;
        return answer(callDelay, std::move(reply), std::move(callback));
    }
    if (!changes->empty() || m_world.now() >= until) {
        reply.status = WatchStatus::Ok;
        reply.changes = std::move(*changes);
        return answer(callDelay, std::move(reply), std::move(callback));
    }
    m_entry.timers.after(pollInterval, [this, prefix, revision, until, callback = std::move(callback)]() mutable {
        pollWatch(prefix, revision, until, std::move(callback));
    });
}

template <typename Reply>
void CellWorld::Orders::send(const WorkerIncarnation& incarnation, std::function<Reply(WorldWorker&)> effect,
    absl::AnyInvocable<void(Reply)> callback)
{
    const absl::Duration delay = m_world.delay() + m_world.congestion(m_entry);
    const absl::Duration back = delay + m_world.congestion(m_entry);
    auto shared = std::make_shared<absl::AnyInvocable<void(Reply)>>(std::move(callback));
    const auto reply = [this, shared](absl::Duration after, Reply value) {
        if (m_entry.isAlive)
            m_entry.timers.after(after, [shared, value]() mutable { (*shared)(std::move(value)); });
    };
    if (delay + back > orderTimeout) {
        reply(orderTimeout, Reply());
        return carryOut(incarnation, delay, [effect](WorldWorker& worker) { effect(worker); });
    }
    m_world.m_timers.after(delay, [this, incarnation, effect, reply, delay, back] {
        size_t index = 0;
        WorldWorker* worker = m_world.workerOf(incarnation, index);
        Reply none;
        if (worker && worker->isDown)
            none.status = OrderStatus::NotSent;
        const bool isCut = worker && (worker->isCut || worker->cutFrom.contains(m_entry.name));
        if (!worker || worker->isDown || isCut)
            return reply(worker && worker->isDown ? delay : replyTimeout, none);
        if (std::uniform_real_distribution<>(0, 1)(m_world.m_random) < worker->lateShare) {
            // Carried out seconds later, after newer orders, in whatever incarnation the worker then has.
            m_world.m_timers.after(lateBy, [this, index, effect] {
                WorldWorker& later = m_world.m_workers[index];
                if (!later.isDown)
                    effect(later);
            });
            return reply(replyTimeout, none);
        }
        Reply done = effect(*worker);
        const bool isLost = worker->unansweredShare > 0
            && std::uniform_real_distribution<>(0, 1)(m_world.m_congestionRandom) < worker->unansweredShare;
        isLost ? reply(replyTimeout, none) : reply(back, std::move(done));
    });
}

void CellWorld::Orders::carryOut(
    const WorkerIncarnation& incarnation, absl::Duration transit, std::function<void(WorldWorker&)> effect)
{
    m_world.m_timers.after(transit, [this, incarnation, effect = std::move(effect)] {
        size_t index = 0;
        WorldWorker* worker = m_world.workerOf(incarnation, index);
        if (worker && !worker->isDown && !worker->isCut && !worker->cutFrom.contains(m_entry.name))
            effect(*worker);
    });
}

void CellWorld::Orders::sync(
    const WorkerIncarnation& incarnation, SyncOrder order, absl::AnyInvocable<void(SyncReply)> callback)
{
    auto shared = std::make_shared<absl::AnyInvocable<void(SyncReply)>>(std::move(callback));
    const absl::Duration delay = m_world.delay() + m_world.congestion(m_entry);
    const auto reply = [this, shared](absl::Duration after, SyncReply value) {
        if (m_entry.isAlive)
            m_entry.timers.after(after, [shared, value]() mutable { (*shared)(std::move(value)); });
    };
    size_t target = 0;
    const WorldWorker* addressed = m_world.workerOf(incarnation, target);
    const absl::Duration transit = delay + (addressed ? addressed->syncDelay : absl::ZeroDuration());
    m_world.m_timers.after(transit, [this, incarnation, order, reply, delay] {
        size_t index = 0;
        WorldWorker* worker = m_world.workerOf(incarnation, index);
        if (worker && worker->syncsUntilCut)
            worker->isCut = worker->isCut || (*worker->syncsUntilCut)-- == 0;
        const bool isCut = worker && (worker->isCut || worker->cutFrom.contains(m_entry.name));
        if (!worker || worker->isDown || isCut) {
            SyncReply none;
            none.status = worker && worker->isDown ? OrderStatus::NotSent : OrderStatus::NoReply;
            const bool endsAtOnce = worker && (worker->isDown || worker->syncsUntilCut);
            return reply(endsAtOnce ? delay : replyTimeout, none);
        }
        if (order.fencingToken < worker->token) {
            SyncReply fenced;
            fenced.status = OrderStatus::Fenced;
            return reply(delay, fenced);
        }
        worker->token = order.fencingToken;
        m_world.acknowledge(*worker, order.acknowledgedThrough);
        if (order.leaseEndMillis)
            m_world.extendLease(index, *order.leaseEndMillis);
        const absl::Duration back = delay + m_world.congestion(m_entry);
        const bool answersNow = order.wait == absl::ZeroDuration() || !worker->ended.empty();
        if (answersNow)
            return reply(back, m_world.listAt(*worker));
        auto isDone = std::make_shared<bool>(false);
        const auto finish = [this, index, isDone, reply, back] {
            if (*isDone)
                return;
            *isDone = true;
            const WorldWorker& at = m_world.m_workers[index];
            if (!at.isDown && !at.isCut)
                reply(back, m_world.listAt(m_world.m_workers[index]));
            else
                reply(replyTimeout, SyncReply());
        };
        worker->waiting.push_back(finish);
        m_world.m_timers.after(order.wait, finish);
    });
}

void CellWorld::Policy::request(
    const AdviceRequest& question, absl::Duration, absl::AnyInvocable<void(AdviceReply)> callback)
{
    ++m_world.m_adviceRequests;
    if (question.workers.size() > maxWorkersInAdvice)
        m_world.violate("an advice request names too many workers");
    if (m_world.m_isPolicySilent)
        return;
    AdviceReply answer;
    answer.isValid = true;
    answer.validity = m_world.m_ticketValidity;
    const std::string ticket
        = absl::StrCat(absl::ToInt64Milliseconds(m_world.now() + m_world.m_adviceDelay + answer.validity));
    // Every worker but one in three is allowed, the same ones each time for a step.
    const size_t draw = std::hash<std::string>()(absl::StrCat(question.step.job, question.step.step));
    for (size_t i = 0; i < m_world.m_workers.size(); ++i) {
        const std::string& worker = m_world.m_workers[i].id;
        const bool isAsked
            = std::find(question.workers.begin(), question.workers.end(), worker) != question.workers.end();
        if (isAsked && (i + draw) % 3 != 0)
            answer.tickets.push_back({ worker, ticket });
    }
    m_entry.timers.after(
        m_world.m_adviceDelay, [answer, callback = std::move(callback)]() mutable { callback(std::move(answer)); });
}

bool CellWorld::Links::send(absl::string_view peer, absl::string_view service, std::string bytes)
{
    if (!m_linked.contains(std::string(peer)))
        return false;
    m_world.m_timers.after(linkDelay,
        [this, to = std::string(peer), from = m_entry.name, service = std::string(service), bytes = std::move(bytes)] {
            for (auto& entry : m_world.m_entries) {
                if (entry && entry->name == to && entry->isAlive && !entry->isCut && !m_entry.isCut)
                    entry->timers.after(absl::ZeroDuration(),
                        [target = entry.get(), from, service, bytes] { target->links.deliver(from, service, bytes); });
            }
        });
    return true;
}

void CellWorld::Links::set(const std::string& peer, bool isUp)
{
    if (isUp == m_linked.contains(peer))
        return;
    if (isUp) {
        m_linked.insert(peer);
        m_lost.erase(peer);
    } else {
        m_linked.erase(peer);
        m_lost[peer] = m_world.now();
    }
    if (m_onChange)
        m_onChange(peer, isUp);
}

CellWorld::CellWorld(size_t entries, size_t workers, uint64_t seed, absl::Duration maxLease)
    : m_timers(m_clock)
    , m_random(seed)
    , m_congestionRandom(seed)
    , m_store(m_timers)
    , m_maxLease(maxLease)
{
    m_clock.advance(absl::Seconds(1000));
    m_policy = { "queue", "service", 1, 3, 2, absl::Seconds(1), absl::Seconds(3), {} };
    for (size_t i = 0; i < workers; ++i) {
        WorldWorker worker;
        worker.id = absl::StrCat("w", i);
        worker.rack = absl::StrCat("rack", i / 4);
        worker.capacity = { 4000, 16000, 0 };
        worker.startedAt = now() - absl::Milliseconds(137 * static_cast<int64_t>(i));
        worker.started = 1000 + static_cast<int64_t>(i);
        m_workers.push_back(std::move(worker));
    }
    m_entries.resize(entries);
    for (size_t i = 0; i < entries; ++i)
        start(i);
}

CellWorld::~CellWorld() = default;

absl::Duration CellWorld::delay()
{
    return absl::Microseconds(std::uniform_int_distribution<int64_t>(500, 5000)(m_random));
}

absl::Duration CellWorld::congestion(const WorldEntry& entry)
{
    if (entry.congestion == absl::ZeroDuration())
        return absl::ZeroDuration();
    return entry.congestion * std::uniform_real_distribution<>(0, 1)(m_congestionRandom);
}

void CellWorld::congest(size_t index, absl::Duration extra)
{
    if (m_entries[index])
        m_entries[index]->congestion = extra;
}

void CellWorld::run(absl::Duration duration)
{
    const Instant until = now() + duration;
    while (true) {
        std::optional<Instant> due = m_timers.nextDue();
        for (const auto& entry : m_entries) {
            if (!entry || !entry->isAlive)
                continue;
            if (const auto own = entry->timers.nextDue()) {
                const Instant at = std::max(*own, entry->frozenUntil);
                due = due ? std::min(*due, at) : at;
            }
        }
        if (!due || *due > until)
            break;
        if (*due > now())
            m_clock.advance(*due - now());
        m_timers.runDue();
        for (size_t i = 0; i < m_entries.size(); ++i) {
            WorldEntry* entry = m_entries[i].get();
            if (entry && entry->isAlive && entry->frozenUntil <= now())
                entry->timers.runDue();
        }
    }
    if (until > now())
        m_clock.advance(until - now());
}

bool CellWorld::runUntil(absl::AnyInvocable<bool()> condition, absl::Duration limit)
{
    const Instant until = now() + limit;
    while (now() < until) {
        if (condition())
            return true;
        run(absl::Milliseconds(20));
    }
    return condition();
}

void CellWorld::start(size_t index)
{
    auto entry = std::make_unique<WorldEntry>(*this, absl::StrCat("e", index), absl::StrCat("life", ++m_lastLife));
    m_entries[index] = std::move(entry);
    WorldEntry* started = m_entries[index].get();
    started->door.distance = m_far.contains(index) ? absl::Milliseconds(30) : absl::ZeroDuration();
    started->host.start();
    m_timers.after(absl::Milliseconds(20), [this, started] {
        for (auto& other : m_entries) {
            if (!other || other.get() == started || !other->isAlive || !started->isAlive || other->isCut)
                continue;
            other->links.set(started->name, true);
            started->links.set(other->name, true);
        }
    });
}

void CellWorld::kill(size_t index)
{
    WorldEntry& entry = *m_entries[index];
    if (!entry.isAlive)
        return;
    entry.isAlive = false;
    for (auto& other : m_entries) {
        if (other && other->isAlive)
            other->timers.after(
                linkDelay, [target = other.get(), name = entry.name] { target->links.set(name, false); });
    }
    m_dead.push_back(std::move(m_entries[index]));
}

void CellWorld::setNear(size_t index)
{
    m_far.erase(index);
    m_entries[index]->door.distance = absl::ZeroDuration();
}

void CellWorld::stop(size_t index) { m_entries[index]->host.stop(); }

void CellWorld::freeze(size_t index, absl::Duration duration) { m_entries[index]->frozenUntil = now() + duration; }

void CellWorld::cutFromOthers(size_t worker, size_t entry)
{
    for (size_t i = 0; i < m_entries.size(); ++i) {
        if (i != entry)
            m_workers[worker].cutFrom.insert(absl::StrCat("e", i));
    }
}

void CellWorld::setStore(size_t index, StoreMood mood)
{
    if (m_entries[index])
        m_entries[index]->door.mood = mood;
}

void CellWorld::cutPeers(size_t index, bool isCut)
{
    if (!m_entries[index])
        return;
    WorldEntry* cut = m_entries[index].get();
    cut->isCut = isCut;
    m_timers.after(isCut ? linkSilence : absl::Milliseconds(200), [this, cut, isCut] {
        for (auto& other : m_entries) {
            if (!other || other.get() == cut || !other->isAlive || !cut->isAlive || cut->isCut != isCut)
                continue;
            other->links.set(cut->name, !isCut && !other->isCut);
            cut->links.set(other->name, !isCut && !other->isCut);
        }
    });
}

void CellWorld::crashWorker(size_t index, absl::Duration away)
{
    WorldWorker& worker = m_workers[index];
    worker.isDown = true;
    for (const auto& [run, state] : worker.runs)
        m_jobs[run.task.job].active.erase(run.task);
    worker.runs.clear();
    worker.ended.clear();
    worker.endedAt.clear();
    worker.endsBeforeLapse.clear();
    worker.highestOver.clear();
    worker.waiting.clear();
    worker.token = 0;
    worker.leaseEnd = 0;
    worker.lastSequence = 0;
    worker.acknowledged = 0;
    m_timers.after(away, [this, index] {
        WorldWorker& reborn = m_workers[index];
        reborn.isDown = false;
        reborn.started += reborn.startedStepMillis;
        reborn.startedAt = now();
        m_timers.after(reborn.listingDelay, [this, index] { listWorker(m_workers[index]); });
    });
}

void CellWorld::drainWorker(size_t index)
{
    m_workers[index].isDraining = true;
    listWorker(m_workers[index]);
}

void CellWorld::listWorker(const WorldWorker& worker)
{
    for (auto& entry : m_entries) {
        if (!entry || !entry->isAlive)
            continue;
        for (Roster* roster : entry->rosters)
            roster->tell(worker);
    }
}

std::optional<size_t> CellWorld::owner() const
{
    for (size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i] && m_entries[i]->isAlive && m_entries[i]->host.ownedCells() > 0)
            return i;
    }
    return std::nullopt;
}

std::optional<size_t> CellWorld::ownerOf(uint32_t cell) const
{
    for (size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i] && m_entries[i]->isAlive && m_entries[i]->host.cellOf(cell))
            return i;
    }
    return std::nullopt;
}

void CellWorld::setCells(uint32_t cells)
{
    m_store.put(CellCount::key, Internal::packFields(cells));
    for (size_t i = 0; i < m_workers.size(); ++i) {
        const size_t rack = i / 4;
        for (int attempt = 0; cellOfKey(m_workers[i].rack, cells) != rack % cells; ++attempt)
            m_workers[i].rack = absl::StrCat("rack", rack, "-", attempt);
    }
}

std::shared_ptr<const AccountQuota> CellWorld::quotaOf(uint32_t cell) const
{
    const auto owner = ownerOf(cell);
    return owner ? m_entries[*owner]->host.accountLimits().quotaOf(cell) : nullptr;
}

std::string CellWorld::jobIn(uint32_t cell, uint32_t cells, int number)
{
    std::string id = absl::StrCat("job", number);
    for (int attempt = 0; cellOfKey(id, cells) != cell; ++attempt)
        id = absl::StrCat("job", number, "-", attempt);
    return id;
}

void CellWorld::submitOnce(size_t entry, Submission job)
{
    m_jobs[job.id].spec = job;
    ++m_jobs[job.id].attempts;
    WorldEntry* at = m_entries[entry].get();
    if (!at || !at->isAlive)
        return;
    at->host.gateway().submit(
        job, policyOfJob(job.id), absl::Milliseconds(2800), [this, id = job.id](GatewayReply reply) {
            m_answers[id].push_back(reply.status);
            m_replies[id].push_back(reply);
            if (reply.status == GatewayStatus::Refused)
                m_retryAfters[id].push_back(reply.count);
            if (reply.status == GatewayStatus::Accepted)
                m_accepted.insert(id);
        });
}

void CellWorld::submit(size_t entry, const Submission& job)
{
    submitOnce(entry, job);
    m_timers.after(absl::Milliseconds(3000), [this, entry, job] { retrySubmit(entry, job); });
}

void CellWorld::retrySubmit(size_t entry, const Submission& job)
{
    const auto& answers = m_answers[job.id];
    const bool isOpen = answers.empty() || answers.back() == GatewayStatus::Unknown;
    if (isOpen && !m_accepted.contains(job.id))
        submit((entry + 1) % m_entries.size(), job);
}

std::vector<GatewayStatus> CellWorld::answersTo(const std::string& job) const
{
    const auto found = m_answers.find(job);
    return found == m_answers.end() ? std::vector<GatewayStatus>() : found->second;
}

void CellWorld::cancel(size_t entry, const std::string& job)
{
    WorldEntry* at = m_entries[entry].get();
    if (!at || !at->isAlive)
        return;
    at->host.gateway().cancel(job, absl::Milliseconds(2800), [this, job](GatewayReply reply) {
        if (reply.status != GatewayStatus::Cancelled || m_jobs[job].isCancelAcked)
            return;
        m_jobs[job].isCancelAcked = true;
        m_jobs[job].cancelAckedAt = now();
    });
}

std::optional<JobPhase> CellWorld::ask(size_t entry, const std::string& job)
{
    WorldEntry* at = m_entries[entry].get();
    const bool wasAccepted = m_accepted.contains(job);
    auto answer = std::make_shared<std::optional<GatewayReply>>();
    if (at && at->isAlive)
        at->host.gateway().query(job, absl::Milliseconds(2500), [answer](GatewayReply reply) { *answer = reply; });
    runUntil([answer] { return answer->has_value(); }, absl::Milliseconds(2600));
    if (!*answer)
        return std::nullopt;
    if ((*answer)->status == GatewayStatus::Gone && wasAccepted)
        violate(absl::StrCat("job ", job, " was accepted and is said not to exist"));
    if ((*answer)->status != GatewayStatus::Found)
        return std::nullopt;
    const JobPhase phase = (*answer)->phase;
    if (phase == JobPhase::Finished) {
        const Job& known = m_jobs[job];
        size_t tasks = 0;
        for (const StepSpec& step : known.spec.steps)
            tasks += step.isGang ? 1 : step.taskCount;
        if (known.finishedAcked.size() + 1000 < tasks)
            violate(absl::StrCat("job ", job, " is shown as finished too soon"));
    }
    return phase;
}

uint64_t CellWorld::pending(size_t entry)
{
    auto answer = std::make_shared<std::optional<GatewayReply>>();
    m_entries[entry]->host.gateway().pending(
        m_policy.queue, absl::Milliseconds(2500), [answer](GatewayReply reply) { *answer = reply; });
    runUntil([answer] { return answer->has_value(); }, absl::Milliseconds(2600));
    return *answer ? (*answer)->count : 0;
}

bool CellWorld::allEnded(size_t askAt)
{
    for (const std::string& job : m_accepted) {
        if (m_sawEnd.contains(job))
            continue;
        const auto phase = ask(askAt, job);
        if (!phase || !isEnded(*phase))
            return false;
        m_sawEnd.insert(job);
    }
    return true;
}

void CellWorld::violate(const std::string& what)
{
    m_violations.push_back(absl::StrCat("t=", absl::ToInt64Milliseconds(now()), " ", what));
}

std::string CellWorld::report() const { return absl::StrJoin(m_violations, "\n"); }

size_t CellWorld::startsOf(const std::string& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? 0 : found->second.starts;
}

uint64_t CellWorld::counter(absl::string_view series) const
{
    uint64_t sum = 0;
    for (const auto& entry : m_entries)
        sum += entry && entry->isAlive ? entry->metrics.counter(series) : 0;
    return sum;
}

std::vector<uint64_t> CellWorld::retryAfters(const std::string& job) const
{
    const auto found = m_retryAfters.find(job);
    return found == m_retryAfters.end() ? std::vector<uint64_t>() : found->second;
}

std::optional<Instant> CellWorld::firstStartOf(const std::string& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? std::nullopt : found->second.firstStart;
}

size_t CellWorld::maxOnOneWorker(const std::string& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? 0 : found->second.maxOnOne;
}

void CellWorld::setQueueOf(const std::string& job, QueuePolicy policy)
{
    policy.queue = job;
    m_policiesOfJobs[job] = std::move(policy);
}

void CellWorld::setSharedQueueOf(const std::string& job, const std::string& queue, QueuePolicy policy)
{
    policy.queue = queue;
    m_policiesOfJobs[queue] = policy;
    m_policiesOfJobs[job] = std::move(policy);
}

std::optional<Instant> CellWorld::lastFinishOf(const std::string& job) const
{
    const auto found = m_finishedAt.find(job);
    return found == m_finishedAt.end() ? std::nullopt : std::optional<Instant>(found->second);
}

const QueuePolicy& CellWorld::policyOfJob(const std::string& job) const
{
    const auto found = m_policiesOfJobs.find(job);
    return found == m_policiesOfJobs.end() ? m_policy : found->second;
}

void CellWorld::setAccount(const ClientAccount& account)
{
    constexpr absl::Duration startTransit = absl::Seconds(1);
    const auto known = m_judgedLimits.find(account.name);
    const bool isLowered = known != m_judgedLimits.end() && !fits(wholeLimit(known->second), wholeLimit(account));
    m_accounts[account.name] = account;
    if (isLowered)
        m_timers.after(startTransit, [this, account] { m_judgedLimits[account.name] = account; });
    else
        m_judgedLimits[account.name] = account;
    announceConfiguration();
}

void CellWorld::setConfigurationRead(bool isRead)
{
    m_isConfigurationRead = isRead;
    announceConfiguration();
}

void CellWorld::announceConfiguration()
{
    for (const auto& entry : m_entries) {
        if (entry && entry->isAlive)
            entry->host.handleConfigurationChange();
    }
}

JobGateway& CellWorld::gateway(size_t entry) { return m_entries[entry]->host.gateway(); }

const ClientAccount* CellWorld::accountNamed(const std::string& name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? nullptr : &found->second;
}

Submission makeJob(const std::string& id, uint32_t tasks, int64_t cpuMillis, absl::Duration estimate)
{
    Submission job;
    job.id = id;
    job.payload = "work";
    StepSpec step;
    step.taskCount = tasks;
    step.demand = { cpuMillis, 100, 0 };
    step.estimate = estimate;
    job.steps.push_back(step);
    return job;
}

} // namespace cicada::test
