#pragma once

/** \file
 * The state of one worker as its cell's owner tracks it: which runs hold how much of its capacity, an estimate of its
 * clock, when every run on it must have ended if it stays unresponsive, and up to which sequence number its ends were
 * processed and acknowledged.
 */

#include "AccountUsage.h"
#include "Clock.h"
#include "CrashDelays.h"
#include "CrashVerdict.h"
#include "RunEvidence.h"
#include "RunTimeEstimates.h"
#include "WorkerOrders.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace cicada {

/** A lower bound of a worker's clock, from which follows when its leases have expired. */
class WorkerClock {
public:
    bool isKnown() const { return m_isKnown; }
    /** Adds a clock reading from a reply that arrived at `now`. */
    void addReading(int64_t workerMillis, Instant now);
    /** The worker's clock at `now`, or slightly less. */
    int64_t estimate(Instant now) const;
    /** How old, at least, a reading is that is processed at `now`; it is as new as can be known with the first one. */
    absl::Duration ageOf(int64_t workerMillis, Instant now) const;
    /** Records that an order with this lease end was sent, by this owner or a former one. */
    void recordLease(int64_t leaseEndMillis) { m_latestLease = std::max(m_latestLease, leaseEndMillis); }
    /** Whether every lease that was granted has certainly expired at `now`. */
    bool leasesExpired(Instant now) const;
    void reset() { *this = WorkerClock(); }

    /** The minimum rate of a worker's clock relative to real time. */
    static constexpr double minClockRate = 0.98;

private:
    bool m_isKnown = false;
    int64_t m_readMillis = 0;
    Instant m_readAt = absl::ZeroDuration();
    int64_t m_latestLease = 0;
};

/** Why a run is concluded that the worker does not list although the order must have reached it. */
constexpr absl::string_view notListed = "not-listed";

/** How a restart showed that had happened before this owner heard the worker. */
constexpr absl::string_view restartedBeforeHeard = "restarted-before-it-was-heard";

/** Why a run is concluded on a worker that could not be heard until its leases had expired. */
constexpr absl::string_view leasesEnded = "leases-ended";

/** How the end of a worker's incarnation showed. */
enum class IncarnationEnd {
    /** The platform lists a later start of the worker. */
    RestartListed,
    /** The worker replied with a later start. */
    RestartReplied,
    /** An incarnation with another id answers at the worker's address. */
    OtherAnswered,
};

/** Capacity allocated to a run. */
struct RunAllocation {
    Resources demand;
    /** The run lasts until its job is cancelled, so its capacity does not become free by waiting. */
    bool isOfService = false;
    /** The client account as whose the run counts; empty for none. It outlasts the job's records. */
    std::string account;
    /** When the worker replied to the start or a stop; a list requested later shows the run unless it has ended. */
    Instant visibleFrom = absl::InfiniteDuration();
    /** An earlier owner may have ordered the run. */
    bool isInherited = false;
    /** A reply to the start is outstanding. */
    bool isStarting = false;
    /** The start order was sent, and not refused by another incarnation. */
    bool wasSent = false;
    /** The worker has confirmed the run, so its start is no longer in flight. The reply to a start does not tell which
     * incarnation gave it. */
    bool wasConfirmed = false;
    /** The current incarnation has listed the run. */
    bool wasListed = false;
    /** When the start was found to have no reply; a list requested earlier need not show the run. */
    Instant unansweredAt = absl::ZeroDuration();
    /** Nothing else is placed beside the run, as its task is a suspect. */
    bool isIsolated = false;
    CrashedRun crash = CrashedRun::None;
    /** On what that rests; null where `crash` is `None`. */
    std::shared_ptr<const RunEvidence> evidence;
    /** Until when the lease lasts that the start was sent with. */
    Instant startLeaseUntil = absl::ZeroDuration();
    /** A run of the task was lost before: what becomes of this one is to be known soon. */
    bool isWatched = false;
    /** When the worker went silent before the crash. */
    RunAges agesAtCrash = {};
    bool isStopWanted = false;
    Instant stopSentAt = absl::ZeroDuration() - absl::Hours(1);
};

/** A start that had no reply and was given up at `at`. */
struct UnansweredStart {
    TaskRun run;
    Resources demand;
    std::string account;
    Instant at;
};

/** A run that was concluded as its lease had ended on a worker that could not be heard. */
struct UndecidedRun {
    TaskRun run;
    RunAllocation allocation;
    /** Until when its lease lasted at least. */
    Instant leaseUntil;
    Instant concludedAt;
    /** When the worker's incarnation started, in milliseconds since 1970; 0 if unknown. */
    int64_t workerStarted = 0;
};

/** How long it is sought to be known what became of a lost run. */
constexpr absl::Duration followedFor = absl::Seconds(60);

/** Whether the worker has the label; the empty one is every worker's. */
bool hasLabel(const ListedWorker& worker, const std::string& label);

