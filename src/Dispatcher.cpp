#include "Dispatcher.h"

#include "CrossRegionGate.h"
#include "LoadReporter.h"
#include "ServiceDemand.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <optional>

namespace cicada {

namespace {

    constexpr absl::string_view askService = "place-ask";
    constexpr absl::string_view replyService = "place-reply";
    constexpr absl::string_view doneService = "place-done";
    constexpr absl::string_view loadService = "load";
    constexpr absl::Duration sweepInterval = absl::Seconds(1);

    Error lateError(const WorkItem& item)
    {
        return { ErrorKind::DeadlineExceeded,
            absl::StrCat("No slot came free within the ", absl::FormatDuration(item.profile.maxWait), " that profile '",
                item.profile.name, "' lets it wait."),
            "Nothing was run; send it again later, or raise maxWaitMs in the profile." };
    }

} // namespace

struct Dispatcher::Waiting {
    WorkItem item;
    Decision decision;
    QueuedRequest request;
    /** The ask to a peer that is under way, or 0. */
    uint64_t askId = 0;
    Instant askSentAt;
    std::string askedPeer;
};

/** All that is kept for one service. Pairs of two are for short and for long work. */
struct Dispatcher::ServiceState {
    std::unique_ptr<RequestQueue> queue;
    std::unique_ptr<SlotReserve> reserve;
    ServiceDemand demand;
    std::array<CrossRegionGate, 2> gates;
    /** Own requests that run on peers' slots. */
    std::array<uint32_t, 2> runsOnPeers {};
    bool isPumping = false;
    bool pumpAgain = false;
};

Dispatcher::Dispatcher(std::string self, const BackEnds& backEnds, SlotLedger& ledger, PeerBus& peers,
    const Clock& clock, size_t maxQueued, const DispatcherOptions& options)
    : m_self(std::move(self))
    , m_options(options)
    , m_backEnds(backEnds)
    , m_ledger(ledger)
    , m_peers(peers)
    , m_clock(clock)
    , m_maxQueued(maxQueued)
    , m_random(options.seed)
    , m_admission(makeAdmission(options.policy))
    , m_choice(makePeerChoice(options.policy))
    , m_loads(options.region)
    , m_reporter(std::make_unique<LoadReporter>(options.region, peers, m_loads, m_random))
{
    m_peers.handle(askService, [this](absl::string_view from, absl::string_view bytes) { handleAsk(from, bytes); });
    m_peers.handle(replyService, [this](absl::string_view from, absl::string_view bytes) { handleReply(from, bytes); });
    m_peers.handle(doneService, [this](absl::string_view, absl::string_view bytes) { handleDone(bytes); });
    m_peers.handle(loadService, [this](absl::string_view from, absl::string_view bytes) { handleDigest(from, bytes); });
}

Dispatcher::~Dispatcher() = default;

uint64_t Dispatcher::digestBytes() const { return m_reporter->bytesSent(); }

// Taking requests in

void Dispatcher::submit(WorkItem item, Decision decision)
{
    ++m_counts.submitted;
    if (item.arrivedAt == absl::ZeroDuration())
        item.arrivedAt = m_clock.now();
    if (auto placeable = checkPlaceable(item); !placeable)
        return decision(placeable.error());
    const std::string service = item.service;
    ServiceState& state = serviceState(service);
    QueuedRequest request = describeRequest(item, state);
    const AdmissionView view = lookAhead(item, request, state);
    if (auto admissible = checkAdmissible(item, view); !admissible) {
        ++m_counts.refused;
        return decision(admissible.error());
    }
    const Instant now = m_clock.now();
    state.demand.admitted(request.isLong, request.urgency, request.expectedRun, now);
    m_deadlines.insert({ request.deadline, request.ticket });
    m_byRequest[item.requestId] = request.ticket;
    state.queue->push(request);
    auto waiting = std::make_unique<Waiting>();
    waiting->item = std::move(item);
    waiting->decision = std::move(decision);
    waiting->request = std::move(request);
    const uint64_t ticket = waiting->request.ticket;
    m_waiting[ticket] = std::move(waiting);
    // A request that has to cross leaves while it has the time for it: at the head of the queue it would not.
    if (view.canCross && view.expectedWait > view.maxWait * CrossRegionGate::closeAt)
        askPeer(ticket, state);
    pump(service);
}

Result<void> Dispatcher::checkPlaceable(const WorkItem& item) const
{
    if (!m_backEnds.hasService(item.service))
        return Error { ErrorKind::UnknownService, absl::StrCat("No back end runs the service '", item.service, "'."),
            "Check the service's name, or start back ends for it." };
    if (item.profile.whenShort == ShortageAction::Preempt && !item.profile.mayRunTwice)
        return Error { ErrorKind::InvalidProfile,
            absl::StrCat("Profile '", item.profile.name,
                "' lets a request be preempted but not run twice, and a request that was stopped has to run again."),
            "Set mayRunTwice to true, or whenShort to \"wait\" or \"shed\"." };
    return success();
}

AdmissionView Dispatcher::lookAhead(const WorkItem& item, const QueuedRequest& request, ServiceState& state) const
{
    const Instant now = m_clock.now();
    AdmissionView view;
    view.expectedWait = expectedWaitOf(item.service, request, state);
    view.maxWait = request.deadline - now;
    CrossRegionGate& gate = state.gates[request.isLong];
    if (view.maxWait > absl::ZeroDuration())
        gate.note(absl::FDivDuration(view.expectedWait, view.maxWait));
    view.canCross = gate.isOpen() && view.maxWait > crossingTime
        && m_loads.freeSlots(item.service, request.isLong, true, now) > state.queue->size();
    return view;
}

Result<void> Dispatcher::checkAdmissible(const WorkItem& item, const AdmissionView& view) const
{
    if (m_waiting.size() >= m_maxQueued)
        return Error { ErrorKind::TooBusy,
            absl::StrCat("This entry holds ", m_waiting.size(), " waiting requests, which is its limit."),
            "Nothing was run; try again later, with growing delays." };
    if (view.maxWait <= absl::ZeroDuration())
        return lateError(item);
    if (m_admission->admit(item.profile, view))
        return success();
    return Error { ErrorKind::TooBusy,
        absl::StrCat("It would wait about ", absl::FormatDuration(view.expectedWait), ", and profile '",
            item.profile.name, "' lets it wait ", absl::FormatDuration(item.profile.maxWait), "."),
        "Nothing was run; try again later, with growing delays." };
}

QueuedRequest Dispatcher::describeRequest(const WorkItem& item, ServiceState& state)
{
    const Instant now = m_clock.now();
    const Profile& profile = item.profile;
    const RunEstimate estimate = m_runTimes.estimate(item.service, profile.name, profile.expectedRun);
    QueuedRequest request;
    request.ticket = m_nextTicket++;
    request.profile = profile.name;
    request.urgency = profile.urgency;
    request.share = profile.share;
    request.deadline = item.arrivedAt + profile.maxWait;
    request.expectedRun = estimate.typical;
    const absl::Duration shortestBefore = state.demand.shortestWait();
    request.isLong = state.demand.note(profile, estimate.typical, now);
    if (state.demand.shortestWait() < shortestBefore)
        state.reserve->reset();
    if (!request.isLong)
        state.reserve->noteShort(estimate.typical, now);
    return request;
}

Dispatcher::ServiceState& Dispatcher::serviceState(const std::string& service)
{
    auto& state = m_services[service];
    if (!state) {
        state = std::make_unique<ServiceState>();
        state->queue = makeRequestQueue(m_options.policy);
        state->reserve = makeSlotReserve(m_options.policy);
    }
    return *state;
}

uint32_t Dispatcher::ownFree(absl::string_view service, bool isLong, const ServiceState& state) const
{
    const SlotTotals totals = m_ledger.totals(service);
    if (!isLong)
        return totals.free;
    const uint32_t limit = state.reserve->longLimit(totals.slots, m_clock.now());
    return std::min(totals.free, limit - std::min(limit, m_uses.longRuns(service)));
}

absl::Duration Dispatcher::expectedWaitOf(
    absl::string_view service, const QueuedRequest& request, const ServiceState& state) const
{
    const Instant now = m_clock.now();
    const bool separate = m_options.policy.reserve == PolicyOptions::Reserve::Adaptive;
    const SlotTotals totals = m_ledger.totals(service);
    const uint32_t peersFree = m_loads.freeSlots(service, request.isLong, false, now);
    double slots = totals.slots;
    if (separate && request.isLong)
        slots = state.reserve->longLimit(totals.slots, now);
    else if (separate)
        slots -= std::min(totals.slots, m_uses.longRuns(service));
    // An entry without slots of its own lives on those that it got from peers; what peers have free is for all of
    // the region's entries.
    slots = std::max<double>(slots, state.runsOnPeers[request.isLong]);
    slots += static_cast<double>(peersFree) / static_cast<double>(1 + m_loads.regionSize(now));
    const double lessUrgent = slots * FairDeadlineQueue::leastShare;
    slots -= std::min(lessUrgent, state.demand.loadBelow(request.isLong, request.urgency, now));
    slots = std::max(lessUrgent, slots - state.demand.loadAbove(request.isLong, request.urgency, now));
    const absl::Duration ahead = state.queue->workAhead(request, separate);
    const bool isFree = ahead == absl::ZeroDuration() && ownFree(service, request.isLong, state) + peersFree > 0;
    // When nothing is free, the first slot to come free still has a part of its run before it.
    return expectedWait(ahead + request.expectedRun, slots, isFree);
}

// Matching

void Dispatcher::pump(const std::string& service)
{
    auto it = m_services.find(service);
    if (it == m_services.end())
        return;
    ServiceState& state = *it->second;
    // A decision may submit or finish requests, which would come back here.
    state.pumpAgain = true;
    if (state.isPumping)
        return;
    state.isPumping = true;
    while (state.pumpAgain) {
        state.pumpAgain = false;
        while (placeNext(service, state)) { }
    }
    state.isPumping = false;
}

void Dispatcher::pumpAll()
{
    m_ledger.dropIndex();
    for (const auto& [service, state] : m_services)
        pump(service);
}

bool Dispatcher::mayStart(absl::string_view service, bool isLong, const ServiceState& state) const
{
    const Instant now = m_clock.now();
    if (ownFree(service, isLong, state) > 0 || m_loads.anyFree(service, isLong, false, now))
        return true;
    const bool anyRegion = m_options.policy.spill != PolicyOptions::Spill::RegionFirst;
    return (anyRegion || state.gates[isLong].isOpen()) && m_loads.anyFree(service, isLong, true, now);
}

bool Dispatcher::placeNext(const std::string& service, ServiceState& state)
{
    if (state.queue->size() == 0)
        return false;
    std::array<std::optional<bool>, 2> may;
    const auto ticket = state.queue->next([&](bool isLong) {
        if (!may[isLong])
            may[isLong] = mayStart(service, isLong, state);
        return *may[isLong];
    });
    return ticket && (placeLocally(*ticket, state) || askPeer(*ticket, state));
}

bool Dispatcher::placeLocally(uint64_t ticket, ServiceState& state)
{
    const Waiting& waiting = *m_waiting[ticket];
    const WorkItem& item = waiting.item;
    if (ownFree(item.service, waiting.request.isLong, state) == 0)
        return false;
    const auto slot = m_ledger.take(item.service, item.requestId, m_self);
    if (!slot)
        return false;
    const RunEstimate estimate = m_runTimes.estimate(item.service, item.profile.name, item.profile.expectedRun);
    m_uses.begin(slot->id, item.service, waiting.request.isLong, slot->grantedAt + estimate.suspectAfter);
    state.queue->start(ticket);
    decideGrant(ticket, StartGrant { slot->id, m_self, slot->executor, slot->address, slot->epoch, slot->startBy },
        isOtherRegion(slot->executor, m_self));
    return true;
}

std::vector<PeerCandidate> Dispatcher::peersFor(const Waiting& waiting, const ServiceState& state) const
{
    const Instant now = m_clock.now();
    const bool isLong = waiting.request.isLong;
    std::vector<PeerCandidate> peers = m_loads.candidates(waiting.item.service, isLong, false, now);
    if (m_options.policy.spill != PolicyOptions::Spill::RegionFirst) {
        const auto others = m_loads.candidates(waiting.item.service, isLong, true, now);
        peers.insert(peers.end(), others.begin(), others.end());
        return peers;
    }
    if (!peers.empty() || !state.gates[isLong].isOpen() || waiting.request.deadline - now < crossingTime)
        return peers;
    return m_loads.candidates(waiting.item.service, isLong, true, now);
}

bool Dispatcher::askPeer(uint64_t ticket, ServiceState& state)
{
    Waiting& waiting = *m_waiting[ticket];
    const std::vector<PeerCandidate> peers = peersFor(waiting, state);
    if (peers.empty())
        return false;
    const std::string& peer = peers[m_choice->choose(peers, m_random)].name;
    PlaceRequest ask;
    ask.askId = m_nextAsk++;
    ask.requestId = waiting.item.requestId;
    ask.service = waiting.item.service;
    ask.profile = waiting.item.profile.name;
    ask.isLong = waiting.request.isLong;
    ask.expectedRunMicros = absl::ToInt64Microseconds(waiting.request.expectedRun);
    m_loads.lower(peer, ask.service);
    if (!m_peers.send(peer, askService, encode(ask))) {
        m_loads.forget(peer);
        return false;
    }
    state.queue->start(ticket);
    waiting.askId = ask.askId;
    waiting.askSentAt = m_clock.now();
    waiting.askedPeer = peer;
    m_asks[ask.askId] = ticket;
    m_sentAsks.emplace_back(waiting.askSentAt, ask.askId);
    return true;
}

bool Dispatcher::isOtherRegion(absl::string_view executor, absl::string_view owner) const
{
    if (const BackEnd* backEnd = m_backEnds.find(executor))
        return !backEnd->region.empty() && backEnd->region != m_options.region;
    return owner != m_self && m_loads.region(owner) != m_options.region;
}

// Ends of waiting

Dispatcher::WaitingPtr Dispatcher::takeWaiting(uint64_t ticket)
{
    auto it = m_waiting.find(ticket);
    if (it == m_waiting.end())
        return nullptr;
    WaitingPtr waiting = std::move(it->second);
    m_waiting.erase(it);
    m_deadlines.erase({ waiting->request.deadline, ticket });
    auto named = m_byRequest.find(waiting->item.requestId);
    if (named != m_byRequest.end() && named->second == ticket)
        m_byRequest.erase(named);
    // The reply to an ask that is under way finds nobody, and then the slot is given back.
    m_asks.erase(waiting->askId);
    return waiting;
}

void Dispatcher::decideGrant(uint64_t ticket, StartGrant grant, bool isAcrossRegions)
{
    const WaitingPtr waiting = takeWaiting(ticket);
    ServiceState& state = serviceState(waiting->item.service);
    grant.service = waiting->item.service;
    grant.profile = waiting->item.profile.name;
    grant.maxRun = waiting->item.profile.maxRun;
    grant.isLong = waiting->request.isLong;
    ++m_counts.started;
    if (grant.owner != m_self) {
        ++m_counts.onPeers;
        ++state.runsOnPeers[waiting->request.isLong];
    }
    if (isAcrossRegions) {
        ++m_counts.acrossRegions;
        m_counts.bytesAcrossRegions += waiting->item.bodyBytes;
    }
    waiting->decision(std::move(grant));
}

void Dispatcher::refuseWaiting(uint64_t ticket, const Error& error)
{
    const WaitingPtr waiting = takeWaiting(ticket);
    if (!waiting)
        return;
    serviceState(waiting->item.service).queue->remove(ticket);
    waiting->decision(error);
}

bool Dispatcher::cancel(absl::string_view requestId)
{
    auto named = m_byRequest.find(requestId);
    if (named == m_byRequest.end())
        return false;
    ++m_counts.cancelled;
    refuseWaiting(named->second,
        Error { ErrorKind::DeadlineExceeded, "The request was cancelled while it waited.",
            "Nothing was run; send it again if it is still wanted." });
    return true;
}

void Dispatcher::expireRequests(Instant now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const uint64_t ticket = m_deadlines.begin()->second;
        ++m_counts.expired;
        refuseWaiting(ticket, lateError(m_waiting[ticket]->item));
    }
}

