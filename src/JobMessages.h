#pragma once

/** \file
 * Messages between entries to run jobs. The owner of a job asks the owners of racks to hold capacity for its tasks,
 * commits or releases what is held, and learns from their reports what runs where. Nothing of that is stored: the
 * workers know what they run, and the reports tell it to the next owner of the job.
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

/** A partition of jobs, the epoch of its owner, and how much of the receiver's reports the owner has seen. */
struct PartitionSync {
    uint32_t partition = 0;
    uint64_t epoch = 0;
    /** The session and version of the newest report applied; 0 for none. */
    uint64_t session = 0;
    uint64_t version = 0;
};

/** The owner of jobs presents itself; repeated as a heartbeat. */
struct JobSync {
    std::vector<PartitionSync> partitions;
    /** Asks up to this one that are not among the live ones are over, and what is held for them is free. */
    uint64_t lastAsk = 0;
    std::vector<uint64_t> liveAsks;
    /** Runs whose end is stored, or that a later run has replaced. */
    std::vector<RunId> forget;
};

/** One taking over of a rack. */
struct RackRecovery {
    /** The rack owner's epoch. */
    uint64_t epoch = 0;
    /** Differs each time that the rack changes hands, also where two owners had the same epoch. */
    uint64_t number = 0;

    friend bool operator==(const RackRecovery& a, const RackRecovery& b)
    {
        return a.epoch == b.epoch && a.number == b.number;
    }
    /** Whether this one came after `other`. */
    bool supersedes(const RackRecovery& other) const
    {
        return epoch > other.epoch || (epoch == other.epoch && number != other.number);
    }
};

/** A rack that the sender owns and whose workers it has heard, or knows to run nothing any more. */
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

/** What changed in one partition's runs between two versions. */
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
    /** Runs that the sender was asked to forget and has forgotten. */
    std::vector<RunId> forgotten;
};

/** Where a job stands among others: the more urgent first, then the earlier accepted. */
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

/** "Hold room for these tasks." */
struct HoldRequest {
    uint64_t askId = 0;
    uint32_t partition = 0;
    uint64_t epoch = 0;
    JobOrder order;
    bool gang = false;
    /** Spread the tasks over racks and failure domains. */
    bool spread = false;
    /** May be stopped at a checkpoint to make room for more urgent work. */
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

/** The tasks for which room is held; those missing found none. */
struct HoldReply {
    uint64_t askId = 0;
    uint64_t session = 0;
    std::vector<HeldTask> held;
};

/** What a task needs to start in the room held for it. */
struct CommitTask {
    uint32_t task = 0;
    uint32_t run = 0;
    std::string command;
    std::string checkpoint;
};

/** "Start these in the room held; the rest of the ask is released." Repeated until the runs are reported. */
struct HoldCommit {
    uint64_t askId = 0;
    uint32_t partition = 0;
    uint64_t epoch = 0;
    std::vector<CommitTask> tasks;
};

/** "Nothing will be started for this ask." */
struct HoldRelease {
    uint64_t askId = 0;
};

/** The reply to a commit whose room is not held: nothing was started for it under this session. */
struct HoldGone {
    uint64_t askId = 0;
    uint64_t session = 0;
};

/** "Stop these runs." */
struct StopRuns {
    uint32_t partition = 0;
    uint64_t epoch = 0;
    std::vector<RunId> runs;
};

/** "This job was stored." */
struct JobNotice {
    std::string job;
};

/** A caller's question after a job, or its cancellation. */
struct JobQuery {
    uint64_t queryId = 0;
    std::string job;
    bool cancel = false;
};

/** The reply: the job as JSON for callers, or empty when the sender can't tell. */
struct JobReply {
    uint64_t queryId = 0;
    std::string json;
};

/** What one team's tasks take at the sender's jobs. */
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

/** Decodes a message of the type that is asked for. Defined for each type above. */
template <typename T> Result<T> decodeJobMessage(absl::string_view bytes);

} // namespace cicada
