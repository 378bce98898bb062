#pragma once

/** \file
 * Manages the workers of the racks that this entry owns: presents the epoch, recovers the runs there, renews leases,
 * starts and stops runs, and keeps the exact ledger of allocations. A run is considered gone only if its worker
 * reported that or its lease has certainly expired.
 */

#include "Clock.h"
#include "JobMessages.h"
#include "Ownership.h"
#include "TaskPlacement.h"
#include "WorkerClient.h"
#include "WorkerSuspension.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/functional/any_invocable.h"

#include <functional>
#include <string>
#include <vector>

namespace cicada {

/** The workers of the owned racks. Used on the decision thread only. */
class WorkerFleet {
public:
    struct Parts {
        Ownership& ownership;
        BackEnds& backEnds;
        const Clock& clock;
        WorkerClient& client;
        /** The largest relative error between two machines' clocks. */
        double clockDriftBound = 0.01;
        /** Differs for each incarnation of this entry; the numbers that name recoveries start from it. */
        uint64_t session = 1;
        /** Whether operators plan to stop the back end. */
        std::function<bool(const BackEnd&)> isStopping = [](const BackEnd&) { return false; };
    };
    /** Notified of each change of a run; `isGone` is set when this entry no longer manages the run. */
    using RunObserver = absl::AnyInvocable<void(const TaskRunReport&, bool isGone)>;

    /** Everything in `parts` must outlive the fleet. */
    WorkerFleet(Parts parts, RunObserver observer);

    void tick(Instant now);
    /** The owned racks each of whose workers has replied or can no longer run anything. */
    std::vector<RackView> recoveredRacks() const;
    /** The current recovery of an owned rack; an empty one for other racks. */
    RackRecovery recovery(absl::string_view rack) const;
    WorkerLedger& ledger() { return m_ledger; }
    const WorkerLedger& ledger() const { return m_ledger; }

    /** Starts a run whose capacity on `worker` is already allocated in the ledger. Sets the epoch and the ticket. */
    void startRun(const std::string& worker, WorkerStart start);
    /** Stops a run, at a checkpoint if `checkpoint` is set; repeated until the worker confirms. */
    void stopRun(const RunId& id, bool checkpoint);
    /** Forgets a run that has ended. */
    void forgetRun(const RunId& id);
    const TaskRunReport* find(const RunId& id) const;
    /** Active runs on a worker that may be preempted by work of the given urgency. */
    std::vector<RunStatus> preemptible(const std::string& worker, int urgency) const;
    /** The number of active runs on a worker. */
    size_t activeRuns(const std::string& worker) const;

    /** The time without a fresh ticket after which nothing can run on a worker any more. */
    absl::Duration leaseExpiryTime() const;

private:
    struct Run {
        TaskRunReport report;
        WorkerStart start;
        bool startSent = false;
        Instant startSentAt;
        Instant runningSince;
        bool stopWanted = false;
        bool atCheckpoint = false;
        bool stopInFlight = false;
        Instant nextStop;
    };
    struct Worker {
        BackEnd info;
        bool isListed = true;
        bool isRecovered = false;
        std::string ticket;
        /** When the newest ticket was received, or the rack was taken over. */
        Instant lastReplyAt;
        bool isSyncing = false;
        uint64_t syncNumber = 0;
        Instant syncSentAt;
        Instant nextSync;
        absl::flat_hash_set<RunId> runs;
        std::vector<RunId> forget;
        WorkerSuspension suspension;
    };
    struct Rack {
        uint64_t epoch = 0;
        RackRecovery recovery;
        std::vector<std::string> workers;
    };

    void handleOwnership(absl::string_view group, uint64_t epoch, bool owned);
    void reconcile();
    void gain(const std::string& rack, uint64_t epoch);
    void lose(const std::string& rack);
    void refreshWorkers();
    bool isLeaving(const Worker& worker) const { return worker.info.leaving || m_parts.isStopping(worker.info); }
    /** Stops the preemptible runs on a worker with a planned stop at a checkpoint; the others finish there. */
    void checkpointLeaving(const Worker& worker);
    void removeDrained();
    void tickWorker(Worker& worker, const Term& term, Instant now);
    void sendSync(Worker& worker, uint64_t epoch, Instant now);
    void handleView(
        const std::string& name, const RackRecovery& recovery, uint64_t number, Instant sentAt, Result<WorkerView>);
    void applyStatus(Worker& worker, const RunStatus& status);
    void checkUnlisted(Worker& worker, const absl::flat_hash_set<RunId>& listed, Instant sentAt);
    void expireLeases(Worker& worker, Instant now);
    void sendStarts(Instant now);
    void sendStops(Instant now);
    /** Returns false if it cannot be sent yet. */
    bool sendStart(Run& run, Instant now);
    bool sendStop(Run& run, Instant now);
    void setState(Run& run, RunState state, const std::string& checkpoint = "");
    void recordRunEnd(Worker& worker, RunState state);
    void updateUsable(Worker& worker, Instant now);
    size_t suspendedCount(Instant now) const;
    std::optional<Term> currentTerm(const std::string& rack) const;
    Worker* workerOf(const Run& run);

    Parts m_parts;
    RunObserver m_observer;
    WorkerLedger m_ledger;
    absl::btree_map<std::string, Rack> m_racks;
    absl::btree_map<std::string, Worker> m_workers;
    absl::flat_hash_map<RunId, Run> m_runs;
    std::vector<RunId> m_toStart;
    std::vector<RunId> m_toStop;
    uint64_t m_recoveries = 0;
    Instant m_nextTick;
};

} // namespace cicada
