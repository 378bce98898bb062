#pragma once

/** \file
 * Finds a cell that has room for a step which its own cell can't start.
 */

#include "Workload.h"

#include "absl/functional/any_invocable.h"

#include <optional>
#include <string>

namespace cicada {

/** What the tasks of a step need. */
struct RoomQuery {
    std::string service;
    /** Empty for none. */
    std::string requiredLabel;
    /** Of each task. */
    Resources demand;
    /** How many tasks must find room together: one, or all of a gang. */
    uint32_t tasks = 1;
    /** At most this many tasks on one worker; 0 for no limit. */
    uint32_t maxPerWorker = 0;
};

/** Asks the owners of other cells. Used on the decision thread only; callbacks never run within the call. */
class RoomFinder {
public:
    virtual ~RoomFinder() = default;
    /** Calls back with the cell other than `cell` that has the most room, or nothing when none has enough. */
    virtual void find(uint32_t cell, RoomQuery query, absl::AnyInvocable<void(std::optional<uint32_t>)> done) = 0;
};

} // namespace cicada
