/** \file
 * The part of Dispatcher that talks to peers: requests for slots and the replies, the ends of runs on granted slots,
 * and the loads.
 */

#include "Dispatcher.h"

#include "LoadReporter.h"
#include "ServiceState.h"

#include "absl/container/flat_hash_set.h"

#include <algorithm>

namespace cicada {

void Dispatcher::listenToPeers()
{
    m_peers.handle(placeRequestService,
        [this](absl::string_view from, absl::string_view bytes) { handlePlaceRequest(from, bytes); });
    m_peers.handle(
        placeReplyService, [this](absl::string_view from, absl::string_view bytes) { handlePlaceReply(from, bytes); });
    m_peers.handle(placeDoneService, [this](absl::string_view, absl::string_view bytes) { handlePlaceDone(bytes); });
    m_peers.handle(
        loadService, [this](absl::string_view from, absl::string_view bytes) { handleLoadDigest(from, bytes); });
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
    const ServiceState& state = serviceState(placeRequest.service);
    PlaceReply reply;
    reply.askId = placeRequest.askId;
    if (freeLocalSlots(placeRequest.service, placeRequest.isLong, state) > 0)
        grantSlot(from, placeRequest, reply);
    reply.freeSlots = freeLocalSlots(placeRequest.service, false, state);
    reply.freeForLong = freeLocalSlots(placeRequest.service, true, state);
    m_peers.send(from, placeReplyService, encode(reply));
}

void Dispatcher::grantSlot(absl::string_view peer, const PlaceRequest& placeRequest, PlaceReply& reply)
{
    const auto slot = m_ledger.take(placeRequest.service, placeRequest.requestId, peer);
    if (!slot)
        return;
    trackRun(*slot, placeRequest.service, placeRequest.profile, absl::Microseconds(placeRequest.expectedRunMicros),
        placeRequest.isLong);
    reply.granted = true;
    reply.grantId = slot->id;
    reply.executor = slot->executor;
    reply.address = toString(slot->address);
    reply.epoch = slot->epoch;
    reply.startWithinMicros = absl::ToInt64Microseconds(slot->startBy - slot->grantedAt);
}

void Dispatcher::handlePlaceReply(absl::string_view from, absl::string_view bytes)
{
    auto decoded = decodePlaceReply(bytes);
    if (!decoded)
        return;
    const PlaceReply& reply = decoded.value();
    WaitingRequest* waiting = m_waiting.withPlaceRequest(reply.askId);
    auto address = reply.granted ? parseEndpoint(reply.address) : Result<Endpoint>(Endpoint {});
    const bool isUsable = waiting && address && m_clock.now() - waiting->placeRequestSentAt <= placeRequestTimeout;
    if (!isUsable) {
        if (reply.granted)
            m_peers.send(from, placeDoneService, encode(PlaceDone { reply.grantId, { RunVerdict::Unused, {} } }));
        return;
    }
    m_waiting.endPlaceRequest(*waiting);
    const std::string service = waiting->item.service;
    m_loads.setFree(from, service, reply.freeSlots, reply.freeForLong);
    if (reply.granted) {
        const Instant startBy = waiting->placeRequestSentAt + absl::Microseconds(reply.startWithinMicros);
        completeWithGrant(waiting->request.ticket,
            StartGrant { reply.grantId, std::string(from), reply.executor, address.value(), reply.epoch, startBy },
            isInOtherRegion(reply.executor, from));
    } else {
        serviceState(service).queue->push(waiting->request);
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
