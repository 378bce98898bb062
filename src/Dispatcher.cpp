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

    constexpr absl::string_view placeRequestService = "place-ask";
    constexpr absl::string_view placeReplyService = "place-reply";
    constexpr absl::string_view placeDoneService = "place-done";
    constexpr absl::string_view loadService = "load";
    constexpr absl::Duration reconciliationInterval = absl::Seconds(1);

    Error waitTimeoutError(const WorkItem& item)
    {
        return { ErrorKind::DeadlineExceeded,
            absl::StrCat("No slot became free within the ", absl::FormatDuration(item.profile.maxWait),
                " wait bound of profile '", item.profile.name, "'."),
            "Nothing was run; retry later, or raise maxWaitMs in the profile." };
    }

} // namespace

struct Dispatcher::Waiting {
    WorkItem item;
    Decision decision;
    QueuedRequest request;
    /** The id of the place request in flight to a peer, or 0. */
    uint64_t placeRequestId = 0;
    Instant placeRequestSentAt;
    std::string requestedPeer;
};

/** The state of one service. Arrays of two hold the value for short work and the value for long work. */
struct Dispatcher::ServiceState {
    std::unique_ptr<RequestQueue> queue;
    std::unique_ptr<SlotReserve> reserve;
    ServiceDemand demand;
    std::array<CrossRegionGate, 2> gates;
    /** The number of own requests that run on peers' slots. */
    std::array<uint32_t, 2> runsOnPeers {};
    bool isDispatching = false;
    bool dispatchAgain = false;
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
    , m_peerChoice(makePeerChoice(options.policy))
    , m_loads(options.region)
    , m_reporter(std::make_unique<LoadReporter>(options.region, peers, m_loads, m_random))
{
    m_peers.handle(placeRequestService,
        [this](absl::string_view from, absl::string_view bytes) { handlePlaceRequest(from, bytes); });
    m_peers.handle(
        placeReplyService, [this](absl::string_view from, absl::string_view bytes) { handlePlaceReply(from, bytes); });
    m_peers.handle(placeDoneService, [this](absl::string_view, absl::string_view bytes) { handlePlaceDone(bytes); });
    m_peers.handle(
        loadService, [this](absl::string_view from, absl::string_view bytes) { handleLoadDigest(from, bytes); });
}

Dispatcher::~Dispatcher() = default;

uint64_t Dispatcher::digestBytes() const { return m_reporter->bytesSent(); }

// Admission

void Dispatcher::submit(WorkItem item, Decision decision)
{
    ++m_counts.submitted;
    if (item.arrivedAt == absl::ZeroDuration())
        item.arrivedAt = m_clock.now();
    if (auto placeable = checkPlaceable(item); !placeable)
        return decision(placeable.error());
    const std::string service = item.service;
    ServiceState& state = serviceState(service);
    QueuedRequest request = makeQueuedRequest(item, state);
    const AdmissionInput input = admissionInputFor(item, request, state);
    if (auto admissible = checkAdmissible(item, input); !admissible) {
        ++m_counts.refused;
        return decision(admissible.error());
    }
    const Instant now = m_clock.now();
    state.demand.recordAdmitted(request.isLong, request.urgency, request.expectedRun, now);
    m_deadlines.insert({ request.deadline, request.ticket });
    m_byRequest[item.requestId] = request.ticket;
    state.queue->push(request);
    auto waiting = std::make_unique<Waiting>();
    waiting->item = std::move(item);
    waiting->decision = std::move(decision);
    waiting->request = std::move(request);
    const uint64_t ticket = waiting->request.ticket;
    m_waiting[ticket] = std::move(waiting);
    // A request that needs another region is sent on arrival, while enough of its wait bound is left: at the head of
    // the queue it would be too late.
    if (input.canUseOtherRegion && input.expectedWait > input.maxWait * CrossRegionGate::closeThreshold)
        requestPeerSlot(ticket, state);
    dispatch(service);
}

Result<void> Dispatcher::checkPlaceable(const WorkItem& item) const
{
    if (!m_backEnds.hasService(item.service))
        return Error { ErrorKind::UnknownService, absl::StrCat("No back end runs the service '", item.service, "'."),
            "Check the service's name, or start back ends for it." };
    if (item.profile.whenShort == ShortageAction::Preempt && !item.profile.mayRunTwice)
        return Error { ErrorKind::InvalidProfile,
            absl::StrCat("Profile '", item.profile.name,
                "' allows preemption but not running twice, and a preempted request has to run again."),
            "Set mayRunTwice to true, or whenShort to \"wait\" or \"shed\"." };
    return success();
}

AdmissionInput Dispatcher::admissionInputFor(
    const WorkItem& item, const QueuedRequest& request, ServiceState& state) const
{
    const Instant now = m_clock.now();
    AdmissionInput input;
    input.expectedWait = estimateWait(item.service, request, state);
    input.maxWait = request.deadline - now;
    CrossRegionGate& gate = state.gates[request.isLong];
    if (input.maxWait > absl::ZeroDuration())
        gate.recordPressure(absl::FDivDuration(input.expectedWait, input.maxWait));
    input.canUseOtherRegion = gate.isOpen() && input.maxWait > minCrossRegionWait
        && m_loads.freeSlots(item.service, request.isLong, true, now) > state.queue->size();
    return input;
}

Result<void> Dispatcher::checkAdmissible(const WorkItem& item, const AdmissionInput& input) const
{
    if (m_waiting.size() >= m_maxQueued)
        return Error { ErrorKind::TooBusy,
            absl::StrCat("The queue of this entry is full: ", m_waiting.size(), " requests are waiting."),
            "Nothing was run; retry later with exponential backoff." };
    if (input.maxWait <= absl::ZeroDuration())
        return waitTimeoutError(item);
    if (m_admission->admit(item.profile, input))
        return success();
    return Error { ErrorKind::TooBusy,
        absl::StrCat("The expected wait is ", absl::FormatDuration(input.expectedWait),
            ", and the wait bound of profile '", item.profile.name, "' is ", absl::FormatDuration(item.profile.maxWait),
            "."),
        "Nothing was run; retry later with exponential backoff." };
}

QueuedRequest Dispatcher::makeQueuedRequest(const WorkItem& item, ServiceState& state)
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
    const absl::Duration previousMinWaitBound = state.demand.minWaitBound();
    request.isLong = state.demand.recordRequest(profile, estimate.typical, now);
    if (state.demand.minWaitBound() < previousMinWaitBound)
        state.reserve->reset();
    if (!request.isLong)
        state.reserve->recordShortRequest(estimate.typical, now);
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

uint32_t Dispatcher::freeLocalSlots(absl::string_view service, bool isLong, const ServiceState& state) const
{
    const SlotTotals totals = m_ledger.totals(service);
    if (!isLong)
        return totals.free;
    const uint32_t limit = state.reserve->maxLongSlots(totals.slots, m_clock.now());
    return std::min(totals.free, limit - std::min(limit, m_longRunTracker.longRuns(service)));
}

absl::Duration Dispatcher::estimateWait(
    absl::string_view service, const QueuedRequest& request, const ServiceState& state) const
{
    const Instant now = m_clock.now();
    const bool separate = m_options.policy.reserve == PolicyOptions::Reserve::Adaptive;
    const SlotTotals totals = m_ledger.totals(service);
    const uint32_t peersFree = m_loads.freeSlots(service, request.isLong, false, now);
    double slots = totals.slots;
    if (separate && request.isLong)
        slots = state.reserve->maxLongSlots(totals.slots, now);
    else if (separate)
        slots -= std::min(totals.slots, m_longRunTracker.longRuns(service));
    // An entry without local slots runs its requests on slots granted by peers. The free slots of peers are shared by
    // all entries of the region.
    slots = std::max<double>(slots, state.runsOnPeers[request.isLong]);
    slots += static_cast<double>(peersFree) / static_cast<double>(1 + m_loads.recentPeersInRegion(now));
    const double lessUrgent = slots * FairDeadlineQueue::minLessUrgentShare;
    slots -= std::min(lessUrgent, state.demand.loadBelow(request.isLong, request.urgency, now));
    slots = std::max(lessUrgent, slots - state.demand.loadAbove(request.isLong, request.urgency, now));
    const absl::Duration ahead = state.queue->workAhead(request, separate);
    const bool isFree = ahead == absl::ZeroDuration() && freeLocalSlots(service, request.isLong, state) + peersFree > 0;
    // If no slot is free, the next slot to become free has yet to finish a part of its current run.
    return expectedWait(ahead + request.expectedRun, slots, isFree);
}

// Placement

void Dispatcher::dispatch(const std::string& service)
{
    auto it = m_services.find(service);
    if (it == m_services.end())
        return;
    ServiceState& state = *it->second;
    // A decision callback may submit or finish requests, and so re-enter this function.
    state.dispatchAgain = true;
    if (state.isDispatching)
        return;
    state.isDispatching = true;
    while (state.dispatchAgain) {
        state.dispatchAgain = false;
        while (placeNext(service, state)) { }
    }
    state.isDispatching = false;
}

void Dispatcher::dispatchAll()
{
    m_ledger.invalidateIndex();
    for (const auto& [service, state] : m_services)
        dispatch(service);
}

bool Dispatcher::mayStart(absl::string_view service, bool isLong, const ServiceState& state) const
{
    const Instant now = m_clock.now();
    if (freeLocalSlots(service, isLong, state) > 0 || m_loads.anyFree(service, isLong, false, now))
        return true;
    const bool anyRegion = m_options.policy.spill != PolicyOptions::Spill::RegionFirst;
    return (anyRegion || state.gates[isLong].isOpen()) && m_loads.anyFree(service, isLong, true, now);
}

bool Dispatcher::placeNext(const std::string& service, ServiceState& state)
{
    if (state.queue->size() == 0)
        return false;
    std::array<std::optional<bool>, 2> canStart;
    const auto ticket = state.queue->next([&](bool isLong) {
        if (!canStart[isLong])
            canStart[isLong] = mayStart(service, isLong, state);
        return *canStart[isLong];
    });
    return ticket && (placeLocally(*ticket, state) || requestPeerSlot(*ticket, state));
}

bool Dispatcher::placeLocally(uint64_t ticket, ServiceState& state)
{
    const Waiting& waiting = *m_waiting[ticket];
    const WorkItem& item = waiting.item;
    if (freeLocalSlots(item.service, waiting.request.isLong, state) == 0)
        return false;
    const auto slot = m_ledger.take(item.service, item.requestId, m_self);
    if (!slot)
        return false;
    const RunEstimate estimate = m_runTimes.estimate(item.service, item.profile.name, item.profile.expectedRun);
    m_longRunTracker.begin(slot->id, item.service, waiting.request.isLong, slot->grantedAt + estimate.suspectAfter);
    state.queue->start(ticket);
    completeWithGrant(ticket,
        StartGrant { slot->id, m_self, slot->executor, slot->address, slot->epoch, slot->startBy },
        isInOtherRegion(slot->executor, m_self));
    return true;
}

std::vector<PeerCandidate> Dispatcher::candidatePeersFor(const Waiting& waiting, const ServiceState& state) const
{
    const Instant now = m_clock.now();
    const bool isLong = waiting.request.isLong;
    std::vector<PeerCandidate> peers = m_loads.candidates(waiting.item.service, isLong, false, now);
    if (m_options.policy.spill != PolicyOptions::Spill::RegionFirst) {
        const auto others = m_loads.candidates(waiting.item.service, isLong, true, now);
        peers.insert(peers.end(), others.begin(), others.end());
        return peers;
    }
    if (!peers.empty() || !state.gates[isLong].isOpen() || waiting.request.deadline - now < minCrossRegionWait)
        return peers;
    return m_loads.candidates(waiting.item.service, isLong, true, now);
}

bool Dispatcher::requestPeerSlot(uint64_t ticket, ServiceState& state)
{
    Waiting& waiting = *m_waiting[ticket];
    const std::vector<PeerCandidate> peers = candidatePeersFor(waiting, state);
    if (peers.empty())
        return false;
    const std::string& peer = peers[m_peerChoice->choose(peers, m_random)].name;
    PlaceRequest placeRequest;
    placeRequest.askId = m_placeRequestNumbers.next();
    placeRequest.requestId = waiting.item.requestId;
    placeRequest.service = waiting.item.service;
    placeRequest.profile = waiting.item.profile.name;
    placeRequest.isLong = waiting.request.isLong;
    placeRequest.expectedRunMicros = absl::ToInt64Microseconds(waiting.request.expectedRun);
    m_loads.decrementFree(peer, placeRequest.service);
    if (!m_peers.send(peer, placeRequestService, encode(placeRequest))) {
        m_loads.forget(peer);
        return false;
    }
    state.queue->start(ticket);
    waiting.placeRequestId = placeRequest.askId;
    waiting.placeRequestSentAt = m_clock.now();
    waiting.requestedPeer = peer;
    m_placeRequests[placeRequest.askId] = ticket;
    m_sentPlaceRequests.emplace_back(waiting.placeRequestSentAt, placeRequest.askId);
    return true;
}

bool Dispatcher::isInOtherRegion(absl::string_view executor, absl::string_view owner) const
{
    if (const BackEnd* backEnd = m_backEnds.find(executor))
        return !backEnd->region.empty() && backEnd->region != m_options.region;
    return owner != m_self && m_loads.region(owner) != m_options.region;
}

// Removal of waiting requests

Dispatcher::WaitingPtr Dispatcher::removeWaiting(uint64_t ticket)
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
    // The reply to a place request in flight then matches no ticket, and a granted slot is returned to its owner.
    m_placeRequests.erase(waiting->placeRequestId);
    return waiting;
}

