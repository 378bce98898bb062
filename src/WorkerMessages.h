#pragma once

/** \file
 * The messages of the workers' contract, with which an owner presents its epoch, renews leases, and starts and stops
 * tasks. Every message that can extend a task's lease carries a ticket that the worker issued recently by its own
 * clock, so that a message that was delayed in the network, or in a paused sender, has no effect.
 */

#include "BackEnds.h"
#include "Error.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicada {

/** How long a task runs without a lease renewal before its worker stops it. */
constexpr absl::Duration taskLease = absl::Seconds(15);
/** How long a worker accepts a ticket, by its own clock. */
constexpr absl::Duration ticketValidity = absl::Seconds(5);

/** Identifies one run of a task: the job, the index of the task, and how often the task was released before. */
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

/** The state of a run. */
enum class RunState {
    /** Sent to the worker, which has not confirmed the start yet. Workers never report this state. */
    Starting,
    Running,
    Finished,
    Failed,
    /** Stopped on request. */
    Stopped,
    /** Stopped at a checkpoint, from which a later run resumes. */
    Checkpointed,
    /** Stopped by the worker when its lease expired, or lost together with the worker. */
    Lost,
    /** Never started, and never will be. */
    NotStarted,
};

/** Whether a run in this state may still be running and therefore occupies its capacity. */
inline bool isActive(RunState state) { return state == RunState::Starting || state == RunState::Running; }

/** One run as reported by its worker or by the owner of its rack. */
struct RunStatus {
    RunId id;
    RunState state = RunState::Running;
    Resources demand;
    int urgency = 5;
    bool preemptible = false;
    std::string checkpoint;
    /** The name of the worker, set by the owner of its rack. */
    std::string worker;
};

/** Presents an epoch, renews leases, and tells the worker to forget runs whose end is stored. */
struct WorkerSync {
    uint64_t epoch = 0;
    std::string ticket;
    absl::Duration lease = taskLease;
    std::vector<RunId> renew;
    std::vector<RunId> forget;
};

/** The reply to a sync. */
struct WorkerView {
    /** False if the worker has seen a higher epoch; the other fields are meaningless then. */
    bool accepted = false;
    std::string ticket;
    std::vector<RunStatus> runs;
    /** The measured resource usage of the tasks; it lags. */
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
    /** The checkpoint to resume from; empty to start from the beginning. */
    std::string checkpoint;
};

/** Stops one run, at a checkpoint if `checkpoint` is set. A run that has not started yet never will. */
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
