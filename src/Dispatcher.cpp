#include "Dispatcher.h"

#include "LoadReporter.h"
#include "ServiceState.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration reconciliationInterval = absl::Seconds(1);

    Error waitTimeoutError(const WorkItem& item)
    {
        return { ErrorKind::DeadlineExceeded,
            absl::StrCat("No slot became free within the ", absl::FormatDuration(item.profile.maxWait),
                " wait bound of profile '", item.profile.name, "'."),
            "Nothing was run; retry later, or raise maxWaitMs in the profile." };
    }

} // namespace

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
    listenToPeers();
}

Dispatcher::~Dispatcher() = default;

uint64_t Dispatcher::digestBytes() const { return m_reporter->bytesSent(); }

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
    state.queue->push(request);
    auto waiting = std::make_unique<WaitingRequest>();
    waiting->item = std::move(item);
    waiting->decision = std::move(decision);
    waiting->request = std::move(request);
    const uint64_t ticket = waiting->request.ticket;
    m_waiting.add(std::move(waiting));
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

ServiceState& Dispatcher::serviceState(const std::string& service)
{
    auto& state = m_services[service];
    if (!state) {
        state = std::make_unique<ServiceState>();
        state->queue = makeRequestQueue(m_options.policy);
        state->reserve = makeSlotReserve(m_options.policy);
    }
    return *state;
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

void Dispatcher::rejectWaiting(uint64_t ticket, const Error& error)
{
    const std::unique_ptr<WaitingRequest> waiting = m_waiting.remove(ticket);
    if (!waiting)
        return;
    serviceState(waiting->item.service).queue->remove(ticket);
    waiting->decision(error);
}

bool Dispatcher::cancel(absl::string_view requestId)
{
    const auto ticket = m_waiting.ticketOf(requestId);
    if (!ticket)
        return false;
    ++m_counts.cancelled;
    rejectWaiting(*ticket,
        Error { ErrorKind::DeadlineExceeded, "The request was cancelled while it was queued.",
            "Nothing was run; send it again if it is still needed." });
    return true;
}

void Dispatcher::expireRequests(Instant now)
{
    while (const auto ticket = m_waiting.nextExpired(now)) {
        ++m_counts.expired;
        rejectWaiting(*ticket, waitTimeoutError(m_waiting.at(*ticket).item));
    }
}

void Dispatcher::expirePlaceRequests(Instant now)
{
    while (const WaitingRequest* waiting = m_waiting.endOverduePlaceRequest(now, placeRequestTimeout)) {
        m_loads.forget(waiting->requestedPeer);
        serviceState(waiting->item.service).queue->push(waiting->request);
    }
}

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

} // namespace cicada