void Dispatcher::completeWithGrant(uint64_t ticket, StartGrant grant, bool isAcrossRegions)
{
    const WaitingPtr waiting = removeWaiting(ticket);
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

void Dispatcher::rejectWaiting(uint64_t ticket, const Error& error)
{
    const WaitingPtr waiting = removeWaiting(ticket);
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
    rejectWaiting(named->second,
        Error { ErrorKind::DeadlineExceeded, "The request was cancelled while it was queued.",
            "Nothing was run; send it again if it is still needed." });
    return true;
}

void Dispatcher::expireRequests(Instant now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const uint64_t ticket = m_deadlines.begin()->second;
        ++m_counts.expired;
        rejectWaiting(ticket, waitTimeoutError(m_waiting[ticket]->item));
    }
}

void Dispatcher::expirePlaceRequests(Instant now)
{
    while (!m_sentPlaceRequests.empty() && now - m_sentPlaceRequests.front().first > placeRequestTimeout) {
        auto placeRequest = m_placeRequests.find(m_sentPlaceRequests.front().second);
        m_sentPlaceRequests.pop_front();
        if (placeRequest == m_placeRequests.end())
            continue;
        Waiting& waiting = *m_waiting[placeRequest->second];
        m_placeRequests.erase(placeRequest);
        m_loads.forget(waiting.requestedPeer);
        waiting.placeRequestId = 0;
        serviceState(waiting.item.service).queue->push(waiting.request);
    }
}

