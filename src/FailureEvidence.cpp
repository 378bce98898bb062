#include "FailureEvidence.h"

#include "Job.h"

namespace cicada {

namespace {

    bool counts(EvidenceKind kind, bool isForCrashes)
    {
        return isForCrashes ? kind != EvidenceKind::Failed && kind != EvidenceKind::Undecided
                            : kind == EvidenceKind::Failed;
    }

} // namespace

void logEvidence(EventLog& log, const std::string& job, absl::Span<const TaskEvidence> tasks)
{
    for (const TaskEvidence& task : tasks) {
        const TaskName name { job, task.task.occurrence, task.task.step, task.task.index };
        for (const RunEvidence& run : task.runs)
            log.write("failure-evidence", "job", job, "run", describeRun({ name, run.run }), "kind",
                evidenceKindName(run.kind), "counts", counts(run.kind, task.isForCrashes), "worker", run.worker,
                "source", run.source, "ordered", run.orderedUnixMillis, "leaseUntil", run.leaseUntilUnixMillis,
                "nextStart", run.nextStartUnixMillis, "found", run.foundUnixMillis, "knownAtWorkMs",
                run.knownAtWorkMillis, "token", run.token, "sequence", run.sequence);
    }
}

} // namespace cicada
