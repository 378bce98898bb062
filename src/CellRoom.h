#pragma once

/** \file
 * Room for the tasks of a step on a cell's workers, and what a gang keeps of it.
 */

#include "CellJob.h"
#include "CellWorker.h"
#include "Clock.h"
#include "GangReservation.h"

#include "absl/types/span.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicada {

/** For how many tasks of a step there is room on the workers that may run it. */
struct StepRoom {
    uint64_t whenEmpty = 0;
    /** With capacity that is reserved for other steps counted as free. */
    uint64_t unreserved = 0;
    uint64_t free = 0;
    /** Workers that the queue's policy was seen to allow, and the room there. */
    uint64_t allowedWorkers = 0;
    uint64_t allowedWhenEmpty = 0;
    uint64_t freeAllowed = 0;
    uint64_t freeWithTicket = 0;
};

/** What counts as room on a worker. */
enum class RoomBasis {
    FreeNow,
    /** Also what other batch runs still hold. */
    InTime,
};

/** What the worker has free for new runs. */
Resources freeOn(const CellWorker& worker, RoomBasis basis);
/** For how many tasks of the step the workers have room. */
uint64_t roomOn(const StepSpec& spec, absl::Span<CellWorker* const> workers, RoomBasis basis);

/** A worker on which a step may be allowed to run. */
struct AdviceCandidate {
    CellWorker* worker = nullptr;
    /** How many of the step's tasks there is room for. */
    uint64_t placeable = 0;
    /** The queue's policy was seen to allow it. */
    bool isAllowed = false;
    bool isOnDataRack = false;
};

/** The room that a gang which is on time keeps while runs of others end. */
struct PlannedRoom {
    GangReservation reservation;
    GangDecision decision;
    std::vector<std::pair<CellWorker*, uint64_t>> tasksByWorker;
    Instant nextDecisionAt = absl::ZeroDuration();
};

/** The one reservation that has no limit on its workers. */
struct ExclusiveReservation {
    std::string job;
    StepRef ref;
    Instant until;
    /** Set where the gang was on time when the reservation began. */
    std::optional<PlannedRoom> planned;
};

} // namespace cicada
