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
    /** The job was given up as workers crashed under the task; otherwise its runs failed as often as they may. */
    bool isForCrashes = false;
};

/** Writes a line for each run, which says whether it counts against its task, and why. */
void logEvidence(EventLog& log, const std::string& job, absl::Span<const TaskEvidence> tasks);

} // namespace cicada
