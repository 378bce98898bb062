#pragma once

/** \file
 * Decides whether a job of a client account is accepted. A job is refused on arrival if its result could only come too
 * late to have any value, or if it is beyond its account's rate while owed work waits for room: its caller can then
 * send it again, which a job that was accepted and waits in vain can't be.
 */

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>

namespace cicada {

/** After this many times its objective the result of a job has no value. */
constexpr double usefulObjectives = 3;

/** What the decision depends on. Work is in thousandths of a core times milliseconds. */
struct AdmissionInputs {
    /** A job without an account is never refused. */
    bool hasAccount = false;
    bool isExcess = false;
    /** No usable worker has room for a task of the job now. */
    bool isFull = false;
    /** Owed work of the same service waits for room. */
    bool hasOwedWaiting = false;
    /** The work that waits for room and goes before the job. */
    double workAhead = 0;
    /** Thousandths of a core on the usable workers of the job's service. */
    double capacity = 0;
    absl::Duration criticalPath;
    /** The work of the job's widest step. */
    double widestWork = 0;
    /** How long the job may take to be on time; infinite for none. */
    absl::Duration objective = absl::InfiniteDuration();
    /** A hash of the job's id. */
    uint64_t idHash = 0;
};

enum class RefusalReason {
    None,
    /** The job could end only when its result has no value any more. */
    TooLate,
    /** The job is excess, and owed work waits. */
    Excess,
    /** The store refuses or does not answer the writes without which no job is accepted. */
    StoreUnavailable,
};

/** The stable name of a reason, for logs and metrics. */
absl::string_view refusalReasonName(RefusalReason);

struct AdmissionDecision {
    RefusalReason reason = RefusalReason::None;
    /** When the caller may send the job again; 0 unless it is refused. */
    uint32_t retryAfterSeconds = 0;
    /** The time in which the work ahead drains. */
    absl::Duration drainTime;

    bool isRefused() const { return reason != RefusalReason::None; }
};

AdmissionDecision decideAdmission(const AdmissionInputs&);

/** The time after which a caller may send a refused job again: `wait` in whole seconds, from 1 to 5, and for half of
 * the ids one second more, so that refused callers do not all come back at the same time. */
uint32_t retryAfterSeconds(absl::Duration wait, uint64_t idHash);

} // namespace cicada