void Dispatcher::expireAsks(Instant now)
{
    while (!m_sentAsks.empty() && now - m_sentAsks.front().first > askTimeout) {
        auto ask = m_asks.find(m_sentAsks.front().second);
        m_sentAsks.pop_front();
        if (ask == m_asks.end())
            continue;
        Waiting& waiting = *m_waiting[ask->second];
        m_asks.erase(ask);
        m_loads.forget(waiting.askedPeer);
        waiting.askId = 0;
        serviceState(waiting.item.service).queue->push(waiting.request);
    }
}

void Dispatcher::finished(const StartGrant& grant, const RunReport& report)
{
    if (report.verdict == RunVerdict::Succeeded)
        m_runTimes.learn(grant.service, grant.profile, std::min(report.runTime, grant.maxRun), m_clock.now());
    if (grant.owner == m_self)
        return settleSlot(grant.id, report);
    uint32_t& runsOnPeers = serviceState(grant.service).runsOnPeers[grant.isLong];
    runsOnPeers -= std::min(runsOnPeers, 1U);
    m_peers.send(grant.owner, doneService, encode(PlaceDone { grant.id, report }));
}

void Dispatcher::settleSlot(uint64_t grantId, const RunReport& report)
{
    const SlotGrant* grant = m_ledger.find(grantId);
    if (!grant)
        return;
    const BackEnd* backEnd = m_backEnds.find(grant->executor);
    m_ledger.finish(grantId, report);
    if (!m_ledger.find(grantId))
        m_uses.end(grantId);
    if (backEnd)
        pump(backEnd->service);
}

