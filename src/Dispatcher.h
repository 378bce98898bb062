#pragma once

/** \file
 * Where waiting requests are matched with free slots. The entry that took a request queues it; a slot comes from
 * this entry's own ledger or, by a grant, from a peer that has one free.
 */

#include "PeerBus.h"
#include "PlacementMessages.h"
#include "Profile.h"
#include "SlotLedger.h"

#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"

#include <deque>
#include <memory>
#include <string>

namespace cicada {

/** A request as far as its placement goes. */
struct WorkItem {
    std::string requestId;
    std::string service;
    Profile profile;
};

/** Leave to send one start, once. */
struct StartGrant {
    uint64_t id = 0;
    /** The entry whose ledger holds the slot. */
    std::string owner;
    std::string executor;
    Endpoint address;
    uint64_t epoch = 0;
    /** On this process's clock; after it the start must not be sent. */
    Instant startBy = absl::ZeroDuration();
};

/** Queues requests and finds slots for them. Used on the decision thread only. */
class Dispatcher {
public:
    using Decision = absl::AnyInvocable<void(Result<StartGrant>)>;

    /** All arguments must outlive the dispatcher. `maxQueued` bounds the requests that wait. */
    Dispatcher(std::string self, const BackEnds&, SlotLedger&, PeerBus&, const Clock&, size_t maxQueued);
    ~Dispatcher();

    /** Queues a request. `decision` is called once: with a grant, or with the reason why there is none. */
    void submit(WorkItem item, Decision decision);
    /** Gives back a slot whose run ended or was never sent, and tells the owner how it went. */
    void finished(const StartGrant& grant, const RunReport& report);
    /** Looks for slots again, after something else than a finished run freed some. */
    void pumpAll();
    /** Takes a request out of the queue; its decision is called with an error. False when it is not queued. */
    bool cancel(absl::string_view requestId);
    void tick(Instant now);
    size_t queued() const { return m_queued; }

    static constexpr absl::Duration digestInterval = absl::Milliseconds(250);
    static constexpr absl::Duration askTimeout = absl::Milliseconds(200);

private:
    struct Waiting;
    struct Queue;
    /** What a peer said it could take, and when. */
    struct PeerLoad {
        Instant receivedAt;
        absl::flat_hash_map<std::string, uint32_t> freeSlots;
    };

    void pump(absl::string_view service);
    bool placeLocally(Waiting& waiting);
    bool askPeer(Waiting& waiting);
    void expire(Queue& queue, Instant now);
    void handleDigest(absl::string_view from, absl::string_view bytes);
    void handleDone(absl::string_view bytes);
    void settleSlot(uint64_t grantId, const RunReport& report);
    void handleAsk(absl::string_view from, absl::string_view bytes);
    void handleReply(absl::string_view from, absl::string_view bytes);
    void sendDigest();

    const std::string m_self;
    const BackEnds& m_backEnds;
    SlotLedger& m_ledger;
    PeerBus& m_peers;
    const Clock& m_clock;
    const size_t m_maxQueued;
    size_t m_queued = 0;
    absl::flat_hash_map<std::string, std::unique_ptr<Queue>> m_queues;
    absl::flat_hash_map<std::string, PeerLoad> m_peerLoads;
    absl::flat_hash_map<uint64_t, std::shared_ptr<Waiting>> m_asks;
    uint64_t m_nextAsk = 1;
    Instant m_nextDigest = absl::ZeroDuration();
};

} // namespace cicada
