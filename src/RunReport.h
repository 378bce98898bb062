#pragma once

/** \file
 * What the entry that sent a start tells the owner of the executor when the run has ended.
 */

#include "absl/time/time.h"

#include <cstdint>

namespace cicada {

/** How a run went, as far as the health of its executor goes. */
enum class RunVerdict : uint8_t {
    /** The executor answered, and not with a server error. */
    Succeeded,
    /** The executor answered with a server error. */
    Failed,
    /** It was not started there: refused, or the executor could not be reached. */
    NotStarted,
    /** It is not known how it ended; the owner asks the executor before the slot is used again. */
    Unsettled,
    /** The grant came too late to be used, which says nothing of the executor. */
    Unused,
};

/** The end of one run. */
struct RunReport {
    RunVerdict verdict = RunVerdict::Succeeded;
    /** From the start being sent to the end of the answer. */
    absl::Duration runTime;
};

} // namespace cicada
