#pragma once

/** \file
 * Messages between entries about ids that must not run twice, and the format in which claims are stored. The messages
 * are a few dozen bytes; request bodies are never sent between entries.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <string>
#include <vector>

namespace cicada {

/** One attempt to run an id, as the store keeps it. */
struct ClaimRecord {
    std::string id;
    /** 1 for the first attempt; incremented for each attempt that replaces one that definitely did not run. */
    uint32_t version = 1;
    /** Identifies the attempt; chosen by the claimer. */
    uint64_t token = 0;
    /** The entry that may start it. */
    std::string claimer;
    /** A hash of the request that the id identifies: service and profile. */
    uint64_t fingerprint = 0;
    /** For how long after its request the claimer may send starts. */
    uint32_t startWithinMs = 0;
    /** The home's epoch when it recorded the claim. */
    uint64_t epoch = 0;
};

/** Request for the right to run an id. Repeated until a reply arrives. */
struct ClaimRequest {
    std::string id;
    uint64_t token = 0;
    uint64_t fingerprint = 0;
    uint32_t startWithinMs = 0;
    /** The token of the attempt that definitely did not run and is replaced by this one; 0 for none. */
    uint64_t supersedes = 0;
    /** Returned unchanged in the reply; opaque to all but the claimer. */
    int64_t stamp = 0;
};

/** The home's decision on a claim request. */
enum class ClaimStatus : uint8_t {
    /** The claim is in the store. */
    Granted,
    /** No earlier attempt may run; the claim is not in the store yet. */
    Pending,
    /** Another attempt holds the id. */
    Held,
    /** The id was claimed for a different request. */
    Mismatch,
    /** This entry is not the home of the id, or has not read its claims from the store yet. */
    NotHome,
};

/** The home's reply. `holder`, `holderToken`, `mayStartForMs` and `maxAgeMs` describe the attempt that holds the id. */
struct ClaimReply {
    std::string id;
    uint64_t token = 0;
    ClaimStatus status = ClaimStatus::NotHome;
    uint32_t version = 0;
    std::string holder;
    uint64_t holderToken = 0;
    /** The maximum time for which the holder may still send starts. */
    uint32_t mayStartForMs = 0;
    /** The maximum age of the holder's claim. */
    uint32_t maxAgeMs = 0;
    /** The stamp of the request, from which the claimer's lease for sending starts is counted. */
    int64_t stamp = 0;
};

/** Request for the phase of an attempt, sent to the entry that holds it. */
struct LocateRequest {
    uint64_t locateId = 0;
    std::string id;
    uint64_t token = 0;
};

/** The phase of an attempt. */
enum class AttemptPhase : uint8_t {
    /** Not started yet. */
    Waiting,
    /** Sent to the executor at `address`. */
    Placed,
    /** Definitely did not run and will not. */
    Closed,
    /** The queried entry has no record of it, or no longer has one. */
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
