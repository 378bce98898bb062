#pragma once

/** \file
 * Messages between entries to place requests. Bodies are never sent between entries: the entry that accepted the
 * request sends it to the executor itself, under a grant from the executor's owner.
 */

#include "Error.h"
#include "RunReport.h"
#include "Settings.h"

#include "absl/strings/string_view.h"

#include <string>
#include <vector>

namespace cicada {

/** The names under which peers receive the messages. */
inline constexpr absl::string_view placeRequestService = "place-ask";
inline constexpr absl::string_view placeReplyService = "place-reply";
inline constexpr absl::string_view placeDoneService = "place-done";
inline constexpr absl::string_view loadService = "load";

/** Asks the owner of executors for a grant to start a request on one of them. */
struct PlaceRequest {
    uint64_t askId = 0;
    std::string requestId;
    std::string service;
    std::string profile;
    /** Whether the work is known to be long, so that it must not use the owner's reserve. */
    bool isLong = false;
    /** The expected duration of a run. */
    int64_t expectedRunMicros = 0;
};

/** The owner's reply. If granted, the start may be sent within `startWithinMicros` after the request was sent. */
struct PlaceReply {
    uint64_t askId = 0;
    bool granted = false;
    uint64_t grantId = 0;
    std::string executor;
    std::string address;
    uint64_t epoch = 0;
    int64_t startWithinMicros = 0;
    /** The number of slots that remain free at the owner. */
    uint32_t freeSlots = 0;
    uint32_t freeForLong = 0;
};

/** Reports that the run under this grant has ended, or was never started and never will be. */
struct PlaceDone {
    uint64_t grantId = 0;
    RunReport report;
};

/** Free slots and queued requests of one service at the sender. */
struct ServiceLoad {
    std::string service;
    uint32_t freeSlots = 0;
    /** The number of free slots that long work may use. */
    uint32_t freeForLong = 0;
    uint32_t queued = 0;
};

/** The sender's current free capacity and load. */
struct LoadDigest {
    /** The region of the sender. */
    std::string region;
    /** Whether services that are not listed have no free slots; otherwise their last reported load still holds. */
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
