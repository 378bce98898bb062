#pragma once

/** \file
 * A job in the hands of its cell's owner: where each task stands, and the two records that are stored of it. The job
 * record is written once, before the acceptance is answered. The run record holds what a next owner must know: which
 * runs may be out and on which worker, which tasks finished or failed, and how the job ended.
 */

#include "Clock.h"
#include "WorkerOrders.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <memory>
#include <vector>

namespace cicada {

/** Where a job is in its life. */
enum class JobPhase { Queued, Running, Finished, Failed, Cancelled };

/** The stable name of a phase, for logs. */
absl::string_view jobPhaseName(JobPhase);
inline bool isEnded(JobPhase phase) { return phase >= JobPhase::Finished; }

/** Where a task stands. */
enum class TaskStage {
    Waiting,
    /** Room is taken, and the intent to start is being stored. */
    StoringIntent,
    /** The order was sent, or an earlier owner may have sent it. */
    Starting,
    Running,
    Finished,
};

/** One task. */
struct CellTask {
    TaskStage stage = TaskStage::Waiting;
    /** The number of the current run, or of the last one while it waits. */
    uint32_t run = 0;
    uint32_t failures = 0;
    /** Where the current run is. */
    std::string worker;
    /** The life of that worker, as its start time; 0 where it was not known. */
    int64_t workerStarted = 0;
    std::string checkpoint;
    Instant startedAt = absl::ZeroDuration();
    /** When `percent` last rose, and what it was. */
    Instant progressAt = absl::ZeroDuration();
    int percent = -1;

    bool hasActiveRun() const
    {
        return stage == TaskStage::StoringIntent || stage == TaskStage::Starting || stage == TaskStage::Running;
    }
};

struct CellWorker;

/** What is known of where a step may run. */
struct StepAdvice {
    struct Allowed {
        CellWorker* worker = nullptr;
        std::string ticket;
        Instant validUntil;
    };
    bool isRequestInFlight = false;
    absl::flat_hash_map<std::string, Allowed> allowed;
    absl::flat_hash_set<std::string> queried;
};

/** One step of one occurrence. */
struct CellStep {
    std::vector<CellTask> tasks;
    StepAdvice advice;
    uint32_t finished = 0;
    /** The last run of a gang that was counted as failed. */
    uint32_t lastFailedRun = 0;
    bool isReady = false;
    Instant readyAt = absl::ZeroDuration();
    /** No placement before this, after refusals. */
    Instant notBefore = absl::ZeroDuration();
    /** When the step must start to be on time, as far as the estimates go. */
    Instant latestStart = absl::InfiniteDuration();

    bool isFinished() const { return finished == tasks.size(); }
};

/** Identifies a step in its job. */
struct StepRef {
    uint32_t occurrence = 0;
    uint32_t step = 0;

    friend bool operator<(const StepRef& a, const StepRef& b)
    {
        return std::tie(a.occurrence, a.step) < std::tie(b.occurrence, b.step);
    }
};

/** A job with its tasks. Not thread-safe. */
struct CellJob {
    Submission spec;
    QueuePolicy policy;
    int64_t acceptedUnixMillis = 0;
    int64_t endedUnixMillis = 0;
    Instant acceptedAt = absl::ZeroDuration();
    JobPhase phase = JobPhase::Queued;
    /** A worker has said that a task of the job is or was there. */
    bool hasBegun = false;
    /** What is durable, and so may be told. */
    bool isStored = false;
    JobPhase storedPhase = JobPhase::Queued;
    std::vector<std::vector<CellStep>> occurrences;

    CellStep& step(StepRef ref) { return occurrences[ref.occurrence][ref.step]; }
    const StepSpec& stepSpec(StepRef ref) const { return spec.steps[ref.step]; }
    /** The task, or null when the job has no such task. */
    CellTask* find(const TaskName&);
    bool allFinished() const;
    /** The longest chain of estimates from `step` on, through the steps that wait for it. */
    absl::Duration criticalPathFrom(uint32_t step) const;
    /** The longest chain of estimates of the whole job. */
    absl::Duration criticalPath() const;
};

/** Lays out the tasks of a submitted job. */
std::unique_ptr<CellJob> makeCellJob(Submission spec, QueuePolicy policy, int64_t acceptedUnixMillis);

/** The job record and back; the error names what can't be read. */
std::string encodeJobRecord(const CellJob&);
Result<std::unique_ptr<CellJob>> decodeJobRecord(absl::string_view id, absl::string_view bytes);
/** A submission with its policy as peers exchange it. */
std::string encodeSubmission(const Submission&, const QueuePolicy&);
Result<void> decodeSubmission(absl::string_view bytes, Submission&, QueuePolicy&);
/** The run record, and what it says put into a job that was laid out anew. */
std::string encodeRunRecord(const CellJob&);
Result<void> applyRunRecord(CellJob&, absl::string_view bytes);
/** A run record without its job record: the job ended, and only that is kept. */
Result<JobPhase> endedPhaseOf(absl::string_view runRecord, int64_t& endedUnixMillis);

} // namespace cicada
