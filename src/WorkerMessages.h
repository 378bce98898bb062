#pragma once

/** \file
 * The workers' contract as data: how an owner presents its epoch, renews leases, starts and stops tasks. Everything
 * that may give a task more time carries a ticket which the worker issued a moment ago by its own clock, so that a
 * message that was held up on its way, or in a paused sender, does nothing.
 */

#include "BackEnds.h"
#include "Error.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicada {

/** How long a task runs on without a renewal before its worker stops it. */
constexpr absl::Duration taskLease = absl::Seconds(15);
/** How long a worker honours a ticket, by its own clock. */
constexpr absl::Duration ticketValidity = absl::Seconds(5);

/** One run of one task: the task's job and index, and how often it was released before. */
struct RunId {
    std::string job;
    uint32_t task = 0;
    uint32_t run = 0;

    friend bool operator==(const RunId& a, const RunId& b)
    {
        return a.job == b.job && a.task == b.task && a.run == b.run;
    }
    // Abseil finds the function by this name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    template <typename H> friend H AbslHashValue(H h, const RunId& id)
    {
        return H::combine(std::move(h), id.job, id.task, id.run);
    }
};

/** "job/task/run". */
std::string toString(const RunId&);
Result<RunId> parseRunId(absl::string_view text);

/** Where a run stands. */
enum class RunState {
    /** Handed to the worker; whether it started is not known yet. Never said by a worker. */
    Starting,
    Running,
    Finished,
    Failed,
    /** Stopped on request. */
    Stopped,
    /** Stopped at a checkpoint, from which a later run goes on. */
    Checkpointed,
    /** Its lease ran out and the worker stopped it, or the worker vanished with it. */
    Lost,
    /** It never started and never will. */
    NotStarted,
};

/** Whether a run in this state may still be running, so that its room is taken. */
inline bool isActive(RunState state) { return state == RunState::Starting || state == RunState::Running; }

/** One run as its worker, or the owner of its rack, tells it. */
struct RunStatus {
    RunId id;
    RunState state = RunState::Running;
    Resources demand;
    int urgency = 5;
    bool preemptible = false;
    std::string checkpoint;
    /** The worker; filled in by the owner of its rack. */
    std::string worker;
};

/** Presents an epoch, renews leases, and forgets runs whose end is stored. */
struct WorkerSync {
    uint64_t epoch = 0;
    std::string ticket;
    absl::Duration lease = taskLease;
    std::vector<RunId> renew;
    std::vector<RunId> forget;
};

/** The reply to a sync. */
struct WorkerView {
    /** False when the worker has seen a higher epoch; then nothing else counts. */
    bool accepted = false;
    std::string ticket;
    std::vector<RunStatus> runs;
    /** What the tasks really use, as of a while ago. */
    Resources usage;
};

/** Starts one run. */
struct WorkerStart {
    uint64_t epoch = 0;
    std::string ticket;
    absl::Duration lease = taskLease;
    RunId id;
    Resources demand;
    int urgency = 5;
    bool preemptible = false;
    std::string command;
    /** Where to go on; empty for the beginning. */
    std::string checkpoint;
};

/** Stops one run, at a checkpoint if `checkpoint` is set. A run that has not started never will. */
struct WorkerStop {
    uint64_t epoch = 0;
    RunId id;
    bool checkpoint = false;
};

std::string encode(const WorkerSync&);
std::string encode(const WorkerView&);
std::string encode(const WorkerStart&);
std::string encode(const WorkerStop&);
Result<WorkerSync> decodeWorkerSync(absl::string_view json);
Result<WorkerView> decodeWorkerView(absl::string_view json);
Result<WorkerStart> decodeWorkerStart(absl::string_view json);
Result<WorkerStop> decodeWorkerStop(absl::string_view json);

} // namespace cicada
