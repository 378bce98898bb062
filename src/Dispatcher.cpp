#include "Dispatcher.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include <glog/logging.h>

namespace cicada {

namespace {

    constexpr absl::string_view askService = "place-ask";
    constexpr absl::string_view replyService = "place-reply";
    constexpr absl::string_view doneService = "place-done";
    constexpr absl::string_view loadService = "load";
    /** A peer's digest that is older than this says nothing any more. */
    constexpr absl::Duration digestLifetime = absl::Seconds(2);

} // namespace

struct Dispatcher::Waiting {
    WorkItem item;
    Decision decision;
    Instant deadline;
    /** The ask to a peer that is under way, or 0. */
    uint64_t askId = 0;
    Instant askSentAt;
    std::string askedPeer;
    bool decided = false;
};

struct Dispatcher::Queue {
    std::deque<std::shared_ptr<Waiting>> items;
};

Dispatcher::Dispatcher(std::string self, const BackEnds& backEnds, SlotLedger& ledger, PeerBus& peers,
    const Clock& clock, size_t maxQueued)
    : m_self(std::move(self))
    , m_backEnds(backEnds)
    , m_ledger(ledger)
    , m_peers(peers)
    , m_clock(clock)
    , m_maxQueued(maxQueued)
{
    m_peers.handle(askService, [this](absl::string_view from, absl::string_view bytes) { handleAsk(from, bytes); });
    m_peers.handle(replyService, [this](absl::string_view from, absl::string_view bytes) { handleReply(from, bytes); });
    m_peers.handle(doneService, [this](absl::string_view, absl::string_view bytes) { handleDone(bytes); });
    m_peers.handle(loadService, [this](absl::string_view from, absl::string_view bytes) { handleDigest(from, bytes); });
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::submit(WorkItem item, Decision decision)
{
    if (!m_backEnds.hasService(item.service))
        return decision(
            Error { ErrorKind::UnknownService, absl::StrCat("No back end runs the service '", item.service, "'."),
                "Check the service's name, or start back ends for it." });
    if (m_queued >= m_maxQueued)
        return decision(Error { ErrorKind::TooBusy,
            absl::StrCat("This entry holds ", m_queued, " waiting requests, which is its limit."),
            "Try again later, with growing delays." });
    auto waiting = std::make_shared<Waiting>();
    waiting->deadline = m_clock.now() + item.profile.maxWait;
    waiting->item = std::move(item);
    waiting->decision = std::move(decision);
    const std::string service = waiting->item.service;
    auto& queue = m_queues[service];
    if (!queue)
        queue = std::make_unique<Queue>();
    queue->items.push_back(std::move(waiting));
    ++m_queued;
    pump(service);
}

void Dispatcher::finished(const StartGrant& grant, const RunReport& report)
{
    if (grant.owner != m_self) {
        m_peers.send(grant.owner, doneService, encode(PlaceDone { grant.id, report }));
        return;
    }
    settleSlot(grant.id, report);
}

void Dispatcher::settleSlot(uint64_t grantId, const RunReport& report)
{
    const SlotGrant* grant = m_ledger.find(grantId);
    if (!grant)
        return;
    const BackEnd* backEnd = m_backEnds.find(grant->executor);
    m_ledger.finish(grantId, report);
    if (backEnd)
        pump(backEnd->service);
}

void Dispatcher::pumpAll()
{
    for (auto& [service, queue] : m_queues)
        pump(service);
}

void Dispatcher::handleDone(absl::string_view bytes)
{
    if (auto done = decodePlaceDone(bytes))
        settleSlot(done.value().grantId, done.value().report);
}

bool Dispatcher::cancel(absl::string_view requestId)
{
    for (auto& [service, queue] : m_queues) {
        for (auto& waiting : queue->items) {
            if (waiting->item.requestId != requestId)
                continue;
            // An ask that is under way is answered by giving the slot straight back.
            waiting->decided = true;
            waiting->decision(Error { ErrorKind::DeadlineExceeded, "The request was cancelled while it waited.",
                "Nothing was run; send it again if it is still wanted." });
            return true;
        }
    }
    return false;
}

void Dispatcher::pump(absl::string_view service)
{
    auto it = m_queues.find(service);
    if (it == m_queues.end())
        return;
    auto& items = it->second->items;
    for (auto& waiting : items) {
        if (waiting->decided || waiting->askId != 0)
            continue;
        if (!placeLocally(*waiting) && !askPeer(*waiting))
            break;
        if (waiting->askId != 0)
            m_asks[waiting->askId] = waiting;
    }
    while (!items.empty() && items.front()->decided) {
        items.pop_front();
        --m_queued;
    }
}

bool Dispatcher::placeLocally(Waiting& waiting)
{
    const auto grant = m_ledger.take(waiting.item.service, waiting.item.requestId, m_self);
    if (!grant)
        return false;
    waiting.decided = true;
    waiting.decision(StartGrant { grant->id, m_self, grant->executor, grant->address, grant->epoch, grant->startBy });
    return true;
}

bool Dispatcher::askPeer(Waiting& waiting)
{
    const Instant now = m_clock.now();
    std::string best;
    uint32_t bestFree = 0;
    for (auto& [peer, load] : m_peerLoads) {
        auto free = load.freeSlots.find(waiting.item.service);
        if (now - load.receivedAt > digestLifetime || free == load.freeSlots.end() || free->second <= bestFree)
            continue;
        best = peer;
        bestFree = free->second;
    }
    if (best.empty())
        return false;
    const PlaceAsk ask { m_nextAsk++, waiting.item.requestId, waiting.item.service };
    if (!m_peers.send(best, askService, encode(ask)))
        return false;
    --m_peerLoads[best].freeSlots[waiting.item.service];
    waiting.askId = ask.askId;
    waiting.askSentAt = now;
    waiting.askedPeer = best;
    return true;
}

void Dispatcher::handleAsk(absl::string_view from, absl::string_view bytes)
{
    auto ask = decodePlaceAsk(bytes);
    if (!ask)
        return;
    PlaceReply reply;
    reply.askId = ask.value().askId;
    if (const auto grant = m_ledger.take(ask.value().service, ask.value().requestId, from)) {
        reply.granted = true;
        reply.grantId = grant->id;
        reply.executor = grant->executor;
        reply.address = toString(grant->address);
        reply.epoch = grant->epoch;
        reply.startWithinMicros = absl::ToInt64Microseconds(grant->startBy - grant->grantedAt);
    }
    m_peers.send(from, replyService, encode(reply));
}

void Dispatcher::handleReply(absl::string_view from, absl::string_view bytes)
{
    auto decoded = decodePlaceReply(bytes);
    if (!decoded)
        return;
    const PlaceReply& reply = decoded.value();
    auto it = m_asks.find(reply.askId);
    const std::shared_ptr<Waiting> waiting = it == m_asks.end() ? nullptr : it->second;
    if (it != m_asks.end())
        m_asks.erase(it);
    auto address = reply.granted ? parseEndpoint(reply.address) : Result<Endpoint>(Endpoint {});
    if (!waiting || waiting->decided || !address) {
        if (reply.granted)
            m_peers.send(from, doneService, encode(PlaceDone { reply.grantId, { RunVerdict::NotStarted, {} } }));
        return;
    }
    waiting->askId = 0;
    if (reply.granted) {
        waiting->decided = true;
        waiting->decision(StartGrant { reply.grantId, std::string(from), reply.executor, address.value(), reply.epoch,
            waiting->askSentAt + absl::Microseconds(reply.startWithinMicros) });
    } else {
        m_peerLoads[from].freeSlots[waiting->item.service] = 0;
    }
    pump(waiting->item.service);
}

void Dispatcher::handleDigest(absl::string_view from, absl::string_view bytes)
{
    auto digest = decodeLoadDigest(bytes);
    if (!digest)
        return;
    PeerLoad& load = m_peerLoads[from];
    load.receivedAt = m_clock.now();
    load.freeSlots.clear();
    for (const ServiceLoad& service : digest.value().services) {
        load.freeSlots[service.service] = service.freeSlots;
        if (service.freeSlots > 0)
            pump(service.service);
    }
}

void Dispatcher::expire(Queue& queue, Instant now)
{
    for (auto& waiting : queue.items) {
        if (waiting->decided)
            continue;
        if (waiting->askId != 0 && now - waiting->askSentAt > askTimeout) {
            m_asks.erase(waiting->askId);
            waiting->askId = 0;
        }
        if (now < waiting->deadline)
            continue;
        waiting->decided = true;
        m_asks.erase(waiting->askId);
        waiting->decision(Error { ErrorKind::DeadlineExceeded,
            absl::StrCat("No slot came free within the ", absl::FormatDuration(waiting->item.profile.maxWait),
                " that profile '", waiting->item.profile.name, "' lets it wait."),
            "Nothing was run; send it again later, or raise maxWaitMs in the profile." });
    }
}

void Dispatcher::tick(Instant now)
{
    for (auto& [service, queue] : m_queues) {
        expire(*queue, now);
        pump(service);
    }
    if (now >= m_nextDigest) {
        m_nextDigest = now + digestInterval;
        sendDigest();
    }
}

void Dispatcher::sendDigest()
{
    absl::flat_hash_set<std::string> services;
    for (const BackEnd& backEnd : m_backEnds.all()) {
        if (backEnd.kind == BackEndKind::Executor)
            services.insert(backEnd.service);
    }
    LoadDigest digest;
    for (const std::string& service : services) {
        auto queue = m_queues.find(service);
        const size_t queued = queue == m_queues.end() ? 0 : queue->second->items.size();
        digest.services.push_back({ service, m_ledger.freeSlots(service), static_cast<uint32_t>(queued) });
    }
    for (const std::string& peer : m_peers.peerNames())
        m_peers.send(peer, loadService, encode(digest));
}

} // namespace cicada
