#pragma once

/** \file
 * The rack owner's part in running jobs: holds capacity for the owners of jobs, starts the tasks that they commit, and
 * reports the runs. For each partition of jobs it accepts requests of one owner only, the one with the highest epoch.
 */

#include "PeerBus.h"
#include "WorkerFleet.h"

#include <map>
#include <memory>
#include <string>

namespace cicada {

/** Serves the requests of the owners of jobs. Used on the decision thread only. */
class RackController {
public:
    /** Everything in `parts`, and `peers`, must outlive the controller; `peers` also reaches this entry itself. */
    RackController(const WorkerFleet::Parts& parts, PeerBus& peers, std::unique_ptr<PlacementScore> score);

    void tick(Instant now);
    WorkerFleet& fleet() { return m_fleet; }
    /** The number of tasks for which capacity is held but not committed yet. */
    size_t heldTasks() const;

private:
    struct Partition {
        std::string owner;
        uint64_t epoch = 0;
        uint64_t version = 0;
        uint64_t reported = 0;
        /** All runs of the partition with the version of their last change. */
        absl::flat_hash_map<RunId, uint64_t> runs;
    };
    struct HeldAllocation {
        HoldTask task;
        std::string worker;
        std::string rack;
        RackRecovery recovery;
    };
    struct Hold {
        HoldRequest ask;
        std::vector<HeldAllocation> rooms;
    };
    /** The name of the job's owner, and the number of its request. */
    using HoldKey = std::pair<std::string, uint64_t>;
    /** Until the window closes, capacity is held only for its job and for jobs ordered before it. */
    struct PriorityWindow {
        JobOrder order;
        Instant until;
        Instant notBefore;
    };

    void handleSync(const std::string& from, const JobSync&);
    void handleHold(const std::string& from, const HoldRequest&);
    void handleCommit(const std::string& from, const HoldCommit&);
    void handleRelease(const std::string& from, const HoldRelease&);
    void handleStop(const std::string& from, const StopRuns&);
    void noteRun(const TaskRunReport&, bool isGone);
    bool isCurrentOwner(const std::string& from, uint32_t partition, uint64_t epoch) const;
    bool acceptOwner(const std::string& from, const PartitionSync&);
    void releaseExpiredHolds(const std::string& from, const JobSync&);
    std::map<HoldKey, Hold>::iterator release(std::map<HoldKey, Hold>::iterator hold);
    /** Whether the rack is still under the recovery in whose ledger the capacity was allocated. */
    bool isCurrent(const HeldAllocation& room) const { return m_fleet.recovery(room.rack) == room.recovery; }
    void returnCapacity(const HeldAllocation&);
    Hold holdCapacity(const HoldRequest&);
    SpreadCounts spreadOf(const HoldRequest&) const;
    bool isBlockedByPriority(const JobOrder&, Instant now) const;
    void updatePriorityWindow(const HoldRequest&, bool isWhole, Instant now);
    void preemptFor(const HoldRequest&, const HoldTask&);
    bool awaitsPreemption(const std::string& job);
    PartitionReport reportSince(uint32_t partition, uint64_t since);
    void sendReport(const std::string& to, std::vector<PartitionReport>, std::vector<RunId> forgotten);

    WorkerFleet::Parts m_parts;
    PeerBus& m_peers;
    std::unique_ptr<PlacementScore> m_score;
    absl::btree_map<uint32_t, Partition> m_partitions;
    std::map<HoldKey, Hold> m_holds;
    /** Committed requests, for recognizing repeated commits; kept while their owner lists them. */
    absl::flat_hash_set<HoldKey> m_committed;
    absl::flat_hash_map<std::string, std::vector<RunId>> m_preempted;
    PriorityWindow m_priorityWindow;
    uint64_t m_sequence = 0;
    WorkerFleet m_fleet;
};

} // namespace cicada
