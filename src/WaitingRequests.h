#pragma once

/** \file
 * The requests that wait at this entry for a slot: by ticket, by id and by deadline, with the place requests to peers
 * that are in flight for them.
 */

#include "Error.h"
#include "Profile.h"
#include "RequestQueue.h"
#include "StartGrant.h"

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cicada {

/** The parts of a request that its placement depends on. */
struct WorkItem {
    std::string requestId;
    std::string service;
    Profile profile;
    /** The size of the body, which is what sending the request to another region costs. */
    uint64_t bodyBytes = 0;
    /** Arrival time. The wait bound counts from here even if the request is placed again; zero means now. */
    Instant arrivedAt = absl::ZeroDuration();
};

/** Called once, with a grant or with the error that explains why there is none. */
using PlacementDecision = absl::AnyInvocable<void(Result<StartGrant>)>;

/** A request that waits for a slot. */
struct WaitingRequest {
    WorkItem item;
    PlacementDecision decision;
    QueuedRequest request;
    /** The id of the place request in flight to a peer, or 0. */
    uint64_t placeRequestId = 0;
    Instant placeRequestSentAt;
    std::string requestedPeer;
};

/** The waiting requests of all services. Used on the decision thread only. */
class WaitingRequests {
public:
    size_t size() const { return m_waiting.size(); }
    void add(std::unique_ptr<WaitingRequest> waiting);
    /** The request with this ticket, which must be waiting. */
    WaitingRequest& at(uint64_t ticket) { return *m_waiting.at(ticket); }
    std::optional<uint64_t> ticketOf(absl::string_view requestId) const;
    /** A request whose deadline has passed. */
    std::optional<uint64_t> nextExpired(Instant now) const;
    /** Null if no request with this ticket is waiting. */
    std::unique_ptr<WaitingRequest> remove(uint64_t ticket);

    void notePlaceRequest(uint64_t ticket, uint64_t placeRequestId, const std::string& peer, Instant now);
    /** The request for which this place request is in flight, or null. */
    WaitingRequest* withPlaceRequest(uint64_t placeRequestId);
    void endPlaceRequest(WaitingRequest& waiting);
    /** Ends a place request that was sent longer than `timeout` ago; null if there is none. */
    WaitingRequest* endOverduePlaceRequest(Instant now, absl::Duration timeout);

private:
    absl::flat_hash_map<uint64_t, std::unique_ptr<WaitingRequest>> m_waiting;
    absl::flat_hash_map<std::string, uint64_t> m_byRequest;
    absl::btree_set<std::pair<Instant, uint64_t>> m_deadlines;
    /** Tickets by place request id, and the place requests in the order in which they were sent. */
    absl::flat_hash_map<uint64_t, uint64_t> m_placeRequests;
    std::deque<std::pair<Instant, uint64_t>> m_sentPlaceRequests;
};

} // namespace cicada
