#pragma once

/** \file
 * Decides which tasks are suspects, under which a worker has crashed, and how much each is to be suspected: one that
 * had been at work for long when another had just begun beside it is likely sound, one that alone had just begun is
 * likely deadly. Without I/O. Not thread-safe.
 */

#include "CellJob.h"
#include "Clock.h"
#include "CrashDelays.h"
#include "CrashVerdict.h"

#include <vector>

namespace cicada {

/** Judges tasks by what is known now of how soon tasks crash their workers. */
class SuspectTasks {
public:
    /** Both must outlive this object. */
    SuspectTasks(const CrashDelays& delays, const Clock& clock)
        : m_crashDelays(delays)
        , m_clock(clock)
    {
    }

    /** How many workers have crashed under the task. */
    TaskCrashes crashesOf(const CellTask& task) const;
    /** Whether runs that had just begun beside the task are the likely causes of all crashes under it. */
    bool isLikelySound(const CellTask& task) const;
    /** Whether nothing else explains several crashes under the task, or only it had just begun at the last one. */
    bool isLikelyDeadly(const CellTask& task) const;
    /** Whether workers crashed under several of the job's tasks, so that one of them shows what to expect of all. */
    bool isSuspectAsAWhole(const CellJob& job) const;
    /** Whether tasks of the step that are no suspects have to wait until one of the job's suspects has finished. */
    bool isHeldBack(const CellJob& job, StepRef ref) const;
    /** Whether no worker of their own was to be had for the job's suspects for long. */
    bool hasWaitedForIsolation(const CellJob& job) const;
    /** Whether the task may only start on a worker without other jobs. */
    bool runsApart(const CellJob& job, const CellTask& task) const;
    /** The waiting tasks of the step that may only start apart, by index; the likely cause of a crash comes last. */
    std::vector<uint32_t> waitingSuspects(const CellJob& job, StepRef ref) const;
    /** Whether the step is a gang with suspects, which starts on workers that run no suspects of other jobs. */
    bool isSuspectGang(const CellJob& job, StepRef ref) const;
    /** Whether the task has been at work for so long that it no longer keeps others from its worker. */
    bool isProven(const CellTask& task) const;
    /** Whether the task is a suspect at work that is not proven. */
    bool mayCrashWorker(const CellTask& task) const;
    /** Whether a waiting task of the step may start beside other jobs. */
    bool hasWorkForSharedWorkers(const CellJob& job, StepRef ref) const;

private:
    const CrashDelays& m_crashDelays;
    const Clock& m_clock;
};

} // namespace cicada
