/** \file
 * The part of Dispatcher that finds slots for the waiting requests: here, on a peer's slot or in another region.
 */

#include "Dispatcher.h"

#include "ServiceState.h"

#include <algorithm>
#include <array>
#include <optional>

namespace cicada {

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
    const WaitingRequest& waiting = m_waiting.at(ticket);
    const WorkItem& item = waiting.item;
    if (freeLocalSlots(item.service, waiting.request.isLong, state) == 0)
        return false;
    const auto slot = m_ledger.take(item.service, item.requestId, m_self);
    if (!slot)
        return false;
    trackRun(*slot, item.service, item.profile.name, item.profile.expectedRun, waiting.request.isLong);
    state.queue->start(ticket);
    completeWithGrant(ticket,
        StartGrant { slot->id, m_self, slot->executor, slot->address, slot->epoch, slot->startBy },
        isInOtherRegion(slot->executor, m_self));
    return true;
}

void Dispatcher::trackRun(const SlotGrant& slot, const std::string& service, const std::string& profile,
    absl::Duration declaredRun, bool isLong)
{
    const RunEstimate estimate = m_runTimes.estimate(service, profile, declaredRun);
    m_longRunTracker.begin(slot.id, service, isLong, slot.grantedAt + estimate.suspectAfter);
}

std::vector<PeerCandidate> Dispatcher::candidatePeersFor(const WaitingRequest& waiting, const ServiceState& state) const
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
    const WaitingRequest& waiting = m_waiting.at(ticket);
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
    m_waiting.notePlaceRequest(ticket, placeRequest.askId, peer, m_clock.now());
    return true;
}

bool Dispatcher::isInOtherRegion(absl::string_view executor, absl::string_view owner) const
{
    if (const BackEnd* backEnd = m_backEnds.find(executor))
        return !backEnd->region.empty() && backEnd->region != m_options.region;
    return owner != m_self && m_loads.region(owner) != m_options.region;
}

uint32_t Dispatcher::freeLocalSlots(absl::string_view service, bool isLong, const ServiceState& state) const
{
    const SlotTotals totals = m_ledger.totals(service);
    if (!isLong)
        return totals.free;
    const uint32_t limit = state.reserve->maxLongSlots(totals.slots, m_clock.now());
    return std::min(totals.free, limit - std::min(limit, m_longRunTracker.longRuns(service)));
}

void Dispatcher::completeWithGrant(uint64_t ticket, StartGrant grant, bool isAcrossRegions)
{
    const std::unique_ptr<WaitingRequest> waiting = m_waiting.remove(ticket);
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

} // namespace cicada
