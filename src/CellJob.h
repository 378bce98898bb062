#pragma once

/** \file
 * A job as its cell's owner tracks it: the state of each task, and the two records that are stored of the job. The job
 * record is written once, before the acceptance is reported. The run record holds what a successor must know: which
 * runs may be active and on which worker, which tasks finished or failed, and how the job ended.
 */

#include "Clock.h"
#include "CrashDelays.h"
#include "CrashVerdict.h"
#include "FailureEvidence.h"
#include "RunEvidence.h"
#include "StepOrder.h"
#include "WaitingWork.h"
#include "WorkerOrders.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace cicada {

/** Phase of a job. */
enum class JobPhase { Queued, Running, Finished, Failed, Cancelled };

/** The stable name of a phase, for logs. */
absl::string_view jobPhaseName(JobPhase);
inline bool isEnded(JobPhase phase) { return phase >= JobPhase::Finished; }

/** Stage of a task. */
enum class TaskStage {
    Waiting,
    /** Capacity is allocated, and the intent to start is being stored. */
    StoringIntent,
    /** The start order was sent, or an earlier owner may have sent it. */
    Starting,
    Running,
    Finished,
};

/** State of one task. */
struct CellTask {
    TaskStage stage = TaskStage::Waiting;
    /** The number of the current run, or of the last run while the task waits. */
    uint32_t run = 0;
    /** The runs that ended as failed, whether or not another run had begun by then. A gang's are kept by its step. */
    std::vector<uint32_t> failedRuns;
    /** The runs that were on a worker when it crashed. */
    std::vector<uint32_t> crashedRuns;
    /** The runs whose start may have reached a worker before it crashed, and may not. */
    std::vector<uint32_t> possiblyCrashedRuns;
    /** On what these and the failed runs count, and the runs of which it is not known whether they do. */
    std::vector<RunEvidence> evidence;
    /** A worker may have crashed because of the task, which therefore runs apart from other jobs. */
    bool isSuspect = false;
    /** How long those of these runs had been at work of whose crash this owner knows. */
    std::vector<RunAges> agesAtCrashes;
    /** The same for the last crash, also if the run may have begun after it. */
    RunAges agesAtLastCrash;
    /** The worker of the current run. */
    std::string worker;
    /** The start time of that worker's incarnation, in milliseconds since 1970; 0 if unknown. */
    int64_t workerStarted = 0;
    /** When the start of the current run was decided, in milliseconds since 1970; 0 if unknown. */
    int64_t orderedUnixMillis = 0;
    /** The worker on which a run was given up as it could not be heard; empty for none. It may still list that run's
     * end. */
    std::string lostOn;
    /** Of a gang's member it is kept by its step. */
    std::string checkpoint;
    Instant startedAt = absl::ZeroDuration();
    /** When `percent` last rose, and its value then. */
    Instant progressAt = absl::ZeroDuration();
    int percent = -1;
    /** How many runs of the task this owner stopped as stuck. */
    uint32_t stuckRuns = 0;
    /** The current run began from a checkpoint. */
    bool wasRestored = false;

    /** How many workers have crashed under the task, or may have. */
    uint32_t crashes() const { return static_cast<uint32_t>(crashedRuns.size() + possiblyCrashedRuns.size()); }
    /** Whether runs of the task were found to be lost with their worker since then, in milliseconds since 1970. */
    bool hasLostRunsSince(int64_t unixMillis) const;
    /** Forgets the crashes that only may have been under the task. */
    void forgetPossibleCrashes();
    /** Forgets all crashes under the task, and what is undecided. */
    void forgetCrashes();
    /** Whether this run counts as one under which a worker crashed, or may have. */
    bool hasCrashed(uint32_t number) const;
    bool hasActiveRun() const
    {
        return stage == TaskStage::StoringIntent || stage == TaskStage::Starting || stage == TaskStage::Running;
    }
};

struct CellWorker;

/** Capacity that a gang keeps on the workers chosen for it while tickets for them are requested. */
struct TicketReservation {
    /** Each worker with the number of tasks that it is to run. */
    std::vector<std::pair<CellWorker*, uint32_t>> tasksByWorker;
    Instant until = absl::ZeroDuration();
    /** It goes beyond the share of the workers that such reservations may take together. */
    bool exceedsShare = false;
};