void Dispatcher::finished(const StartGrant& grant, const RunReport& report)
{
    if (report.verdict == RunVerdict::Succeeded)
        m_runTimes.recordRun(grant.service, grant.profile, std::min(report.runTime, grant.maxRun), m_clock.now());
    if (grant.owner == m_self)
        return finishLocalRun(grant.id, report);
    uint32_t& runsOnPeers = serviceState(grant.service).runsOnPeers[grant.isLong];
    runsOnPeers -= std::min(runsOnPeers, 1U);
    m_peers.send(grant.owner, placeDoneService, encode(PlaceDone { grant.id, report }));
}

void Dispatcher::finishLocalRun(uint64_t grantId, const RunReport& report)
{
    const SlotGrant* grant = m_ledger.find(grantId);
    if (!grant)
        return;
    const BackEnd* backEnd = m_backEnds.find(grant->executor);
    m_ledger.finish(grantId, report);
    if (!m_ledger.find(grantId))
        m_longRunTracker.end(grantId);
    if (backEnd)
        dispatch(backEnd->service);
}

// Peers

void Dispatcher::handlePlaceDone(absl::string_view bytes)
{
    if (auto done = decodePlaceDone(bytes))
        finishLocalRun(done.value().grantId, done.value().report);
}

void Dispatcher::handlePlaceRequest(absl::string_view from, absl::string_view bytes)
{
    auto decoded = decodePlaceRequest(bytes);
    if (!decoded)
        return;
    const PlaceRequest& placeRequest = decoded.value();
    if (!m_backEnds.hasService(placeRequest.service))
        return;
    ServiceState& state = serviceState(placeRequest.service);
    PlaceReply reply;
    reply.askId = placeRequest.askId;
    if (freeLocalSlots(placeRequest.service, placeRequest.isLong, state) > 0) {
        if (const auto grant = m_ledger.take(placeRequest.service, placeRequest.requestId, from)) {
            const auto declared = absl::Microseconds(placeRequest.expectedRunMicros);
            const RunEstimate estimate = m_runTimes.estimate(placeRequest.service, placeRequest.profile, declared);
            m_longRunTracker.begin(
                grant->id, placeRequest.service, placeRequest.isLong, grant->grantedAt + estimate.suspectAfter);
            reply.granted = true;
            reply.grantId = grant->id;
            reply.executor = grant->executor;
            reply.address = toString(grant->address);
            reply.epoch = grant->epoch;
            reply.startWithinMicros = absl::ToInt64Microseconds(grant->startBy - grant->grantedAt);
        }
    }
    reply.freeSlots = freeLocalSlots(placeRequest.service, false, state);
    reply.freeForLong = freeLocalSlots(placeRequest.service, true, state);
    m_peers.send(from, placeReplyService, encode(reply));
}

