#pragma once

/** \file
 * Jobs and their tasks: the specification that a caller submits, the stored record, and the final state of each task.
 * A stored job outlives every entry, so its record holds everything that a new owner needs to resume the job.
 */

#include "BackEnds.h"
#include "Error.h"
#include "Profile.h"

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicada {

/** Whether a task is expected to end by itself. */
enum class TaskKind {
    /** Ends by itself; the job ends with its last task. */
    Batch,
    /** Runs until the job is cancelled, and is restarted whenever it ends. */
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
    /** The team whose quota the job is charged to; empty for none. */
    std::string team;
    /** Whether all tasks must start together or not at all. */
    bool gang = false;
    std::vector<TaskSpec> tasks;
};

/** The durable state of a task in the stored record. */
enum class TaskMark : char {
    /** Never released for a start. */
    Waiting = '.',
    /** May have been started; stored before the start of a task that must not run twice. */
    Released = 'r',
    Finished = 'f',
    Failed = 'x',
    Cancelled = 'c',
    /** The job was given up before any of its tasks was released. */
    NotRun = 'n',
    /** May have run, and will not be run again. */
    Unknown = 'u',
};

/** A job's state as callers see it. */
enum class JobState { Accepted, Finished, Failed, Cancelled, NotRun, Unknown };

/** A job as stored. */
struct JobRecord {
    JobSpec spec;
    /** The profile at acceptance, used if the profile is deleted later. */
    Profile profile;
    /** Wall time of acceptance in microseconds since 1970; used only to order jobs. */
    int64_t acceptedMicros = 0;
    JobState state = JobState::Accepted;
    /** One mark for each task. */
    std::vector<TaskMark> marks;
    /** How often each task was released for a start, stored before the start; only for tasks that must not run
     * twice. */
    std::vector<uint32_t> releases;
    /** Wall time at which the job ended, for removing old records; 0 until then. */
    int64_t endedMicros = 0;
};

/** Returns the initial record of a job that is being accepted. */
JobRecord makeRecord(JobSpec spec, Profile profile, int64_t acceptedMicros);
/** Merges the records of two writers: marks, releases and the end only ever advance. */
void mergeInto(JobRecord& record, const JobRecord& stored);
/** Whether the mark is final. */
bool isFinal(TaskMark mark);
/** Returns the state of an ended job, derived from the marks of its tasks. */
JobState endState(const std::vector<TaskMark>& marks);
absl::string_view jobStateName(JobState state);

/** Limits on what a caller may submit. */
constexpr size_t maxTasksPerJob = 10000;
constexpr size_t maxCommandBytes = 16 << 10;
constexpr size_t maxRecordBytes = 768 << 10;

/** Parses and validates a submitted job. The error names the field and the remedy. */
Result<JobSpec> parseJob(absl::string_view id, absl::string_view json);
/** Encodes and decodes the stored form of a record. */
std::string encodeRecord(const JobRecord&);
Result<JobRecord> decodeRecord(absl::string_view text);
/** Whether both specify the same job. A retry with the same id finds its job; a different job is a conflict. */
bool sameJob(const JobSpec&, const JobSpec&);

/** The partition of a job id; its owner drives the job. */
uint32_t jobPartition(absl::string_view id);
/** The key prefix of a partition's jobs in the store; a new owner of the partition lists only this prefix. */
std::string jobPrefix(uint32_t partition);
std::string jobKey(absl::string_view id);

/** Whether `demand` fits into `freeCapacity` for every kind of resource. */
inline bool fits(const Resources& demand, const Resources& freeCapacity)
{
    return demand.cpuMillis <= freeCapacity.cpuMillis && demand.memoryMiB <= freeCapacity.memoryMiB
        && demand.accelerators <= freeCapacity.accelerators;
}

inline Resources operator+(const Resources& a, const Resources& b)
{
    return { a.cpuMillis + b.cpuMillis, a.memoryMiB + b.memoryMiB, a.accelerators + b.accelerators };
}

inline Resources operator*(const Resources& a, int64_t count)
{
    return { a.cpuMillis * count, a.memoryMiB * count, a.accelerators * count };
}

inline Resources operator-(const Resources& a, const Resources& b)
{
    return { a.cpuMillis - b.cpuMillis, a.memoryMiB - b.memoryMiB, a.accelerators - b.accelerators };
}

/** Rejects a job that exceeds the capacity of every worker; the error names the largest known worker. */
Result<void> checkEverFits(const JobSpec&, const BackEnds&);

} // namespace cicada
