#include "FailureEvidence.h"

#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    bool hasEvidence(const TaskEvidence& task, uint32_t number)
    {
        return std::any_of(
            task.runs.begin(), task.runs.end(), [&](const RunEvidence& run) { return run.run == number; });
    }

} // namespace

void logEvidence(EventLog& log, const std::string& job, absl::Span<const TaskEvidence> tasks)
{
    for (const TaskEvidence& task : tasks) {
        const TaskName name { job, task.task.occurrence, task.task.step, task.task.index };
        for (const uint32_t number : task.counted) {
            if (!hasEvidence(task, number))
                log.write("failure-evidence", "job", job, "run", describeRun({ name, number }), "kind", "not-recorded",
                    "counts", true);
        }
        for (const RunEvidence& run : task.runs)
            log.write("failure-evidence", "job", job, "run", describeRun({ name, run.run }), "kind",
                evidenceKindName(run.kind), "counts", std::count(task.counted.begin(), task.counted.end(), run.run) > 0,
                "worker", run.worker, "source", run.source, "ordered", run.orderedUnixMillis, "leaseUntil",
                run.leaseUntilUnixMillis, "nextStart", run.nextStartUnixMillis, "found", run.foundUnixMillis,
                "knownAtWorkMs", run.knownAtWorkMillis, "closedAfterMs", run.closedAfterMillis, "token", run.token,
                "sequence", run.sequence);
    }
}

} // namespace cicada
