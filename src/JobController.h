#pragma once

/** \file
 * Runs the jobs of the partitions that this entry owns: takes over the partitions, learns from the owners of racks what
 * runs there, requests capacity from them, releases tasks to start, and concludes each job. New capacity is requested
 * for a partition's jobs only after the owner of every rack has reported its runs.
 */

#include "ActiveJob.h"
#include "EntryView.h"
#include "JobRecords.h"
#include "Ownership.h"
#include "PeerBus.h"
#include "Quotas.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace cicada {

/** Drives the jobs of the owned partitions. Used on the decision thread only. */
class JobController {
public:
    struct Parts {
        std::string name;
        PeerBus& peers;
        Ownership& ownership;
        BackEnds& backEnds;
        const Clock& clock;
        JobRecords& records;
        Quotas& quotas;
        /** Whether operators plan to stop the back end. */
        std::function<bool(const BackEnd&)> isStopping;
        uint64_t seed = 1;
    };
    /** Returns the current profile of a name, or null. */
    using ProfileLookUp = absl::AnyInvocable<const Profile*(const std::string&)>;
    /** Receives the job as JSON, or an error. */
    using ReplyCallback = absl::AnyInvocable<void(Result<std::string>)>;

    /** Everything in `parts` must outlive the controller; the peers also reach this entry itself. */
    JobController(Parts parts, ProfileLookUp lookUp);

    void tick(Instant now);
    /** Called when a job was stored; has no effect unless this entry owns the job. */
    void noteStored(const std::string& id);
    /** Whether this entry owns the job's partition and has taken it over. */
    bool isReady(const std::string& id) const;
    /** Returns the job as JSON if this entry has it. */
    std::optional<std::string> find(const std::string& id) const;
    /** Cancels a job that this entry has; the cancellation takes effect once it is stored. */
    void cancel(const std::string& id, ReplyCallback callback);

    size_t jobCount() const { return m_jobs.size(); }
    size_t pendingHoldCount() const { return m_pendingHolds.size(); }

    /** How long a record of an ended job is kept. */
    static constexpr absl::Duration endedRetention = absl::Hours(1);

private:
    enum class Recovery { Listing, AwaitingReports, Ready };
    struct Partition {
        uint64_t epoch = 0;
        Recovery recovery = Recovery::Listing;
        bool isListing = false;
        Instant nextList;
    };
    struct Job {
        std::unique_ptr<ActiveJob> active;
        /** The key of the job in m_waiting. */
        JobOrder order;
        bool isDirty = true;
        bool isStoringEnd = false;
        bool isEndStored = false;
        /** Whether the job had no owner before, so that any task this owner has not released was never released. */
        bool isFirstOwner = false;
        Instant addedAt;
        Instant nextAttempt;
        /** When the pauses of its waiting tasks let the job start any; updated with m_waiting. */
        Instant startableFrom;
        Instant nextCheck;
        int refusals = 0;
        std::vector<ReplyCallback> cancelCallbacks;
        /** The hold requests of the current round, and the entries that they were sent to. */
        absl::btree_set<uint64_t> holds;
        absl::btree_set<std::string> queried;
    };
    struct PendingHold {
        std::string entry;
        std::string job;
        Instant sentAt;
        bool hasReply = false;
        bool isCommitted = false;
        uint64_t session = 0;
        Instant committedAt;
        std::vector<uint32_t> tasks;
        std::vector<HeldTask> held;
    };

    void handleOwnership(absl::string_view group, uint64_t epoch, bool owned);
    void gain(uint32_t partition, uint64_t epoch);
    void lose(uint32_t partition);
    void listJobs(uint32_t partition);
    void addRecord(JobRecord record);
    void checkRecovered(uint32_t number, Partition& partition);
    const PartitionView* viewOf(const std::string& entry, uint32_t partition) const;
    void refreshRacks();
    std::string rackOwner(const std::string& rack) const;
    void sendSyncs();
    JobSync syncFor(const std::string& entry, const EntryView& view) const;
    void sendTeams();
    void handleReport(const std::string& from, const JobReport&);
    void applyPartition(
        const std::string& from, EntryView&, const PartitionReport&, const std::shared_ptr<const RackRecoveries>&);
    void applyRun(const std::string& from, EntryView&, const TaskRunReport&);
    void applyRackRecoveries(uint32_t partition);
    void noteForgotten(EntryView&, const std::vector<RunId>&);
    void audit(Instant now);
    void handleHeld(const std::string& from, const HoldReply&);
    void handleGone(const std::string& from, const HoldGone&);
    void tickJobs(Instant now);
    void tickJob(const std::string& id, Job& job, Instant now);
    void tickHolds(Instant now);
    void placeWaiting(Instant now);
    void requestNextHold(Job& job, Instant now);
    std::string chooseEntry(const Job& job) const;
    std::vector<uint32_t> allowedTasks(const Job& job, Instant now) const;
    void sendRequest(Job& job, const std::string& entry, const std::vector<uint32_t>& tasks, Instant now);
    void finishRound(Job& job, bool madeProgress, Instant now);
    void release(Job& job, uint64_t holdId);
    void releaseUncommitted(Job& job);
    void storeAndCommit(Job& job, std::vector<uint64_t> holds);
    void commit(Job& job, uint64_t holdId);
    void tickHold(uint64_t holdId, PendingHold& hold, Instant now);
    void sendCommit(uint64_t holdId, PendingHold& hold);
    void dropHold(uint64_t holdId);
    /** Gives up a job that has waited longer than its profile allows, if the profile sheds on shortage. */
    void shedIfLate(Job& job, Instant now);
    void refreshProfile(Job& job);
    void updateWaiting(Job& job);
    void storeEnd(Job& job);
    void stopRuns(Job& job);
    /** Active runs of services on workers with a planned stop; they never end by themselves and are restarted
     * elsewhere. */
    std::vector<RunId> servicesToMove(const Job& job) const;
    void forgetRuns(Job& job);
    std::optional<uint64_t> epochOf(const std::string& job) const;
    Job* findJob(const std::string& id);

    Parts m_parts;
    ProfileLookUp m_lookUp;
    std::mt19937_64 m_random;
    absl::btree_map<uint32_t, Partition> m_partitions;
    absl::btree_map<std::string, Job> m_jobs;
    /** Jobs with waiting tasks, ordered by urgency and then by age. */
    absl::btree_set<JobOrder> m_waiting;
    absl::btree_map<uint64_t, PendingHold> m_pendingHolds;
    uint64_t m_lastHold = 0;
    absl::btree_map<std::string, EntryView> m_views;
    absl::flat_hash_map<std::string, Resources> m_teamUse;
    /** The racks of all known workers. */
    std::vector<std::string> m_racks;
    Instant m_nextTick;
    Instant m_nextSync;
    Instant m_nextAudit;
    uint32_t m_auditCursor = 0;
};

} // namespace cicada
