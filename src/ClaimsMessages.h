#pragma once

/** \file
 * What entries say to each other about ids that must not run twice, and the form in which claims are stored. The
 * messages are a few dozen bytes; bodies never travel between entries.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <string>
#include <vector>

namespace cicada {

/** One attempt to run an id, as the store keeps it. */
struct ClaimRecord {
    std::string id;
    /** 1 for the first attempt; a later one follows when the one before it surely did not run. */
    uint32_t version = 1;
    /** Names the attempt; chosen by the claimer. */
    uint64_t token = 0;
    /** The entry that may start it. */
    std::string claimer;
    /** A hash of what the id stands for: service and profile. */
    uint64_t fingerprint = 0;
    /** For how long after its ask the claimer may send starts. */
    uint32_t startWithinMs = 0;
    /** The home's epoch when it recorded the claim. */
    uint64_t epoch = 0;
};

/** "May I run this id?" Sent again until it is answered. */
struct ClaimRequest {
    std::string id;
    uint64_t token = 0;
    uint64_t fingerprint = 0;
    uint32_t startWithinMs = 0;
    /** The attempt that surely did not run and is replaced by this one; 0 for none. */
    uint64_t supersedes = 0;
    /** Comes back in the reply; means nothing to anyone but the claimer. */
    int64_t stamp = 0;
};

/** What the home makes of an ask. */
enum class ClaimStatus : uint8_t {
    /** The claim is in the store. */
    Granted,
    /** No earlier attempt may run; the claim is not in the store yet. */
    Pending,
    /** Another attempt holds the id. */
    Held,
    /** The id stands for another request. */
    Mismatch,
    /** This entry is not the id's home, or does not know its claims yet. */
    NotHome,
};

/** The home's reply. `holder` and what follows describe the attempt that holds the id. */
struct ClaimReply {
    std::string id;
    uint64_t token = 0;
    ClaimStatus status = ClaimStatus::NotHome;
    uint32_t version = 0;
    std::string holder;
    uint64_t holderToken = 0;
    /** How long the holder may at most go on to send starts. */
    uint32_t mayStartForMs = 0;
    /** How old the holder's claim may at most be. */
    uint32_t maxAgeMs = 0;
    /** The ask's stamp: the holder's time to send starts counts from it. */
    int64_t stamp = 0;
};

/** "What became of this attempt of yours?" */
struct LocateRequest {
    uint64_t locateId = 0;
    std::string id;
    uint64_t token = 0;
};

/** How far an attempt got. */
enum class AttemptPhase : uint8_t {
    /** Not started yet. */
    Waiting,
    /** Sent to the executor at `address`. */
    Placed,
    /** It surely did not run and will not. */
    Closed,
    /** The asked entry does not know it (any more). */
    Unknown,
};

struct LocateReply {
    uint64_t locateId = 0;
    AttemptPhase phase = AttemptPhase::Unknown;
    std::string address;
};

std::string encode(const ClaimRequest&);
std::string encode(const ClaimReply&);
std::string encode(const LocateRequest&);
std::string encode(const LocateReply&);
Result<ClaimRequest> decodeClaimRequest(absl::string_view bytes);
Result<ClaimReply> decodeClaimReply(absl::string_view bytes);
Result<LocateRequest> decodeLocateRequest(absl::string_view bytes);
Result<LocateReply> decodeLocateReply(absl::string_view bytes);

/** A group of claims as one value in the store. */
std::string encodeClaims(const std::vector<ClaimRecord>&);
Result<std::vector<ClaimRecord>> decodeClaims(absl::string_view bytes);

} // namespace cicada
