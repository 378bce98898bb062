#pragma once

/** \file
 * Decides what the crash of a worker says about a task that ran there. Several tasks run on a worker, and any of them
 * may have crashed it, or none. A task under which one worker has crashed is a suspect and runs apart from other jobs
 * from then on, so that the next crash shows whose fault it is. Without I/O; Cell supplies what it knows, and carries
 * the verdict out.
 */

#include "absl/strings/string_view.h"

#include <cstdint>

namespace cicada {

/** What the crash of its worker says about a run. */
enum class CrashedRun {
    /** The worker has not crashed since the run was ordered, or its next incarnation has listed the run. */
    None,
    /** The order may have reached the worker before it crashed, and may not. */
    Possible,
    /** The worker had confirmed or listed the run, and crashed while the run's lease lasted. */
    Counted,
    /** The worker can't be heard: it may be cut off. Counts for nothing. */
    Undecided,
    /** The worker has restarted, but the run's lease may have ended before. Counts for nothing by itself. */
    LateRestart,
};

/** What is known of a run that was lost with its worker. */
struct LostRun {
    /** The worker had confirmed or listed the run. */
    bool wasConfirmed = false;
    /** The order was sent, or a former owner may have sent it. */
    bool mayHaveArrived = false;
    /** The worker listed its runs, without this one, long after the start was ordered. */
    bool hasOutlivedStart = false;
    /** The worker's next incarnation is known, so this one has ended. */
    bool hasRestarted = false;
    /** The worker's incarnation ended while the run's lease lasted. */
    bool endedUnderLease = false;
};

CrashedRun crashedRunOf(const LostRun&);

/** When a task is given up because workers crash under it. */
struct CrashLimits {
    /** A task is given up when this many workers have crashed under it, whatever else ran there. Where the last of them
     * ran nothing but the task's job, one fewer is enough, not counting crashes that another run explains. Crashes
     * before which the run may not have begun count for the former only, and together with those that no other run
     * explains. */
    uint32_t maxCrashes = 3;
};

/** How many workers have crashed under a task. */
struct TaskCrashes {
    /** Those before which the run is known to have begun. */
    uint32_t all = 0;
    /** Those of them that no other run explains. */
    uint32_t unexplained = 0;
    /** Those before which the run may not have begun. */
    uint32_t possible = 0;
};

/** The least and the greatest value that `CrashLimits::maxCrashes` may have. With one, each task that ran on a worker
 * that loses power would be given up. */
constexpr uint32_t minMaxCrashes = 2;
constexpr uint32_t maxMaxCrashes = 10;

/** How a worker crashed, as seen by one of the jobs that had runs there. */
struct WorkerCrash {
    /** The worker ran nothing but the job. */
    bool ranOneJob = false;
    /** Other workers, on which the job had no run, went away at about the same time. */
    bool isSimultaneous = false;
    /** The run had just begun, which explains the crash even if a few others went away at that time. */
    bool isSoonAfterStart = false;
    /** A large part of the workers went away at about the same time. */
    bool isMassLoss = false;

    /** Whether the crash has a cause outside the tasks. */
    bool hasOtherCause() const { return isMassLoss || (isSimultaneous && !isSoonAfterStart); }
};

/** What a crash says about a task that ran on the worker. */
enum class CrashVerdict {
    /** The cause lies elsewhere, as when a rack loses power. */
    Unrelated,
    /** The task may be the cause. */
    Suspect,
    /** The task is not started again. */
    GiveUp,
};

/** The stable name of a verdict, for logs. */
absl::string_view crashVerdictName(CrashVerdict);

/** Decides about a task under which workers have crashed, the last of them as in `crash`. `isDeadlyWorkKnown` says that
 * tasks have lately been given up, so that simultaneous crashes need no other cause. */
CrashVerdict crashVerdict(
    const TaskCrashes& crashes, const WorkerCrash& crash, bool isDeadlyWorkKnown, const CrashLimits&);

} // namespace cicada