// Peers

void Dispatcher::handleDone(absl::string_view bytes)
{
    if (auto done = decodePlaceDone(bytes))
        settleSlot(done.value().grantId, done.value().report);
}

void Dispatcher::handleAsk(absl::string_view from, absl::string_view bytes)
{
    auto decoded = decodePlaceRequest(bytes);
    if (!decoded)
        return;
    const PlaceRequest& ask = decoded.value();
    if (!m_backEnds.hasService(ask.service))
        return;
    ServiceState& state = serviceState(ask.service);
    PlaceReply reply;
    reply.askId = ask.askId;
    if (ownFree(ask.service, ask.isLong, state) > 0) {
        if (const auto grant = m_ledger.take(ask.service, ask.requestId, from)) {
            const auto declared = absl::Microseconds(ask.expectedRunMicros);
            const RunEstimate estimate = m_runTimes.estimate(ask.service, ask.profile, declared);
            m_uses.begin(grant->id, ask.service, ask.isLong, grant->grantedAt + estimate.suspectAfter);
            reply.granted = true;
            reply.grantId = grant->id;
            reply.executor = grant->executor;
            reply.address = toString(grant->address);
            reply.epoch = grant->epoch;
            reply.startWithinMicros = absl::ToInt64Microseconds(grant->startBy - grant->grantedAt);
        }
    }
    reply.freeSlots = ownFree(ask.service, false, state);
    reply.freeForLong = ownFree(ask.service, true, state);
    m_peers.send(from, replyService, encode(reply));
}