/** The policy service's replies for one step. Which workers it allows does not change; tickets expire. */
struct StepAdvice {
    struct Allowed {
        CellWorker* worker = nullptr;
        std::string ticket;
        Instant validUntil;
    };
    /** One question may take several requests at once. */
    uint32_t requestsInFlight = 0;
    /** Those of them for tickets of workers whose capacity the gang keeps. */
    uint32_t ticketRequestsInFlight = 0;
    /** By the worker's id; ordered, which keeps placement deterministic. */
    absl::btree_map<std::string, Allowed> allowed;
    absl::flat_hash_set<std::string> queried;
    uint32_t requestsSent = 0;
    /** The last request had no valid reply. */
    bool hasFailed = false;
    std::optional<TicketReservation> reservation;
};

/** State of one step of one occurrence. */
struct CellStep {
    std::vector<CellTask> tasks;
    StepAdvice advice;
    uint32_t finished = 0;
    /** For a gang: the runs in which a member ended as failed. */
    std::vector<uint32_t> failedRuns;
    bool isReady = false;
    Instant readyAt = absl::ZeroDuration();
    /** For a gang: the newest checkpoint that a member of the current or last run has listed, from which all members go
     * on. */
    std::string checkpoint;
    /** The one before. A member that still lists it is behind the others. */
    std::string formerCheckpoint;
    /** When the member made the list that has `checkpoint`; zero if a former owner read it. */
    Instant checkpointListedAt = absl::ZeroDuration();
    /** For a gang: it gets no exclusive reservation before this time. */
    Instant noExclusiveBefore = absl::ZeroDuration();
    /** When it was last logged why the step waits. */
    Instant waitReportedAt = absl::ZeroDuration();
    /** No placement before this time, which is set after refusals. */
    Instant notBefore = absl::ZeroDuration();
    /** The latest start with which the job is still on time, by the estimates. */
    Instant latestStart = absl::InfiniteDuration();
    /** The latest start with which the result has any value; infinite for jobs without an account. */
    Instant lastUsefulStart = absl::InfiniteDuration();
    /** While it is among the ready steps: the key under which it is sorted there. */
    std::optional<StepKey> sortKey;
    /** The last attempt to place it found no room. */
    bool lacksRoom = false;
    /** What it adds to the cell's waiting work. */
    std::optional<WaitingItem> waitingItem;

    bool isFinished() const { return finished == tasks.size(); }
    /** How many active runs of the step each worker has, by the worker's id. */
    absl::flat_hash_map<std::string, uint32_t> activeRunsByWorker() const;
};

/** A job with its tasks. Not thread-safe. */
struct CellJob {
    Submission spec;
    QueuePolicy policy;
    int64_t acceptedUnixMillis = 0;
    int64_t endedUnixMillis = 0;
    Instant acceptedAt = absl::ZeroDuration();
    /** The job came beyond its account's rate; kept in the job record. */
    bool isExcess = false;
    JobPhase phase = JobPhase::Queued;
    /** A worker has reported that it runs or ran a task of the job. */
    bool hasBegun = false;
    /** The job is being transferred to another cell: nothing of it starts or changes. */
    bool isMoving = false;
    /** When it was last transferred to this cell, or could not be transferred to another one. */
    Instant arrivedAt = absl::ZeroDuration() - absl::Hours(1);
    /** How many workers with runs of the job have crashed since one of its tasks last finished, as far as this owner
     * knows. */
    uint32_t crashedWorkers = 0;
    /** When the last of them was found to have crashed. */
    Instant crashedAt = absl::ZeroDuration();
    /** How often it was transferred, as far as this owner knows. */
    uint32_t transfers = 0;
    /** When room was last searched for it in other cells. */
    Instant searchedAt = absl::ZeroDuration() - absl::Hours(1);
    /** What is durable, and so may be reported to callers. */
    bool isStored = false;
    JobPhase storedPhase = JobPhase::Queued;
    /** The task for which the job was given up, as workers crashed under it. */
    std::optional<TaskName> givenUpFor;
    /** The task whose runs have failed as often as they may. */
    std::optional<TaskName> exhaustedTask;
    std::vector<std::vector<CellStep>> occurrences;

