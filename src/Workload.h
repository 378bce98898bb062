#pragma once

/** \file
 * Jobs of several steps, as callers submit them to queues: the submission, the queue's policy, and the names of tasks
 * and runs. `Job.h` defines the jobs without steps of the project's own interface.
 */

#include "BackEnds.h"
#include "Error.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace cicada {

/** One step: a set of identical tasks. */
struct StepSpec {
    uint32_t taskCount = 1;
    Resources demand;
    /** A rough estimate of how long a task runs. */
    absl::Duration estimate;
    /** Indices of earlier steps whose tasks in the same occurrence must have finished first. */
    std::vector<uint32_t> after;
    bool savesCheckpoints = false;
    /** The tasks start together, under one run number, and finish together. */
    bool isGang = false;
    /** The gang is slower when it runs on more than one rack. */
    bool prefersOneRack = false;
    /** Copies of a task may run in parallel; the first to finish counts. */
    bool isSpeculative = false;
    /** The tasks run until the job is cancelled and are restarted whenever they end. */
    bool isService = false;
    /** The tasks use only the processors that other tasks leave unused. */
    bool usesIdleProcessors = false;
    /** A label that the worker must have; empty for none. */
    std::string requiredLabel;
    /** The rack on which the task's data lies; empty for none. */
    std::string dataRack;
    /** At most this many tasks of the step run on one worker; 0 for no limit. */
    uint32_t maxPerWorker = 0;
    /** What the tasks run; tasks of the same image behave alike. */
    std::string image;
    /** The response time that a service must stay below; zero for none. */
    absl::Duration latencyTarget;
    /** At most this many tasks of a service may be down at once through the scheduler's own actions. */
    uint32_t maxUnavailable = 0;
};

/** Whether an external policy service must allow the workers of a step, and how long its calls take. */
struct AdvicePolicy {
    bool isNeeded = false;
    absl::Duration perCall;
    absl::Duration perWorker;
    /** How long a ticket is valid. */
    absl::Duration validity;
};

/** How a queue's work is to be treated. */
struct QueuePolicy {
    /** The queue's name in the configuration. */
    std::string queue;
    /** The workers that run its tasks. */
    std::string service;
    /** 0 is the most urgent. */
    uint32_t priority = 0;
    /** A job fails when one of its tasks has failed this often. */
    uint32_t maxAttempts = 1;
    /** A job is on time when it takes at most this many times its critical path plus `latencyTarget`. */
    double stretch = 1;
    absl::Duration latencyTarget;
    /** How long callers of the queue wait for a response. */
    absl::Duration callTimeout;
    AdvicePolicy advice;
};

/** A job as submitted. */
struct Submission {
    std::string id;
    /** The client account that submitted it; empty where the configuration names no accounts. */
    std::string account;
    /** Opaque to the scheduler; passed to the worker. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** How often the steps run; 0 for a job that runs once, immediately. */
    uint32_t occurrences = 0;
    /** When the first occurrence is due, in milliseconds since 1970, and the interval between occurrences. */
    int64_t startUnixMillis = 0;
    int64_t intervalMillis = 0;
};

/** What a caller asks about: the job with this id in this queue. Ids are chosen by callers, those of different queues
 * may choose the same one. */
struct JobAddress {
    std::string id;
    /** Empty where an entry of a former build passes the request on, which names no queue. */
    std::string queue;
};

/** Bounds on what a caller may submit. */
constexpr size_t maxPayloadBytes = 4000;
constexpr size_t maxSteps = 64;
constexpr uint32_t maxTasksPerStep = 10000;
constexpr uint32_t maxTasksPerSubmission = 20000;
constexpr uint32_t maxOccurrences = 10000;

/** When the occurrence of a job with occurrences is due, in milliseconds since 1970. A time beyond the type's range
 * becomes its largest number, which never comes. */
int64_t dueUnixMillis(const Submission&, uint32_t occurrence);
/** The capacity that one task of the step takes up on its worker. */
Resources demandOf(const StepSpec&);
/** The number of tasks of the job's widest step. */
uint32_t widestStep(const Submission&);
/** The class to which metrics count a job of this width. */
absl::string_view widthClass(uint32_t width);
/** The number of tasks with this demand that fit into the free capacity. */
uint64_t countFittingTasks(const Resources& demand, const Resources& free);
/** As above, with at most `maxPerWorker` tasks on a worker; 0 for no limit. */
uint64_t countFittingTasks(const Resources& demand, const Resources& free, uint32_t maxPerWorker);

/** Checks a submission; the error names the field and the remedy. */
Result<void> checkSubmission(const Submission&);

/** One task of a job. */
struct TaskName {
    std::string job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    friend bool operator==(const TaskName& a, const TaskName& b)
    {
        return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step && a.index == b.index;
    }
    friend bool operator<(const TaskName& a, const TaskName& b)
    {
        return std::tie(a.job, a.occurrence, a.step, a.index) < std::tie(b.job, b.occurrence, b.step, b.index);
    }
    // NOLINTNEXTLINE(readability-identifier-naming): Abseil looks for this name.
    template <typename H> friend H AbslHashValue(H h, const TaskName& name)
    {
        return H::combine(std::move(h), name.job, name.occurrence, name.step, name.index);
    }
};

/** One start of a task; run numbers increase from 1. */
struct TaskRun {
    TaskName task;
    uint32_t run = 0;

    friend bool operator==(const TaskRun& a, const TaskRun& b) { return a.run == b.run && a.task == b.task; }
    // NOLINTNEXTLINE(readability-identifier-naming): Abseil looks for this name.
    template <typename H> friend H AbslHashValue(H h, const TaskRun& run)
    {
        return H::combine(std::move(h), run.task, run.run);
    }
};

/** The task's name for logs. */
std::string describeTask(const TaskName&);
std::string describeRun(const TaskRun&);

} // namespace cicada