void Dispatcher::handleReply(absl::string_view from, absl::string_view bytes)
{
    auto decoded = decodePlaceReply(bytes);
    if (!decoded)
        return;
    const PlaceReply& reply = decoded.value();
    auto ask = m_asks.find(reply.askId);
    const uint64_t ticket = ask == m_asks.end() ? 0 : ask->second;
    auto address = reply.granted ? parseEndpoint(reply.address) : Result<Endpoint>(Endpoint {});
    const bool isUsable = ticket != 0 && address && m_clock.now() - m_waiting[ticket]->askSentAt <= askTimeout;
    if (!isUsable) {
        if (reply.granted)
            m_peers.send(from, doneService, encode(PlaceDone { reply.grantId, { RunVerdict::Unused, {} } }));
        return;
    }
    m_asks.erase(ask);
    Waiting& waiting = *m_waiting[ticket];
    waiting.askId = 0;
    const std::string service = waiting.item.service;
    m_loads.correct(from, service, reply.freeSlots, reply.freeForLong);
    if (reply.granted) {
        const Instant startBy = waiting.askSentAt + absl::Microseconds(reply.startWithinMicros);
        decideGrant(ticket,
            StartGrant { reply.grantId, std::string(from), reply.executor, address.value(), reply.epoch, startBy },
            isOtherRegion(reply.executor, from));
    } else {
        serviceState(service).queue->push(waiting.request);
    }
    pump(service);
}

