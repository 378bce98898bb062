#pragma once

/** \file
 * The report that the entry which sent a start makes to the owner of the executor when the run has ended.
 */

#include "absl/time/time.h"

#include <cstdint>

namespace cicada {

/** The outcome of a run as far as it concerns the health of its executor. */
enum class RunVerdict : uint8_t {
    /** The executor responded, and not with a server error. */
    Succeeded,
    /** The executor responded with a server error. */
    Failed,
    /** Not started: the executor refused the run or could not be reached. */
    NotStarted,
    /** Unknown outcome; the owner queries the executor before the slot is used again. */
    Unsettled,
    /** The grant arrived too late to be used, which says nothing about the executor. */
    Unused,
};

/** The end of one run. */
struct RunReport {
    RunVerdict verdict = RunVerdict::Succeeded;
    /** The time from sending the start to the end of the response. */
    absl::Duration runTime;
};

} // namespace cicada
