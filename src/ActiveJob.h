#pragma once

/** \file
 * The state machine of one job at its owner: the phase of each task, and the transitions that reports of runs cause.
 * All of its state is either in the stored record or reported again by the workers, so that the next owner reconstructs
 * the same state.
 */

#include "Clock.h"
#include "Job.h"
#include "JobMessages.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include <string>
#include <vector>

namespace cicada {

/** The phase of a task. */
enum class TaskPhase {
    Waiting,
    /** A hold request for it is in flight. */
    Requested,
    /** Capacity is held; the release is being stored, or the rest of a gang is awaited. */
    Held,
    /** Released to start; its run has not been reported yet. */
    Committed,
    /** Its run has been reported as starting or running. */
    Active,
    Ended,
};

/** One task of an active job. */
struct ActiveTask {
    TaskPhase phase = TaskPhase::Waiting;
    /** The number of the current run, or of the next one while it waits. */
    uint32_t run = 0;
    /** Whether any run of it was reported to this owner. */
    bool wasReported = false;
    std::string worker;
    std::string rack;
    RackRecovery recovery;
    std::string checkpoint;
    int failures = 0;
    /** How many runs in a row were lost or stopped. */
    int losses = 0;
    /** When the current run was first reported to this owner, while the task is active. */
    Instant activeSince = absl::ZeroDuration();
    /** The next run starts no earlier. */
    Instant pausedUntil = absl::ZeroDuration();
};

/** A job with its tasks. Not thread-safe. */
class ActiveJob {
public:
    explicit ActiveJob(JobRecord record);

    const JobRecord& record() const { return m_record; }
    /** Merges the stored record after a write. */
    void merge(const JobRecord& stored) { mergeInto(m_record, stored); }
    const std::vector<ActiveTask>& tasks() const { return m_tasks; }
    /** Sets the current profile. If the profile was deleted, the stored copy stays in use. */
    void setProfile(const Profile& profile) { m_record.profile = profile; }
    JobOrder order() const;
    bool hasEnded() const { return m_record.state != JobState::Accepted; }
    /** Whether every task has its final mark, even if the end is not stored yet. */
    bool isDone() const;
    bool isGang() const { return m_record.spec.gang; }
    bool mustNotRunTwice(uint32_t task) const;

    /** Applies one reported run. */
    void apply(const TaskRunReport& run, Instant now);
    /** The current owner of a rack has recovered it and reported every run there. Runs that were reported under another
     * recovery, and not again under this one, were lost with their workers. */
    void noteRackRecovered(const std::string& rack, const RackRecovery& recovery, Instant now);
    /** Called after all reports of a recovery: a released task that no worker reported is marked unknown. */
    void finishRecovery();

    /** The waiting tasks that may start now, as they do not pause after losses. A gang waits for all of its tasks. */
    std::vector<uint32_t> startableTasks(Instant now) const;
    /** When startableTasks() begins to list any; infinite if no task waits. */
    Instant startableFrom() const;
    void noteRequested(uint32_t task) { m_tasks[task].phase = TaskPhase::Requested; }
    void noteHeld(const HeldTask& held);
    /** Returns the task to waiting; nothing was started. */
    void noteReleased(uint32_t task);
    void noteNotStarted(uint32_t task);
    void noteCommitted(uint32_t task) { m_tasks[task].phase = TaskPhase::Committed; }
    /** Counts a release in the record, which is stored before the start. */
    void markReleased(uint32_t task);
    /** Gives every task its final mark and the job its end. */
    void cancel(int64_t nowMicros);
    /** Ends the job as not run; requires that none of its tasks was released. */
    void giveUp(int64_t nowMicros);
    /** Whether no task has been released yet. */
    bool isNeverReleased() const;
    void end(int64_t nowMicros);

    /** Runs to stop because the job has ended or a later run has replaced them. */
    std::vector<RunId> runsToStop() const;
    /** Ended runs that are no longer needed because a later run or the stored end of the job supersedes them. */
    std::vector<RunId> runsToForget(bool isEndStored) const;
    void forget(const RunId& id) { m_runs.erase(id); }
    bool hasRuns() const { return !m_runs.empty(); }
    /** The resources of all tasks whose capacity is requested, held or in use. */
    Resources used() const;
    /** Reported runs and whether each is active. */
    const absl::flat_hash_map<RunId, TaskRunReport>& runs() const { return m_runs; }

    /** The job as callers see it. */
    std::string toJson() const;

    /** How often a task may fail before that is its end. */
    static constexpr int maxFailures = 3;
    /** How long a task waits for its next run after so many losses in a row. A loss says nothing against the task, as
     * its worker or the way to it may be at fault, so it never ends a task that may run twice. */
    static absl::Duration pauseAfter(int losses);
    /** The pause after the second loss in a row; each further loss doubles it. There is none after the first. */
    static constexpr absl::Duration firstPause = absl::Seconds(1);
    static constexpr absl::Duration maxPause = absl::Seconds(60);
    /** A run that was at work for this long, which is more than a lease, begins a new row of losses. */
    static constexpr absl::Duration steadyTime = absl::Seconds(60);

private:
    void handleRunEnd(uint32_t task, const RunStatus& status, Instant now);
    void noteVanished(uint32_t task, Instant now);
    std::vector<uint32_t> waitingTasks() const;
    void prepareNextRun(ActiveTask& task);
    void setMark(uint32_t task, TaskMark mark);
    void endAll(TaskMark mark, JobState state, int64_t nowMicros);

    JobRecord m_record;
    std::vector<ActiveTask> m_tasks;
    absl::flat_hash_map<RunId, TaskRunReport> m_runs;
};

} // namespace cicada