void Dispatcher::handleDigest(absl::string_view from, absl::string_view bytes)
{
    auto digest = decodeLoadDigest(bytes);
    if (!digest)
        return;
    m_loads.update(from, digest.value(), m_clock.now());
    for (const ServiceLoad& load : digest.value().services) {
        if (load.freeSlots > 0)
            pump(load.service);
    }
}

// Time

void Dispatcher::tick(Instant now)
{
    expireAsks(now);
    expireRequests(now);
    m_uses.tick(now);
    if (now >= m_nextSweep) {
        m_nextSweep = now + sweepInterval;
        m_uses.reconcile(m_ledger);
    }
    for (const auto& [service, state] : m_services) {
        state->demand.tick(now);
        for (CrossRegionGate& gate : state->gates)
            gate.tick(now, state->queue->size() == 0);
        pump(service);
    }
    if (m_reporter->isDue(now))
        report(now);
}

void Dispatcher::report(Instant now)
{
    absl::flat_hash_set<std::string> services;
    for (const BackEnd& backEnd : m_backEnds.all()) {
        if (backEnd.kind == BackEndKind::Executor)
            services.insert(backEnd.service);
    }
    std::vector<ServiceLoad> loads;
    for (const std::string& service : services) {
        const ServiceState& state = serviceState(service);
        loads.push_back({ service, ownFree(service, false, state), ownFree(service, true, state),
            static_cast<uint32_t>(state.queue->size()) });
    }
    m_reporter->report(loads, now);
}

} // namespace cicada