void Dispatcher::handlePlaceReply(absl::string_view from, absl::string_view bytes)
{
    auto decoded = decodePlaceReply(bytes);
    if (!decoded)
        return;
    const PlaceReply& reply = decoded.value();
    auto placeRequest = m_placeRequests.find(reply.askId);
    const uint64_t ticket = placeRequest == m_placeRequests.end() ? 0 : placeRequest->second;
    auto address = reply.granted ? parseEndpoint(reply.address) : Result<Endpoint>(Endpoint {});
    const bool isUsable
        = ticket != 0 && address && m_clock.now() - m_waiting[ticket]->placeRequestSentAt <= placeRequestTimeout;
    if (!isUsable) {
        if (reply.granted)
            m_peers.send(from, placeDoneService, encode(PlaceDone { reply.grantId, { RunVerdict::Unused, {} } }));
        return;
    }
    m_placeRequests.erase(placeRequest);
    Waiting& waiting = *m_waiting[ticket];
    waiting.placeRequestId = 0;
    const std::string service = waiting.item.service;
    m_loads.setFree(from, service, reply.freeSlots, reply.freeForLong);
    if (reply.granted) {
        const Instant startBy = waiting.placeRequestSentAt + absl::Microseconds(reply.startWithinMicros);
        completeWithGrant(ticket,
            StartGrant { reply.grantId, std::string(from), reply.executor, address.value(), reply.epoch, startBy },
            isInOtherRegion(reply.executor, from));
    } else {
        serviceState(service).queue->push(waiting.request);
    }
    dispatch(service);
}

