#pragma once

/** \file
 * The claimer's side of ids that must not run twice: asks the id's home for leave, keeps it while the request waits,
 * and tells other entries what became of this entry's attempts.
 */

#include "ClaimsHome.h"
#include "ClaimsMessages.h"
#include "Ownership.h"
#include "PeerBus.h"
#include "Settings.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include <deque>
#include <memory>
#include <string>

namespace cicada {

/** Another attempt that holds the id. Instants are on this entry's clock. */
struct HeldClaim {
    std::string holder;
    uint64_t token = 0;
    uint32_t version = 0;
    /** After this the holder sends no more starts. */
    Instant mayStartUntil = absl::ZeroDuration();
    /** The attempt began after this. */
    Instant beganAfter = absl::ZeroDuration();
};

/** What came of asking for a claim. */
struct ClaimResult {
    enum class Kind {
        /** This entry may run the id, and nobody else. */
        Granted,
        /** See `held`. */
        Held,
        /** The id stands for another request. */
        Mismatch,
        /** No earlier attempt may run, but the claim could not be stored in time. */
        NotStored,
        /** The home could not be asked in time; nothing is known. */
        Unreachable,
    };
    Kind kind = Kind::Unreachable;
    uint64_t token = 0;
    uint32_t version = 0;
    HeldClaim held;
};

/** Where an attempt of some entry stands. */
struct Location {
    AttemptPhase phase = AttemptPhase::Unknown;
    Endpoint address;
};

/** What a claim is wanted for. */
struct ClaimSpec {
    std::string id;
    uint64_t fingerprint = 0;
    uint64_t supersedes = 0;
    /** On this entry's clock. */
    Instant deadline = absl::ZeroDuration();
    /** How long the request may wait; bounds the leave to send starts. */
    absl::Duration maxWait;
};

/** Claims ids and answers for them. Used on the decision thread only. */
class ClaimsClient {
public:
    using ClaimCallback = absl::AnyInvocable<void(const ClaimResult&)>;
    using LocateCallback = absl::AnyInvocable<void(const Location&)>;

    /** `incarnation` makes this process's tokens unlike those of all others. All other arguments must outlive the
     * client. Ended attempts are remembered for `retention`. */
    ClaimsClient(std::string self, uint64_t incarnation, ClaimsHome&, PeerBus&, Ownership&, const Clock&,
        absl::Duration retention);
    ~ClaimsClient();

    /** Asks until there is an answer or the wish's time is up. `callback` is called once. */
    void claim(ClaimSpec spec, ClaimCallback callback);
    /** Until when starts of this attempt may be sent. */
    Instant startUntil(uint64_t token) const;
    /** A start of the attempt is about to be sent to `address`. */
    void placed(uint64_t token, const Endpoint& address);
    /** The start was surely not carried out; the attempt may be placed again. */
    void notStarted(uint64_t token);
    /** The attempt ended without a run: it is closed for good. */
    void closed(uint64_t token);
    /** The attempt ended, and its run is known to the executor that it was placed on. */
    void ended(uint64_t token);
    /** Asks the holder of an attempt what became of it. */
    void locate(const std::string& id, const HeldClaim& held, LocateCallback callback);
    void tick(Instant now);

    /** For how long after an ask starts may be sent; renewed while the attempt waits. */
    static constexpr absl::Duration startLease = absl::Seconds(2);
    static constexpr absl::Duration extendInterval = absl::Milliseconds(600);
    static constexpr absl::Duration resendInterval = absl::Milliseconds(200);
    /** How long the home's word counts that no earlier attempt may run; shorter than a change of home takes. */
    static constexpr absl::Duration noEarlierAttemptValidity = absl::Milliseconds(600);
    static constexpr absl::Duration locateTimeout = absl::Milliseconds(500);

private:
    struct Attempt {
        ClaimRequest request;
        /** Null once called. */
        ClaimCallback callback;
        Instant deadline;
        Instant lastSentAt;
        /** Counts from the sending of the latest ask that the home took. */
        Instant startUntil;
        bool granted = false;
        /** When the home last said that no earlier attempt may run, counted from the ask's sending. */
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
    uint64_t m_nextLocateId = 1;
    absl::flat_hash_map<uint64_t, std::unique_ptr<Attempt>> m_attempts;
    absl::btree_set<uint64_t> m_live;
    /** Ended attempts, oldest first. */
    std::deque<std::pair<Instant, uint64_t>> m_ended;
    absl::btree_map<uint64_t, PendingLocate> m_pendingLocates;
};

} // namespace cicada
