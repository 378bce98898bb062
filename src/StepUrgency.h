#pragma once

/** \file
 * The first criterion of the order in which ready steps get capacity. It answers a load above the capacity: work that
 * can still finish on time goes before work that can't, and a service that has lost a task goes before all batch work,
 * since its users get nothing for as long as the task is away.
 */

#include "CellJob.h"

namespace cicada {

/** In the order in which steps get capacity. */
enum class StepUrgency {
    /** A service with a task that ran before and has to be started again. */
    LostService,
    /** Batch work that can finish on time, or a service that is started for the first time. */
    OnTime,
    /** Batch work that can no longer finish on time. */
    Late,
};

StepUrgency urgencyOf(const StepSpec& spec, const CellStep& step, Instant now);

} // namespace cicada
