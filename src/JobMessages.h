#pragma once

/** \file
 * Messages between entries to run jobs. The owner of a job asks the owners of racks to hold capacity for its tasks,
 * commits or releases what is held, and learns from their reports what runs where. None of this is stored: the workers
 * hold the state of their runs, and the reports pass it on to the next owner of the job.
 */

#include "Error.h"
#include "WorkerMessages.h"

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicada {

/** The services that the messages are addressed to. */
constexpr absl::string_view rackServiceSync = "racks.sync";
constexpr absl::string_view rackServiceHold = "racks.hold";
constexpr absl::string_view rackServiceCommit = "racks.commit";
constexpr absl::string_view rackServiceRelease = "racks.release";
constexpr absl::string_view rackServiceStop = "racks.stop";
constexpr absl::string_view jobServiceReport = "jobs.report";
constexpr absl::string_view jobServiceHeld = "jobs.held";
constexpr absl::string_view jobServiceGone = "jobs.gone";
constexpr absl::string_view jobServiceNotice = "jobs.notice";
constexpr absl::string_view jobServiceQuery = "jobs.query";
constexpr absl::string_view jobServiceReply = "jobs.answer";
constexpr absl::string_view jobServiceTeams = "jobs.teams";

/** A partition of jobs, the epoch of its owner, and the newest of the receiver's reports that the owner has applied. */
struct PartitionSync {
    uint32_t partition = 0;
    uint64_t epoch = 0;
    /** The session and version of the newest report applied; 0 for none. */
    uint64_t session = 0;
    uint64_t version = 0;
};

/** The owner of jobs presents its epochs; repeated as a heartbeat. */
struct JobSync {
    std::vector<PartitionSync> partitions;
    /** Hold requests up to this number that are not listed as live have been concluded; their capacity is freed. */
    uint64_t lastAsk = 0;
    std::vector<uint64_t> liveAsks;
    /** Runs to forget: their end is stored, or a later run has replaced them. */
    std::vector<RunId> forget;
};

/** Identifies one takeover of a rack. */
struct RackRecovery {
    /** The rack owner's epoch. */
    uint64_t epoch = 0;
    /** Differs for each change of the rack's owner, even if two owners had the same epoch. */
    uint64_t number = 0;

    friend bool operator==(const RackRecovery& a, const RackRecovery& b)
    {
        return a.epoch == b.epoch && a.number == b.number;
    }
    /** Whether this recovery is later than `other`. */
    bool supersedes(const RackRecovery& other) const
    {
        return epoch > other.epoch || (epoch == other.epoch && number != other.number);
    }
};

/** A rack that the sender owns and each of whose workers has reported to it or can no longer run anything. */
struct RackView {
    std::string rack;
    RackRecovery recovery;
};

/** A run with the rack where it runs. */
struct TaskRunReport {
    RunStatus status;
    std::string rack;
    RackRecovery recovery;
};

/** The changes to one partition's runs between two versions. */
struct PartitionReport {
    uint32_t partition = 0;
    uint64_t epoch = 0;
    uint64_t since = 0;
    uint64_t version = 0;
    std::vector<TaskRunReport> runs;
};

/** The owner of racks reports what runs there. */
struct JobReport {
    /** Differs for each incarnation of the sender. */
    uint64_t session = 0;
    /** Grows with each report of a session; older ones that arrive late are dropped. */
    uint64_t sequence = 0;
    std::vector<RackView> racks;
    std::vector<PartitionReport> partitions;
    /** Free capacity of all the sender's workers together. */
    Resources free;
    /** Runs that the sender has forgotten as requested. */
    std::vector<RunId> forgotten;
};

/** The order of jobs: by urgency, then by time of acceptance. */
struct JobOrder {
    int urgency = 5;
    int64_t acceptedMicros = 0;
    std::string job;

    friend bool operator<(const JobOrder& a, const JobOrder& b)
    {
        if (a.urgency != b.urgency)
            return a.urgency > b.urgency;
        if (a.acceptedMicros != b.acceptedMicros)
            return a.acceptedMicros < b.acceptedMicros;
        return a.job < b.job;
    }
};

/** One task to hold capacity for. */
struct HoldTask {
    uint32_t task = 0;
    Resources demand;
};

/** Requests that capacity be held for these tasks. */
struct HoldRequest {
    uint64_t askId = 0;
    uint32_t partition = 0;
    uint64_t epoch = 0;
    JobOrder order;
    bool gang = false;
    /** Whether to spread the tasks over racks and failure domains. */
    bool spread = false;
    /** Whether the tasks may be stopped at a checkpoint to free capacity for more urgent work. */
    bool preemptible = false;
    std::vector<HoldTask> tasks;
};

/** Capacity held for one task. */
struct HeldTask {
    uint32_t task = 0;
    std::string worker;
    std::string rack;
    RackRecovery recovery;
};

/** The tasks for which capacity is held; none was found for those missing. */
struct HoldReply {
    uint64_t askId = 0;
    uint64_t session = 0;
    std::vector<HeldTask> held;
};

/** The data with which a task starts in the capacity held for it. */
struct CommitTask {
    uint32_t task = 0;
    uint32_t run = 0;
    std::string command;
    std::string checkpoint;
};

/** Starts these tasks in the capacity held, and releases the rest of the request. Repeated until the runs are
 * reported. */
struct HoldCommit {
    uint64_t askId = 0;
    uint32_t partition = 0;
    uint64_t epoch = 0;
    std::vector<CommitTask> tasks;
};

/** Releases all capacity held for the request; nothing will be started for it. */
struct HoldRelease {
    uint64_t askId = 0;
};

/** The reply to a commit for which no capacity is held: nothing was started for it in this session. */
struct HoldGone {
    uint64_t askId = 0;
    uint64_t session = 0;
};

/** Requests that these runs be stopped. */
struct StopRuns {
    uint32_t partition = 0;
    uint64_t epoch = 0;
    std::vector<RunId> runs;
};

/** Notifies the owner that a job was stored. */
struct JobNotice {
    std::string job;
};

/** A caller's query for a job, or its cancellation. */
struct JobQuery {
    uint64_t queryId = 0;
    std::string job;
    bool cancel = false;
};

/** The reply to a JobQuery: the job as JSON for callers, or empty if the sender does not have the job. */
struct JobReply {
    uint64_t queryId = 0;
    std::string json;
};

/** The resources that one team's tasks use in the sender's jobs. */
struct TeamUsage {
    std::string team;
    Resources used;
};

/** All teams with jobs at the sender. */
struct TeamDigest {
    std::vector<TeamUsage> teams;
};

std::string encode(const JobSync&);
std::string encode(const JobReport&);
std::string encode(const HoldRequest&);
std::string encode(const HoldReply&);
std::string encode(const HoldCommit&);
std::string encode(const HoldRelease&);
std::string encode(const HoldGone&);
std::string encode(const StopRuns&);
std::string encode(const JobNotice&);
std::string encode(const JobQuery&);
std::string encode(const JobReply&);
std::string encode(const TeamDigest&);

/** Decodes a message of type T. Defined for each type above. */
template <typename T> Result<T> decodeJobMessage(absl::string_view bytes);

} // namespace cicada
