#pragma once

/** \file
 * Decides for one wide gang which capacity to keep while it waits: on which workers, from when on, and what to ask the
 * policy service for. Without I/O; Cell supplies what it knows, and carries the decision out.
 */

#include "Clock.h"
#include "Workload.h"

#include "absl/types/span.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace cicada {

/** For how many tasks of the gang a worker has room from a time on. */
struct RoomFrom {
    Instant from;
    uint64_t tasks = 0;
};

/** A worker that may run the gang. */
struct GangWorker {
    /** By estimates, in order of time; each entry has more room than the one before. */
    std::vector<RoomFrom> rooms;
    /** How long the gang's ticket for the worker is valid; infinite where none is needed. */
    Instant ticketUntil = absl::InfiniteDuration();
};

/** What is known about a gang that waits. */
struct GangState {
    uint64_t width = 0;
    Instant now;
    std::vector<GangWorker> allowed;
    /** Room, free now and with batch runs gone, on workers of which it is not known whether they are allowed. */
    uint64_t unknownFree = 0;
    uint64_t unknownInTime = 0;
    /** The share of unknown workers that can be expected to be allowed. */
    double allowedShare = 1;
    AdvicePolicy advice;
    /** The remaining validity of a ticket that a start needs. */
    absl::Duration ticketMargin;
};

/** What to do for the gang now. */
struct GangDecision {
    /** Keep room for this many tasks on each of these workers, which are given by their index in `allowed`. */
    std::vector<std::pair<size_t, uint64_t>> hold;
    /** When all of that room is free, by estimates; infinite if it never is. */
    Instant beginsAt = absl::InfiniteDuration();
    /** Other work may use the room that is kept if it ends by then. */
    Instant backfillUntil = absl::ZeroDuration();
    /** Request tickets for the workers in `hold`: the reply comes when their room is free, or soon after. */
    bool needsTickets = false;
    /** Ask about unknown workers with free room for this many tasks. */
    double unknownFreeWanted = 0;
    /** Ask about unknown workers that would have room in time for this many tasks. */
    double unknownInTimeWanted = 0;
    /** The gang starts here too late to be kept from a cell that has room. */
    bool mayTransfer = true;
};

/** The reservation of one gang from its begin on. */
class GangReservation {
public:
    /** Whether there is so much more room than the gang needs that it may keep some while others wait. */
    static bool hasSpareRoom(const GangState& state);
    /** `backfillUntil` of later decisions is never later, so that work with wrong estimates can't delay the gang again
     * and again. */
    GangDecision decide(const GangState& state);

private:
    Instant m_backfillUntil = absl::InfiniteDuration();
};

} // namespace cicada
