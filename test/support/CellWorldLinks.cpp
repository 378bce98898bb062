/** \file
 * The part of CellWorld through which an entry reaches workers, the policy service and other entries.
 */

#include "CellWorldEntry.h"
#include "Pack.h"

#include "absl/strings/str_cat.h"

namespace cicada::test {

namespace {

    constexpr absl::Duration orderTimeout = absl::Milliseconds(400);
    constexpr absl::Duration lateBy = absl::Milliseconds(3000);
    constexpr size_t maxWorkersInAdvice = 100;

} // namespace

void CellWorld::setReadsNoQueue(size_t entry) { m_readNoQueue.insert(m_entries[entry]->name); }

bool CellWorld::Links::namesQueue(const std::string& service, const std::string& bytes)
{
    uint64_t number = 0;
    uint32_t verb = 0;
    uint32_t cell = 0;
    std::string body;
    std::string queue;
    return service == "job.ask"
        && Internal::unpackFields(bytes, "job request", number, verb, cell, body, queue).has_value();
}

void CellWorld::Links::deliver(const std::string& from, const std::string& service, const std::string& bytes)
{
    if (m_world.m_readNoQueue.contains(m_entry.name) && namesQueue(service, bytes))
        return;
    const auto found = m_handlers.find(service);
    if (found != m_handlers.end() && m_linked.contains(from))
        (*found->second)(from, bytes);
}

CellWorld::NoAnswer CellWorld::noAnswerOf(const WorkerIncarnation& incarnation, absl::Duration delay)
{
    for (const WorldWorker& worker : m_workers) {
        if (worker.formerId == incarnation.id && !worker.isDown)
            return { OrderStatus::OtherIncarnation, delay };
        if (worker.id == incarnation.id && worker.isDown && !worker.isDark)
            return { OrderStatus::NotSent, delay };
    }
    return { OrderStatus::NoReply, replyTimeout };
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
        const bool isCut = worker && (worker->isCut || worker->cutFrom.contains(m_entry.name));
        if (!worker || worker->isDown || isCut) {
            const NoAnswer why = m_world.noAnswerOf(incarnation, delay);
            Reply none;
            none.status = why.status;
            none.wasClosed = why.status == OrderStatus::NotSent;
            return reply(why.after, none);
        }
        if (std::uniform_real_distribution<>(0, 1)(m_world.m_random) < worker->lateShare) {
            // Carried out seconds later, after newer orders, in whatever incarnation the worker then has.
            m_world.m_timers.after(lateBy, [this, index, effect] {
                WorldWorker& later = m_world.m_workers[index];
                if (!later.isDown)
                    effect(later);
            });
            return reply(replyTimeout, Reply());
        }
        Reply done = effect(*worker);
        const bool isDropped = worker->unansweredShare > 0
            && std::uniform_real_distribution<>(0, 1)(m_world.m_congestionRandom) < worker->unansweredShare;
        const bool isLost = isDropped || worker->isDown;
        isLost ? reply(replyTimeout, Reply()) : reply(back, std::move(done));
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
            const NoAnswer why = m_world.noAnswerOf(incarnation, delay);
            SyncReply none;
            none.status = why.status;
            none.wasClosed = why.status == OrderStatus::NotSent;
            return reply(worker && worker->syncsUntilCut ? delay : why.after, none);
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
        const absl::Duration back = delay + m_world.congestion(m_entry) + worker->listDelay;
        const bool answersNow = order.wait == absl::ZeroDuration() || !worker->ended.empty();
        if (answersNow)
            return reply(back, m_world.listAt(*worker));
        const auto replyNone = [reply, back](bool wasClosed) {
            SyncReply none;
            none.wasClosed = wasClosed;
            reply(wasClosed ? back : replyTimeout, none);
        };
        auto isDone = std::make_shared<bool>(false);
        const auto finish = [this, index, isDone, reply, replyNone, back] {
            if (*isDone)
                return;
            *isDone = true;
            const WorldWorker& at = m_world.m_workers[index];
            if (!at.isDown && !at.isCut)
                reply(back, m_world.listAt(m_world.m_workers[index]));
            else
                replyNone(at.isDown && m_world.m_resetsOnCrash);
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

} // namespace cicada::test
