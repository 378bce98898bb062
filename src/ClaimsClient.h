#pragma once

/** \file
 * The claimer's side of the claim protocol, for request ids that must not run twice: requests a claim from the home of
 * the id, renews it while the request waits, and reports the state of this entry's attempts to other entries.
 */

#include "ClaimsHome.h"
#include "ClaimsMessages.h"
#include "Ownership.h"
#include "PeerBus.h"
#include "RequestNumbers.h"
#include "Settings.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include <deque>
#include <memory>
#include <string>

namespace cicada {

/** Another attempt that holds the claim on the id. Instants are on this entry's clock. */
struct HeldClaim {
    std::string holder;
    uint64_t token = 0;
    uint32_t version = 0;
    /** After this the holder sends no more starts. */
    Instant mayStartUntil = absl::ZeroDuration();
    /** A lower bound on when the attempt began. */
    Instant beganAfter = absl::ZeroDuration();
};

/** The outcome of a request for a claim. */
struct ClaimResult {
    enum class Kind {
        /** This entry, and no other, may run the id. */
        Granted,
        /** Another attempt holds the id; see `held`. */
        Held,
        /** The id was claimed for a different request. */
        Mismatch,
        /** No earlier attempt may run, but the claim could not be stored in time. */
        NotStored,
        /** The home did not reply in time; nothing is known. */
        Unreachable,
    };
    Kind kind = Kind::Unreachable;
    uint64_t token = 0;
    uint32_t version = 0;
    HeldClaim held;
};

/** The phase of an attempt, and the executor that it was placed on. */
struct Location {
    AttemptPhase phase = AttemptPhase::Unknown;
    Endpoint address;
};

/** The parameters of a claim. */
struct ClaimSpec {
    std::string id;
    uint64_t fingerprint = 0;
    uint64_t supersedes = 0;
    /** On this entry's clock. */
    Instant deadline = absl::ZeroDuration();
    /** How long the request may wait; bounds the lease for sending starts. */
    absl::Duration maxWait;
};

/** Claims ids and reports on the attempts. Used on the decision thread only. */
class ClaimsClient {
public:
    using ClaimCallback = absl::AnyInvocable<void(const ClaimResult&)>;
    using LocateCallback = absl::AnyInvocable<void(const Location&)>;

    /** `incarnation` makes the tokens of this process distinct from those of all others. All other arguments must
     * outlive the client. Ended attempts are kept for `retention`. */
    ClaimsClient(std::string self, uint64_t incarnation, ClaimsHome&, PeerBus&, Ownership&, const Clock&,
        absl::Duration retention);
    ~ClaimsClient();

    /** Repeats the request until it is decided or the deadline of `spec` has passed. `callback` is called once. */
    void claim(ClaimSpec spec, ClaimCallback callback);
    /** Until when starts of this attempt may be sent. */
    Instant startUntil(uint64_t token) const;
    /** Records that a start of the attempt is about to be sent to `address`. */
    void placed(uint64_t token, const Endpoint& address);
    /** Records that the start was definitely not carried out; the attempt may be placed again. */
    void notStarted(uint64_t token);
    /** Records that the attempt ended without a run; it is closed permanently. */
    void closed(uint64_t token);
    /** Records that the attempt ended and that the executor it was placed on has a record of the run. */
    void ended(uint64_t token);
    /** Requests the phase of an attempt from the entry that holds it. */
    void locate(const std::string& id, const HeldClaim& held, LocateCallback callback);
    void tick(Instant now);

    /** For how long after a claim request starts may be sent; renewed while the attempt waits. */
    static constexpr absl::Duration startLease = absl::Seconds(2);
    static constexpr absl::Duration extendInterval = absl::Milliseconds(600);
    static constexpr absl::Duration resendInterval = absl::Milliseconds(200);
    /** How long the home's statement that no earlier attempt may run is relied on. Must be shorter than the time that
     * a change of home takes. */
    static constexpr absl::Duration noEarlierAttemptValidity = absl::Milliseconds(600);
    static constexpr absl::Duration locateTimeout = absl::Milliseconds(500);

private:
    struct Attempt {
        ClaimRequest request;
        /** Null once called. */
        ClaimCallback callback;
        Instant deadline;
        Instant lastSentAt;
        /** Counted from when the latest request that the home accepted was sent. */
        Instant startUntil;
        bool granted = false;
        /** When the latest request was sent to which the home replied that no earlier attempt may run. */
        Instant noEarlierAttemptAt = -absl::InfiniteDuration();
        AttemptPhase phase = AttemptPhase::Waiting;
        Endpoint address;
        bool isEnded = false;
    };
    struct PendingLocate {
        LocateCallback callback;
        Instant deadline;
    };

    void sendRequest(Attempt&);
    void extend(Attempt&, const ClaimReply&);
    void handleReply(const ClaimReply&);
    void decide(Attempt&, const ClaimResult&);
    Location locateLocally(uint64_t token) const;
    void handleLocate(absl::string_view from, absl::string_view bytes);
    void handleLocated(absl::string_view bytes);
    absl::Duration resendIntervalOf(const Attempt&) const;
    void tickAttempt(Attempt&, Instant now);
    void removeExpiredAttempts(Instant now);
    void expireLocates(Instant now);
    void end(uint64_t token, AttemptPhase phase);

    const std::string m_self;
    ClaimsHome& m_home;
    PeerBus& m_peers;
    Ownership& m_ownership;
    const Clock& m_clock;
    const absl::Duration m_retention;
    uint64_t m_nextToken;
    RequestNumbers m_locateNumbers;
    absl::flat_hash_map<uint64_t, std::unique_ptr<Attempt>> m_attempts;
    absl::btree_set<uint64_t> m_live;
    /** Ended attempts, oldest first. */
    std::deque<std::pair<Instant, uint64_t>> m_ended;
    absl::btree_map<uint64_t, PendingLocate> m_pendingLocates;
};

} // namespace cicada
