#pragma once

/** \file
 * Jobs and their tasks: what a caller submits, what is stored of it, and how a task ended. A stored job outlives every
 * entry, so its record holds everything that a new owner needs to carry on.
 */

#include "BackEnds.h"
#include "Error.h"
#include "Profile.h"

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicada {

/** Whether a task is meant to end. */
enum class TaskKind {
    /** Ends by itself, and the job with its last one. */
    Batch,
    /** Runs until the job is cancelled, and is started again whenever it ends. */
    Service,
};

/** One task as submitted. `command` is opaque to the system and passed to the worker unchanged. */
struct TaskSpec {
    TaskKind kind = TaskKind::Batch;
    Resources demand;
    std::string command;
};

/** A job as submitted. */
struct JobSpec {
    std::string id;
    std::string profile;
    /** The team whose quota the job counts against; empty for none. */
    std::string team;
    /** All tasks start together, or none does. */
    bool gang = false;
    std::vector<TaskSpec> tasks;
};

/** What is known of a task for good, in the stored record. */
enum class TaskMark : char {
    /** It was never released for a start. */
    Waiting = '.',
    /** It may have been started; written ahead of the start of a task that must not run twice. */
    Released = 'r',
    Finished = 'f',
    Failed = 'x',
    Cancelled = 'c',
    /** Its job was given up before any of its tasks was released. */
    NotRun = 'n',
    /** It may have run, and it will not be run again. */
    Unknown = 'u',
};

/** A job's state as callers see it. */
enum class JobState { Accepted, Finished, Failed, Cancelled, NotRun, Unknown };

/** A job as stored. */
struct JobRecord {
    JobSpec spec;
    /** The profile as it was at the acceptance, for use when it is deleted later. */
    Profile profile;
    /** Wall time of the acceptance in microseconds since 1970; orders jobs and decides nothing else. */
    int64_t acceptedMicros = 0;
    JobState state = JobState::Accepted;
    /** One mark for each task. */
    std::vector<TaskMark> marks;
    /** How often each task was released for a start, written ahead of the start; only for tasks that must not run
     * twice. */
    std::vector<uint32_t> releases;
    /** Wall time of the end, for removing old records; 0 while it runs. */
    int64_t endedMicros = 0;
};

/** A record for a job that is being accepted. */
JobRecord makeRecord(JobSpec spec, Profile profile, int64_t acceptedMicros);
/** Joins what two writers know: marks, releases and the end only ever grow. */
void mergeInto(JobRecord& record, const JobRecord& stored);
/** Whether the mark is final. */
bool isFinal(TaskMark mark);
/** The state that the marks of an ended job add up to. */
JobState endState(const std::vector<TaskMark>& marks);
absl::string_view jobStateName(JobState state);

/** Bounds on what a caller may submit. */
constexpr size_t maxTasksPerJob = 10000;
constexpr size_t maxCommandBytes = 16 << 10;
constexpr size_t maxRecordBytes = 768 << 10;

/** Reads and checks a submitted job. The error names the field and the remedy. */
Result<JobSpec> parseJob(absl::string_view id, absl::string_view json);
/** The record as stored, and back. */
std::string encodeRecord(const JobRecord&);
Result<JobRecord> decodeRecord(absl::string_view text);
/** Whether both ask for the same, so that a retry finds its job and another job under the same id is a conflict. */
bool sameJob(const JobSpec&, const JobSpec&);

/** The partition of a job id; its owner drives the job. */
uint32_t jobPartition(absl::string_view id);
/** Where the jobs of a partition are stored: the new owner of a partition lists just this prefix. */
std::string jobPrefix(uint32_t partition);
std::string jobKey(absl::string_view id);

/** Whether `demand` fits into `freeCapacity`, in every kind of resource. */
bool fits(const Resources& demand, const Resources& freeCapacity);
Resources operator+(const Resources&, const Resources&);
Resources operator-(const Resources&, const Resources&);

/** Refuses a job that no worker could ever hold; the error names the largest worker that exists. */
Result<void> checkEverFits(const JobSpec&, const BackEnds&);

} // namespace cicada