/** One worker of the cell. */
struct CellWorker {
    ListedWorker listed;
    bool isListed = false;
    /** The worker replied under this owner's fencing token, so orders of earlier owners can no longer take effect
     * there. */
    bool hasReplied = false;
    /** The start time of the incarnation that replied, in milliseconds since 1970; 0 if unknown. */
    int64_t startedUnixMillis = 0;
    WorkerClock clock;
    /** Until when the leases last at least that the worker is known to have been granted. */
    Instant leaseKnownUntil = absl::ZeroDuration();
    /** Runs that were concluded while the worker could not be heard, until what became of it is known. */
    std::vector<UndecidedRun> undecidedRuns;
    absl::flat_hash_map<TaskRun, RunAllocation> allocations;
    Resources used;
    /** The part of `used` that services hold. */
    Resources usedByServices;
    /** How many of the allocations are isolated. */
    size_t isolatedRuns = 0;
    /** Suspects are to run here as soon as the worker has no other runs; decided anew in each placement round. */
    bool isSetAside = false;
    /** The queue on probation to whose work the worker is kept; empty for none. */
    std::string confinedTo;
    /** Until then, a job that began with one task here may still crash the worker, and no other one begins here. */
    Instant trialUntil = absl::ZeroDuration();
    /** The step that is being placed may not use the worker, because of what either is confined to. */
    bool isClosed = false;
    /** Capacity reserved for steps with a better rank, in the current placement round. */
    Resources reserved;
    /** The part of `reserved` that work may use if it ends before the step begins. */
    Resources backfillable;

    uint64_t processedThrough = 0;
    uint64_t acknowledgedThrough = 0;
    /** The worker has replied to an acknowledgement of the ends up to this one, so it need not be sent again. */
    uint64_t forgottenThrough = 0;
    /** Processed ends that are not acknowledged: the last sequence number of each batch, and whether it is durable. */
    std::deque<std::pair<uint64_t, bool>> pendingAcks;

    uint64_t generation = 0;
    /** When the current incarnation became known; zero for the first one. */
    Instant incarnationKnownAt = absl::ZeroDuration();
    bool isSyncing = false;
    bool isSyncScheduled = false;
    int failedSyncs = 0;
    /** When orders began to be without replies; infinite while the worker replies. */
    Instant silentSince = absl::InfiniteDuration();
    Instant lastReplyAt = absl::ZeroDuration();
    /** When the worker made the latest list that was processed, and the one before. That is earlier than the reply was
     * processed if this entry was paused meanwhile. */
    Instant listedAt = absl::ZeroDuration();
    Instant formerListedAt = absl::ZeroDuration();
    /** No tasks are placed on the worker before this time. */
    Instant suspendedUntil = absl::ZeroDuration();
    int suspensionCount = 0;
    /** Starts that had no reply and were then stopped. They could still reach a later incarnation under the same id,
     * which does not know of the stop. */
    std::vector<UnansweredStart> unansweredStarts;
    /** Jobs with tasks that failed here since a task last finished. */
    absl::flat_hash_set<std::string> failedJobs;
    /** Smoothed ratio of the duration of tasks here to their estimates, which are corrected where the measurement of
     * their queue contradicts them; 1 is as estimated. It ranks workers for queues whose estimates hold. */
    double slowdown = 1;
    /** Ranks workers for queues whose estimates are contradicted. */
    WorkerSpeed speed;

    /** Records that the worker made a list when its clock showed this; without a reading, the list counts as new. */
    void recordList(std::optional<int64_t> workerMillis, Instant now);
    /** Forgets what was known of the last incarnation, except the allocations, which may outlast it. */
    void beginIncarnation(Instant now);
    /** Allocates capacity to a run, unless it has some, and counts it in `usage`. */
    void allocate(
        const TaskRun& run, const Resources& demand, bool isOfService, const std::string& account, AccountUsage& usage);
    /** Releases the run's capacity; whether it counted as an account's. */
    bool release(const TaskRun& run, AccountUsage& usage);
    /** Whether the worker is kept for suspects or for another queue's work than that which is being placed. */
    bool isKept() const { return isClosed || isSetAside || isolatedRuns > 0; }
    /** What is free for new runs; nothing on a worker that is kept for suspects or for another queue's work. */
    Resources free() const;
    /** Keeps other runs from the worker until this one is released. */
    void isolate(const TaskRun& run);
    /** Lets other runs be placed beside this one again. */
    void endIsolation(const TaskRun& run);
    /** What is free once all runs but those of services have ended. */
    Resources freeInTime() const;
    bool runsJob(const std::string& job) const;
    /** Whether runs were lately lost here of which it is not known whether the worker crashed under them. */
    bool isFollowed(Instant now);
    /** Whether it is to be known soon what becomes of a run here. */
    bool isWatched() const;
    /** Until when the run's lease lasts at least. */
    Instant leaseUntil(const RunAllocation& allocation) const;
    bool isUsable(Instant now) const;
    /** Records that an order had no reply. */
    void recordSilence(Instant now);
    /** Records that a start without a reply is given up now. */
    void recordUnanswered(const TaskRun& run, Instant now);
    /** Records that the ends up to `sequence` are durable. */
    void markDurable(uint64_t sequence);
};

} // namespace cicada
