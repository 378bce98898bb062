#pragma once

/** \file
 * Messages between entries to place requests. Bodies never travel between entries: the entry that took the
 * request sends it to the executor itself, under a grant from the executor's owner.
 */

#include "Error.h"
#include "RunReport.h"
#include "Settings.h"

#include "absl/strings/string_view.h"

#include <string>
#include <vector>

namespace cicada {

/** "May I start this request on one of your executors?" */
struct PlaceRequest {
    uint64_t askId = 0;
    std::string requestId;
    std::string service;
    std::string profile;
    /** Whether the sender knows the work to be long, so that it must keep off the owner's reserve. */
    bool isLong = false;
    /** What a run is expected to take. */
    int64_t expectedRunMicros = 0;
};

/** The owner's reply. When granted, the start may be sent within `startWithinMicros` of the ask being sent. */
struct PlaceReply {
    uint64_t askId = 0;
    bool granted = false;
    uint64_t grantId = 0;
    std::string executor;
    std::string address;
    uint64_t epoch = 0;
    int64_t startWithinMicros = 0;
    /** What is left at the owner. */
    uint32_t freeSlots = 0;
    uint32_t freeForLong = 0;
};

/** "The run under this grant has ended, or was never started and never will be." */
struct PlaceDone {
    uint64_t grantId = 0;
    RunReport report;
};

/** Free slots and queued requests of one service at the sender. */
struct ServiceLoad {
    std::string service;
    uint32_t freeSlots = 0;
    /** Those of the free slots that long work may take. */
    uint32_t freeForLong = 0;
    uint32_t queued = 0;
};

/** What the sender could take now. */
struct LoadDigest {
    /** Where the sender is. */
    std::string region;
    /** Whether services that are not named have nothing free; otherwise they are as said before. */
    bool isWhole = true;
    std::vector<ServiceLoad> services;
};

std::string encode(const PlaceRequest&);
std::string encode(const PlaceReply&);
std::string encode(const PlaceDone&);
std::string encode(const LoadDigest&);
Result<PlaceRequest> decodePlaceRequest(absl::string_view bytes);
Result<PlaceReply> decodePlaceReply(absl::string_view bytes);
Result<PlaceDone> decodePlaceDone(absl::string_view bytes);
Result<LoadDigest> decodeLoadDigest(absl::string_view bytes);

} // namespace cicada