void Dispatcher::handleLoadDigest(absl::string_view from, absl::string_view bytes)
{
    auto digest = decodeLoadDigest(bytes);
    if (!digest)
        return;
    m_loads.update(from, digest.value(), m_clock.now());
    for (const ServiceLoad& load : digest.value().services) {
        if (load.freeSlots > 0)
            dispatch(load.service);
    }
}

// Periodic work

void Dispatcher::tick(Instant now)
{
    expirePlaceRequests(now);
    expireRequests(now);
    m_longRunTracker.tick(now);
    if (now >= m_nextReconciliation) {
        m_nextReconciliation = now + reconciliationInterval;
        m_longRunTracker.reconcile(m_ledger);
    }
    for (const auto& [service, state] : m_services) {
        state->demand.tick(now);
        for (CrossRegionGate& gate : state->gates)
            gate.tick(now, state->queue->size() == 0);
        dispatch(service);
    }
    if (m_reporter->isDue(now))
        reportLoad(now);
}

void Dispatcher::reportLoad(Instant now)
{
    absl::flat_hash_set<std::string> services;
    for (const BackEnd& backEnd : m_backEnds.all()) {
        if (backEnd.kind == BackEndKind::Executor)
            services.insert(backEnd.service);
    }
    std::vector<ServiceLoad> loads;
    for (const std::string& service : services) {
        const ServiceState& state = serviceState(service);
        loads.push_back({ service, freeLocalSlots(service, false, state), freeLocalSlots(service, true, state),
            static_cast<uint32_t>(state.queue->size()) });
    }
    m_reporter->report(loads, now);
}

} // namespace cicada
