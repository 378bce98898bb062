#pragma once

/** \file
 * The owner's side of a cell: a set of workers together with the jobs that are placed on them. One entry owns a cell
 * at a time, so room, order, attempts and cancels have a single writer. Everything that a next owner must know is
 * stored before it is acted on: a job before its acceptance is answered, the intent to start a run before the order is
 * sent, an end before the worker may forget it. A former owner can do no harm: its orders carry a lower fencing token,
 * and its writes name a row that has changed.
 */

#include "Advisor.h"
#include "CellJob.h"
#include "CellWorker.h"
#include "DurableWriter.h"
#include "Metrics.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include <functional>
#include <map>
#include <memory>

namespace cicada {

/** The bounds that the platform sets, and what follows from them. */
struct CellBounds {
    /** The longest lease that a worker grants. */
    absl::Duration maxLease = absl::Seconds(6);
    /** How long the end of a job can be asked for. */
    absl::Duration endedRetention = absl::Seconds(120);
};

/** The right to act for a cell. */
struct CellTerm {
    uint32_t cell = 0;
    /** How many cells there are; a worker belongs to one by its rack. */
    uint32_t cells = 1;
    /** The cell's row and the revision under which this entry holds it, which is also the fencing token. */
    std::string row;
    uint64_t token = 0;
};

/** What became of a request about a job. */
enum class CellOutcome {
    /** Stored, now or before. */
    Accepted,
    /** Not accepted: it has not run and will not. */
    Refused,
    Found,
    Cancelled,
    /** There is no such job, or it ended too long ago. */
    Gone,
    /** This entry does not own the cell any more. */
    NotOwner,
};

struct CellReply {
    CellOutcome outcome = CellOutcome::NotOwner;
    JobPhase phase = JobPhase::Queued;
};

/** Owns one cell for one term. Used on the decision thread only; callbacks may run within the call. */
class Cell {
public:
    using Reply = absl::AnyInvocable<void(CellReply)>;
    struct Parts {
        TransactionalStore& store;
        WorkerOrders& orders;
        WorkerRoster& roster;
        AdvisorSlots& advisorSlots;
        TimerQueue& timers;
        EventLog& log;
        Metrics& metrics;
        CellBounds bounds;
        /** The policy in force of a queue, or null when the configuration has it no more. */
        std::function<const QueuePolicy*(const std::string& queue)> policyOf;
        /** Another entry owns the cell: this one must be destroyed, not within the call. */
        std::function<void(const std::string& why)> onSuperseded;
    };

    /** Everything in `parts` must outlive the cell. */
    Cell(Parts parts, CellTerm term);
    ~Cell();

    /** Reads what is stored and takes the workers over. */
    void start();
    /** Whether the stored jobs have been read; requests wait until then. */
    bool isLoaded() const { return m_isLoaded; }
    const CellTerm& term() const { return m_term; }

    /** `deadline` is when the caller stops waiting. */
    void submit(Submission, QueuePolicy, Reply);
    void query(const std::string& id, Reply);
    void cancel(const std::string& id, Reply);
    /** Stored jobs of the queue of which no task has started. */
    size_t pending(const std::string& queue) const;

    size_t jobCount() const { return m_jobs.size(); }
    /** The store answers again after it did not. */
    void handleStoreRecovered() { m_writer.retryNow(); }

private:
    using JobTable = absl::flat_hash_map<std::string, std::unique_ptr<CellJob>>;
    /** Ready steps in the order in which they get room. */
    struct Rank {
        /** Work that can no longer be on time goes behind work that can. */
        bool isLate = false;
        uint32_t priority = 0;
        Instant latestStart;
        std::string job;
        StepRef ref;

        bool operator<(const Rank& other) const
        {
            return std::tie(isLate, priority, latestStart, job, ref)
                < std::tie(other.isLate, other.priority, other.latestStart, other.job, other.ref);
        }
    };
    /** Free room of some workers that one step keeps from the others during a round of placement. */
    struct Reservation {
        const Rank* rank = nullptr;
        std::vector<std::pair<CellWorker*, Resources>> freeCapacities;

        void hold() const;
        void release() const;
    };
    struct Choice {
        uint32_t index = 0;
        CellWorker* worker = nullptr;
    };

