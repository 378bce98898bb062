#pragma once

/** \file
 * The home of the ids in the claim partitions that this entry owns. It grants an id to one attempt at a time, and only
 * once the claim is in the store. docs/design/claims.md describes the protocol and why it is safe.
 */

#include "ClaimsMessages.h"
#include "Journal.h"
#include "Ownership.h"
#include "PeerBus.h"
#include "Store.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include <string>
#include <vector>

namespace cicada {

/** The claim partition of an id. */
uint32_t claimPartition(absl::string_view id);

/** Grants claims. Used on the decision thread only. */
class ClaimsHome {
public:
    /** All arguments must outlive the home. A claim is kept for `retention`. */
    ClaimsHome(Store&, Journal&, Ownership&, const Clock&, absl::Duration retention);

    /** Called with the claimer's name and the reply, immediately or once the claim is stored. */
    using ReplyCallback = absl::AnyInvocable<void(const std::string& claimer, const ClaimReply&)>;
    void onReply(ReplyCallback reply) { m_reply = std::move(reply); }

    void handleRequest(const std::string& claimer, const ClaimRequest& request);
    void tick(Instant now);
    /** The number of claims in memory. */
    size_t size() const;

    /** Added to the claimer's lease to allow for clock drift between two entries and for rounding. */
    static constexpr double clockMargin = 0.05;
    static constexpr absl::Duration roundingMargin = absl::Milliseconds(20);
    static constexpr absl::Duration retryDelay = absl::Milliseconds(300);
    static constexpr absl::Duration purgeInterval = absl::Seconds(5);

private:
    struct Claim {
        ClaimRecord record;
        bool stored = false;
        /** When this home first recorded or read the claim; a claim read from the store may be older. */
        Instant knownSince;
        bool readFromStore = false;
        /** Start of the claimer's current lease for sending starts. */
        Instant extendedAt;
    };
    struct Partition {
        uint64_t epoch = 0;
        /** True once all earlier claims have been read from the store. */
        bool ready = false;
        absl::flat_hash_map<std::string, Claim> claims;
    };
    /** A journal segment of another entry, as it was when first seen. */
    struct SeenSegment {
        uint64_t index = 0;
        Instant seenAt;
    };

    /** The partition if this entry may serve it now, or null. */
    Partition* servablePartition(uint32_t partition);
    /** Called when the claimer has reported that the attempt is still active. */
    void extend(Claim&);
    void record(Partition&, const std::string& claimer, const ClaimRequest&, uint32_t version);
    void stored(uint32_t partition, const ClaimRecord&, int64_t stamp);
    void replyHeld(const Claim&, const std::string& claimer, const ClaimRequest&);
    void startRecovery();
    void recover(const std::vector<StoreEntry>& entries, const std::vector<uint32_t>& partitions);
    void trackSegments(const std::vector<StoreEntry>& entries);
    void removeExpiredSegments(Instant now);
    void removeExpiredClaims(Instant now);

    Store& m_store;
    Journal& m_journal;
    Ownership& m_ownership;
    const Clock& m_clock;
    const absl::Duration m_retention;
    ReplyCallback m_reply;
    absl::btree_map<uint32_t, Partition> m_partitions;
    absl::btree_map<std::string, SeenSegment> m_seenSegments;
    bool m_recovering = false;
    Instant m_nextRecovery = absl::ZeroDuration();
    Instant m_nextPurge = absl::ZeroDuration();
};

} // namespace cicada
