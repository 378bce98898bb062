#pragma once

/** \file
 * Matches waiting requests with free slots. The entry that received a request queues it; the slot comes from this
 * entry's own ledger or, by a grant, from a peer with a free slot. Decisions depend on the profiles, the observed run
 * times and the peers' loads; PolicyOptions selects the algorithms.
 */

#include "LongRunTracker.h"
#include "PeerBus.h"
#include "PlacementMessages.h"
#include "PolicyOptions.h"
#include "Profile.h"
#include "RequestNumbers.h"
#include "RunTimes.h"
#include "SlotLedger.h"
#include "WaitingRequests.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace cicada {

class LoadReporter;
struct ServiceState;

/** The configuration of a dispatcher. */
struct DispatcherOptions {
    /** The region of this entry. */
    std::string region;
    PolicyOptions policy;
    /** Seeds the random choices among peers. */
    uint64_t seed = 1;
};

/** Counters of the requests of one dispatcher. */
struct PlacementCounts {
    uint64_t submitted = 0;
    /** Refused on arrival: not expected to start within the wait bound, or the queue was full. */
    uint64_t refused = 0;
    uint64_t expired = 0;
    uint64_t cancelled = 0;
    uint64_t started = 0;
    /** Of the started requests, those on a peer's slot and those in another region. */
    uint64_t onPeers = 0;
    uint64_t acrossRegions = 0;
    /** Total size of the bodies sent to other regions, in bytes. */
    uint64_t bytesAcrossRegions = 0;
};

/** Queues requests and finds slots for them. Used on the decision thread only. */
class Dispatcher {
public:
    using Decision = PlacementDecision;

    /** All arguments must outlive the dispatcher. `maxQueued` bounds the number of waiting requests. */
    Dispatcher(std::string self, const BackEnds&, SlotLedger&, PeerBus&, const Clock&, size_t maxQueued,
        const DispatcherOptions& options = {});
    ~Dispatcher();

    /** Queues a request. `decision` is called once, with a grant or with the error that explains why there is none. */
    void submit(WorkItem item, Decision decision);
    /** Releases the slot of a run that ended or was never sent, and reports the run's result to the slot's owner. */
    void finished(const StartGrant& grant, const RunReport& report);
    /** Tries again to place the waiting requests, after slots were freed by something other than a finished run. */
    void dispatchAll();
    /** Removes a request from the queue and calls its decision with an error. Returns false if it is not queued. */
    bool cancel(absl::string_view requestId);
    void tick(Instant now);
    /** The number of waiting requests, including those with a place request to a peer in flight. */
    size_t queued() const { return m_waiting.size(); }
    const PlacementCounts& counts() const { return m_counts; }
    const RunTimes& runTimes() const { return m_runTimes; }
    /** The load digests sent to peers, in bytes. */
    uint64_t digestBytes() const;

    /** A place request without a reply after this time is queued again. A grant that arrives later is returned to its
     * owner. */
    static constexpr absl::Duration placeRequestTimeout = absl::Milliseconds(200);
    /** A request isn't sent to another region if less than this is left of its wait bound. */
    static constexpr absl::Duration minCrossRegionWait = absl::Milliseconds(80);

private:
    Result<void> checkPlaceable(const WorkItem& item) const;
    AdmissionInput admissionInputFor(const WorkItem& item, const QueuedRequest& request, ServiceState& state) const;
    Result<void> checkAdmissible(const WorkItem& item, const AdmissionInput& input) const;
    QueuedRequest makeQueuedRequest(const WorkItem& item, ServiceState& state);
    ServiceState& serviceState(const std::string& service);

    void dispatch(const std::string& service);
    bool placeNext(const std::string& service, ServiceState& state);
    bool placeLocally(uint64_t ticket, ServiceState& state);
    /** Notes a run that is given a slot, to find out when it has become a long one. */
    void trackRun(const SlotGrant& slot, const std::string& service, const std::string& profile,
        absl::Duration declaredRun, bool isLong);
    bool requestPeerSlot(uint64_t ticket, ServiceState& state);
    std::vector<PeerCandidate> candidatePeersFor(const WaitingRequest& waiting, const ServiceState& state) const;
    bool mayStart(absl::string_view service, bool isLong, const ServiceState& state) const;

    uint32_t freeLocalSlots(absl::string_view service, bool isLong, const ServiceState& state) const;
    absl::Duration estimateWait(
        absl::string_view service, const QueuedRequest& request, const ServiceState& state) const;

    void rejectWaiting(uint64_t ticket, const Error& error);
    void completeWithGrant(uint64_t ticket, StartGrant grant, bool isAcrossRegions);
    void expireRequests(Instant now);
    void expirePlaceRequests(Instant now);
    bool isInOtherRegion(absl::string_view executor, absl::string_view owner) const;

    void listenToPeers();
    void finishLocalRun(uint64_t grantId, const RunReport& report);
    void handleLoadDigest(absl::string_view from, absl::string_view bytes);
    void handlePlaceDone(absl::string_view bytes);
    void handlePlaceRequest(absl::string_view from, absl::string_view bytes);
    /** Takes a slot for the peer and enters it into the reply, if there is one. */
    void grantSlot(absl::string_view peer, const PlaceRequest& placeRequest, PlaceReply& reply);
    void handlePlaceReply(absl::string_view from, absl::string_view bytes);
    void reportLoad(Instant now);

    const std::string m_self;
    const DispatcherOptions m_options;
    const BackEnds& m_backEnds;
    SlotLedger& m_ledger;
    PeerBus& m_peers;
    const Clock& m_clock;
    const size_t m_maxQueued;
    std::mt19937_64 m_random;
    const std::unique_ptr<Admission> m_admission;
    const std::unique_ptr<PeerChoice> m_peerChoice;
    RunTimes m_runTimes;
    LongRunTracker m_longRunTracker;
    PeerLoads m_loads;
    std::unique_ptr<LoadReporter> m_reporter;
    /** A map with stable iterators, because a decision callback may submit a request for a new service during
     * iteration. */
    std::map<std::string, std::unique_ptr<ServiceState>> m_services;
    WaitingRequests m_waiting;
    uint64_t m_nextTicket = 1;
    RequestNumbers m_placeRequestNumbers;
    Instant m_nextReconciliation = absl::ZeroDuration();
    PlacementCounts m_counts;
};

} // namespace cicada