    // Cell.cpp: stored records and requests.
    std::string jobKey(const std::string& id) const;
    std::string runKey(const std::string& id) const;
    void load(const std::string& prefix, const std::string& afterKey, absl::AnyInvocable<void()> then);
    void finishLoading();
    void loadJobRecord(const std::string& id, const StoreEntry& entry);
    void loadRunRecord(const std::string& id, const StoreEntry& entry);
    std::optional<std::string> valueOf(const std::string& key) const;
    void runWhenLoaded(absl::AnyInvocable<void()> request);
    void acceptJob(Submission, QueuePolicy, Reply);
    void cancelJob(const std::string& id, Reply);
    void storeJob(CellJob& job);
    /** Stores the job's runs; `done` is called once they are durable. */
    void storeRuns(CellJob& job, DurableWriter::Done done);
    void endJob(CellJob& job, JobPhase phase, absl::string_view cause);
    void removeExpiredJobs();
    const QueuePolicy& policyOf(CellJob& job);
    CellJob* findJob(const std::string& id);
    /** Wraps a callback so that it does nothing after the cell is gone. */
    template <typename F> auto guarded(F function)
    {
        return [alive = m_alive, function = std::move(function)](auto&&... arguments) mutable {
            if (*alive)
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }
    void handleSuperseded(const std::string& why);

    // CellPlacing.cpp: which steps may start, and where tasks go.
    void advance(CellJob& job);
    void makeStepReady(CellJob& job, StepRef ref);
    void handleOccurrenceDue(const std::string& id, uint32_t occurrence);
    void dequeueStep(CellJob& job, StepRef ref);
    void queueStep(CellJob& job, StepRef ref);
    void schedulePlacement();
    void runPlacementRound();
    bool placeStep(const Rank& rank);
    /** Room kept for the gangs that come first, so that small tasks do not fill for ever what a gang waits for. */
    std::vector<Reservation> reserveForGangs(const std::vector<Rank>& ranks);
    Reservation reserveFor(CellJob& job, const Rank& rank, size_t maxWorkers);
    /** The usable workers of the service, as of this round of placement. */
    const std::vector<CellWorker*>& usableWorkers(const std::string& service);
    std::vector<CellWorker*> candidates(CellJob& job, const StepSpec& spec);
    bool chooseWorkersForStep(
        CellJob& job, StepRef ref, const std::vector<CellWorker*>& eligible, std::vector<Choice>& choices);
    std::vector<Choice> chooseWorkers(CellJob& job, StepRef ref, const std::vector<CellWorker*>& eligible,
        bool mustPlaceAll, const std::string& onlyRack);
    void storeIntent(CellJob& job, StepRef ref, const std::vector<Choice>& choices);
    std::vector<uint32_t> waitingTasks(const CellStep& step) const;

    // CellAdvice.cpp: leave of the policy service.
    bool placeWithAdvice(const Rank& rank, CellJob& job, size_t waiting);
    void requestStepAdvice(CellJob& job, StepRef ref, std::vector<CellWorker*> workers, size_t wanted);
    void handleAdvice(const std::string& id, StepRef ref, const std::vector<std::string>& queried, Instant requestedAt,
        AdviceReply reply);

    // CellRuns.cpp: orders to workers and what comes back.
    void sendStarts(const std::string& id, const std::vector<TaskRun>& runs);
    void sendStart(CellJob& job, const TaskRun& run);
    void handleStartReply(const TaskRun& run, const std::string& worker, const OrderReply& reply);
    void handleStartFailure(const TaskRun& run, CellWorker& worker, OrderStatus why);
    void requestStop(CellWorker& worker, const TaskRun& run);
    void sendStop(CellWorker& worker, const TaskRun& run);
    void stopJob(CellJob& job);
    void stopRemainingGang(CellJob& job, StepRef ref);
    /** The run is over without an end that was told: it never started, or vanished with its worker. */
    void concludeRun(CellWorker& worker, const TaskRun& run, absl::string_view why);
    void taskFailed(CellJob& job, CellTask& task, const TaskName& name, CellWorker& worker);
    void taskFinished(CellJob& job, const TaskName& name, CellWorker& worker);
    void applyEnd(CellWorker& worker, const EndedRun& ended, std::vector<std::string>& changed);

    // CellSync.cpp: the account of each worker.
    void handleListed(const std::string& id, const ListedWorker* listed);
    CellWorker* findWorker(const std::string& id);
    void scheduleSync(CellWorker& worker, absl::Duration delay);
    void sync(CellWorker& worker, bool mayWait);
    void handleSync(const std::string& id, Instant sentAt, SyncReply reply);
    void applyLists(CellWorker& worker, Instant sentAt, SyncReply& reply);
    void applyRunning(CellWorker& worker, const ListedRun& listed);
    void applyEnds(CellWorker& worker, std::vector<EndedRun>& ended);
    void handleSyncFailure(CellWorker& worker, OrderStatus status);
    void endIncarnation(CellWorker& worker, absl::string_view why);
    void checkUnresponsive(CellWorker& worker);
    int64_t nextLeaseEnd(CellWorker& worker);
    void suspendPlacement(CellWorker& worker, absl::Duration duration, absl::string_view why);
    void checkStuckRuns();

    Parts m_parts;
    const CellTerm m_term;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_isLoaded = false;
    bool m_isSuperseded = false;
    bool m_isPlacementScheduled = false;
    const Instant m_ownedSince;
    DurableWriter m_writer;
    JobTable m_jobs;
    /** Ended jobs of which only the run record is kept. */
    absl::flat_hash_map<std::string, std::pair<JobPhase, int64_t>> m_endedJobs;
    /** Workers keep their place in memory, so that steps can refer to those they may run on. */
    std::map<std::string, CellWorker> m_workers;
    absl::btree_set<Rank> m_ready;
    absl::flat_hash_map<std::string, std::vector<CellWorker*>> m_usableWorkers;
    absl::flat_hash_map<std::string, std::vector<Reply>> m_acceptReplies;
    std::vector<absl::AnyInvocable<void()>> m_requestsUntilLoaded;
    /** By queue, the share of the workers asked about that were allowed. */
    absl::flat_hash_map<std::string, double> m_allowedShare;
    /** What was read of run records whose job record has not been read. */
    absl::flat_hash_map<std::string, std::string> m_loadedRuns;
};

} // namespace cicada
