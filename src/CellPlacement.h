#pragma once

/** \file
 * What the owner of a cell works out while it places steps: which task is to start where, what a step keeps from
 * others, and how old runs were when their worker crashed.
 */

#include "CellJob.h"
#include "CellWorker.h"
#include "StepOrder.h"

#include <utility>
#include <vector>

namespace cicada {

/** Free capacity that one step withholds from all others during a placement round. */
struct CapacityReservation {
    const StepRank* rank = nullptr;
    std::vector<std::pair<CellWorker*, Resources>> freeCapacities;
    /** Work that ends before the step begins may use the capacity. */
    bool isBackfilled = false;

    void hold() const;
    void release() const;
};

/** What a placement round did with a step. */
enum class PlacementOutcome {
    /** No task of it waits any more. */
    Placed,
    /** It was tried on the workers, and tasks still wait. */
    Unplaced,
    /** It can't start now, which showed without trying the workers. */
    Skipped,
};

/** One task of a step, by index, with the worker on which it is to start. */
struct PlacementChoice {
    uint32_t index = 0;
    CellWorker* worker = nullptr;
};

/** The indexes of the step's waiting tasks. */
std::vector<uint32_t> waitingTasks(const CellStep& step);
/** The work of the step's waiting tasks, in thousandths of a core times milliseconds; 0 for a service. */
double waitingWorkOf(const CellJob& job, StepRef ref);

/** A run whose start is known, with its job, and how long it had been at work when its worker went silent. */
struct RunAge {
    const TaskRun* run = nullptr;
    const CellJob* job = nullptr;
    absl::Duration age;
};

} // namespace cicada
