#pragma once

/** \file
 * What a cell's owner knows of one worker: the exact account of its room, an estimate of its clock, when everything on
 * it must have ended if it stays silent, and how far its ends were taken in and acknowledged.
 */

#include "Clock.h"
#include "WorkerOrders.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <deque>
#include <vector>

namespace cicada {

/** An estimate of a worker's clock that is never ahead of it, and of when its leases are over. */
class WorkerClock {
public:
    bool isKnown() const { return m_isKnown; }
    /** Takes in a reading from a reply that arrived at `now`. */
    void addReading(int64_t workerMillis, Instant now);
    /** The worker's clock at `now`, or a little less. */
    int64_t estimate(Instant now) const;
    /** Says that an order with this lease end was sent. */
    void recordLease(int64_t leaseEndMillis) { m_latestLease = std::max(m_latestLease, leaseEndMillis); }
    /** Whether every lease that was given has surely ended at `now`. */
    bool leasesExpired(Instant now) const;
    void reset() { *this = WorkerClock(); }

    /** How much slower than true a worker's clock may run. */
    static constexpr double minClockRate = 0.98;

private:
    bool m_isKnown = false;
    int64_t m_readMillis = 0;
    Instant m_readAt = absl::ZeroDuration();
    int64_t m_latestLease = 0;
};

/** Why a run is over that a worker does not list though it must have heard of it. */
constexpr absl::string_view notListed = "not-listed";

/** A run that takes room. */
struct RunAllocation {
    Resources demand;
    /** From here on the worker's lists must show the run, or it is over: a start or a stop was answered then. */
    Instant visibleFrom = absl::InfiniteDuration();
    /** An earlier owner may have ordered it. */
    bool isInherited = false;
    /** A reply to its start is awaited. */
    bool isStarting = false;
    /** The order was sent. */
    bool wasSent = false;
    /** The worker has said that the run is there, so its start is not under way any more. */
    bool wasConfirmed = false;
    bool isStopWanted = false;
    Instant stopSentAt = absl::ZeroDuration() - absl::Hours(1);
};

/** A start without an answer, that was given up at `at`. */
struct UnansweredStart {
    TaskRun run;
    Resources demand;
    Instant at;
};

/** One worker of the cell. */
struct CellWorker {
    ListedWorker listed;
    bool isListed = false;
    /** It answered under this owner's fencing token, so no earlier owner can do anything there. */
    bool hasReplied = false;
    /** The life that answered, as its start time. */
    int64_t startedUnixMillis = 0;
    WorkerClock clock;
    absl::flat_hash_map<TaskRun, RunAllocation> allocations;
    Resources used;
    /** Room that steps with a better rank are waiting to fill, in the current round of placement. */
    Resources reserved;

    uint64_t processedThrough = 0;
    uint64_t acknowledgedThrough = 0;
    /** Ends taken in and not acknowledged: up to which one, and whether they are durable. */
    std::deque<std::pair<uint64_t, bool>> pendingAcks;

    uint64_t generation = 0;
    bool isSyncing = false;
    bool isSyncScheduled = false;
    int failedSyncs = 0;
    Instant firstFailedAt = absl::ZeroDuration();
    Instant lastReplyAt = absl::ZeroDuration();
    /** Takes nothing new until then. */
    Instant suspendedUntil = absl::ZeroDuration();
    int suspensionCount = 0;
    /** Starts that were never answered and then stopped: in a later life under the same id, which has forgotten the
     * stop, they could still arrive. */
    std::vector<UnansweredStart> unansweredStarts;
    /** Jobs whose tasks failed here in a row, with no other end between. */
    absl::flat_hash_set<std::string> failedJobs;
    /** How long tasks take here against their estimates; 1 is as estimated. */
    double slowdown = 1;

    void allocate(const TaskRun& run, const Resources& demand);
    void release(const TaskRun& run);
    Resources free() const;
    bool isUsable(Instant now) const;
    /** Remembers a start without an answer that is given up now. */
    void recordUnanswered(const TaskRun& run, Instant now);
    /** Says that the ends up to `sequence` are durable. */
    void markDurable(uint64_t sequence);
};

} // namespace cicada
