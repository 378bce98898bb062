#pragma once

/** \file
 * Why a job has failed, task by task, and how that is logged.
 */

#include "EventLog.h"
#include "RunEvidence.h"
#include "Workload.h"

#include "absl/types/span.h"

#include <string>
#include <vector>

namespace cicada {

/** A task because of which its job failed, and on what evidence. */
struct TaskEvidence {
    /** Without the job's id where it was read from a record. */
    TaskName task;
    std::vector<RunEvidence> runs;
    /** The numbers of the runs that count. Of some the evidence may be missing, as former builds kept none. */
    std::vector<uint32_t> counted;
};

/** Writes a line for each run that counts or of which evidence is kept, which says whether it counts against its task,
 * and why. */
void logEvidence(EventLog& log, const std::string& job, absl::Span<const TaskEvidence> tasks);

} // namespace cicada