    CellStep& step(StepRef ref) { return occurrences[ref.occurrence][ref.step]; }
    const CellStep& step(StepRef ref) const { return occurrences[ref.occurrence][ref.step]; }
    const StepSpec& stepSpec(StepRef ref) const { return spec.steps[ref.step]; }
    /** What the urgency of the step depends on now. */
    StepTimes timesOf(StepRef ref) const;
    /** The task, or null when the job has no such task. */
    CellTask* find(const TaskName&);
    /** The runs of the task, or of its gang, that ended as failed; each counts as one attempt. */
    std::vector<uint32_t>& failedRunsOf(const TaskName&);
    const std::vector<uint32_t>& failedRunsOf(const TaskName&) const;
    uint32_t failuresOf(const TaskName&) const;
    /** Records that a run of the task ended as failed; false if that was known. */
    bool recordFailure(const TaskRun&);
    /** Records that a worker crashed under a run of the task, or may have; false if that was known. */
    bool recordCrash(const TaskRun&, CrashedRun);
    /** From which checkpoint the task's next run goes on; empty for none. */
    const std::string& checkpointOf(const TaskName&) const;
    /** Records the checkpoint with which a worker listed the task's current run in a list made at that time. */
    void recordCheckpoint(const TaskName&, const std::string& checkpoint, Instant listedAt);
    /** Records that the run outlived what was taken for a crash of its worker; false if there was no such record. */
    bool takeBackCrash(const TaskRun&);
    /** How many of the tasks are suspects and have not finished. */
    size_t openSuspects() const;
    bool hasSuspects() const { return openSuspects() > 0; }
    /** Whether the predicate holds for one of the tasks. */
    template <typename Predicate> bool anyTask(Predicate predicate) const
    {
        for (const auto& steps : occurrences) {
            for (const CellStep& step : steps) {
                if (std::any_of(step.tasks.begin(), step.tasks.end(), predicate))
                    return true;
            }
        }
        return false;
    }
    bool allFinished() const;
    /** Processors times estimated run time of one task of the step, in thousandths of a core times milliseconds. */
    double workOfTask(StepRef ref) const;
    /** The sum of estimates on the longest path from `step` on, through the steps that depend on it. */
    absl::Duration criticalPathFrom(uint32_t step) const;
    /** The sum of estimates on the longest path through the job. */
    absl::Duration criticalPath() const;
};

/** How long the job may take to be on time. */
absl::Duration objectiveOf(const CellJob& job, const QueuePolicy& policy);
/** Creates the tasks of a submitted job, all waiting. */
std::unique_ptr<CellJob> makeCellJob(Submission spec, QueuePolicy policy, int64_t acceptedUnixMillis);

/** Encode and decode the job record; the error names what can't be read. */
std::string encodeJobRecord(const CellJob&);
Result<std::unique_ptr<CellJob>> decodeJobRecord(absl::string_view id, absl::string_view bytes);
/** Encode and decode a submission with its policy, as peers exchange it. */
std::string encodeSubmission(const Submission&, const QueuePolicy&);
Result<void> decodeSubmission(absl::string_view bytes, Submission&, QueuePolicy&);
/** A run record is at most this long, as the store takes values of up to 1 MB. */
constexpr size_t maxRunRecordBytes = size_t { 900 } << 10;
/** Encode the run record, and apply one to a job that decodeJobRecord() has just created. One that would be longer than
 * `maxRunRecordBytes` is written as a table, which former builds can't read. Where that is too long as well, the
 * checkpoints of active runs are left out: their workers list these. */
std::string encodeRunRecord(const CellJob&);
Result<void> applyRunRecord(CellJob&, absl::string_view bytes);
/** Encode and decode the mark that stands in place of both records of a job that is in another cell; nothing when the
 * bytes are no such mark. */
std::string encodeTransferMark(uint32_t cell);
std::optional<uint32_t> transferMarkOf(absl::string_view bytes);
/** What is kept of a job that has ended. */
struct EndedJob {
    JobPhase phase = JobPhase::Finished;
    /** In milliseconds since 1970. */
    int64_t endedUnixMillis = 0;
    /** Of a failed job: how many workers crashed under the task for which it was given up; 0 if that was not why. */
    uint32_t crashes = 0;
    /** Its queue; empty when the record is of a former build. */
    std::string queue;
    /** Of a failed job: the tasks because of which it failed, with the evidence. */
    std::vector<TaskEvidence> evidence;
};

/** Reads a run record that has no job record, as the job has ended. */
Result<EndedJob> endedJobOf(absl::string_view runRecord);
/** The tasks because of which the job failed; empty for other jobs. */
std::vector<TaskEvidence> evidenceAtEnd(const CellJob&);
/** How many workers have crashed under the task with the most crashes, if the job was given up for that; else 0. */
uint32_t crashesAtEnd(const CellJob&);

} // namespace cicada
