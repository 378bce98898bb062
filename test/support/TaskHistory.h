#pragma once

/** \file
 * When a task's runs started and which of their ends an owner acknowledged. An acknowledged end is known to the system:
 * a start that came after a finished run, or after as many failed runs as the policy allows, breaks a promise, also
 * when the end was acknowledged only later.
 */

#include "Clock.h"
#include "WorkerOrders.h"

#include <string>
#include <vector>

namespace cicada::test {

/** The history of one task. Not thread-safe. */
class TaskHistory {
public:
    void recordStart(Instant at) { m_lastStartAt = std::max(m_lastStartAt, at); }
    /** From `since` on, a start must take the end into account. */
    void recordAcknowledgedEnd(RunEnding, Instant since);
    /** What the task's starts break, or nothing. */
    std::string violation(uint32_t maxAttempts) const;

private:
    Instant m_lastStartAt = absl::ZeroDuration();
    std::vector<Instant> m_finishedSince;
    std::vector<Instant> m_failedSince;
};

} // namespace cicada::test
