#pragma once

/** \file
 * Which queues are on probation, because their tasks crash worker after worker. Work of a queue on probation is
 * confined to part of the workers, so that the other queues keep theirs. Jobs that the queue sends once deadly ones no
 * longer come are not confined, although some of the latter still wait. Without I/O. Not thread-safe.
 */

#include "Clock.h"

#include "absl/container/btree_map.h"

#include <deque>
#include <string>
#include <vector>

namespace cicada {

/** Counts the crashes of which the tasks of a queue are the likely cause. */
class QueueProbation {
public:
    /** A worker went away that ran nothing but a suspect of the queue, whose job was accepted at `acceptedAt`. */
    void recordIsolatedCrash(const std::string& queue, Instant acceptedAt, Instant now);
    /** A worker crashed at `crashedAt`, and only a job of the queue, accepted at `acceptedAt`, had just begun there. */
    void recordSuspectedCrash(const std::string& queue, Instant acceptedAt, Instant crashedAt, Instant now);
    /** A worker crashed on which no suspect ran, but tasks of the queue, and of others unless `ranNothingElse`. */
    void recordSharedCrash(const std::string& queue, bool ranNothingElse, Instant now);
    /** A job of the queue that was accepted at `acceptedAt` was given up. */
    void recordGivenUp(const std::string& queue, Instant acceptedAt);
    /** Whether a job of the queue that was accepted at `acceptedAt` begins with one task. */
    bool needsTrial(const std::string& queue, Instant acceptedAt) const;
    /** The queues that begin or end their probation now. */
    struct Change {
        std::string queue;
        bool begins = false;
    };
    std::vector<Change> update(Instant now);
    bool includes(const std::string& queue) const { return m_until.contains(queue); }
    /** Whether a job of the queue that was accepted at `acceptedAt` is confined. */
    bool confines(const std::string& queue, Instant acceptedAt, Instant now) const;
    /** Of each queue on probation, when it ends. */
    const absl::btree_map<std::string, Instant>& queues() const { return m_until; }

    /** A queue goes on probation after so many isolated crashes within `window`, if its other tasks crash workers, too,
     * or after so many suspected ones. */
    static constexpr size_t crashesToBegin = 3;
    static constexpr size_t suspectedToBegin = 5;
    /** Suspected crashes within this time count as one, as they may have one cause outside the tasks. */
    static constexpr absl::Duration sameCause = absl::Milliseconds(500);
    static constexpr absl::Duration window = absl::Seconds(10);
    /** How long it lasts, from its begin or from the last crash of a worker that ran only the queue's tasks. */
    static constexpr absl::Duration length = absl::Seconds(6);
    /** For how long after the latest job that may have crashed its worker further jobs are confined, by the times of
     * their acceptance; such a job may have waited, and the crash shows seconds later. */
    static constexpr absl::Duration confinedPeriod = absl::Seconds(12);
    /** No job is confined for longer, so that those which wait behind deadly ones start in the end. */
    static constexpr absl::Duration maxConfined = absl::Seconds(8);
    /** For how long after a job that was given up further jobs begin with one task, by the times of their acceptance.
     */
    static constexpr absl::Duration trialPeriod = absl::Seconds(30);

private:
    struct SuspectedCrashes {
        std::deque<Instant> foundAt;
        /** When the last one happened. */
        Instant lastAt = absl::ZeroDuration() - absl::Hours(1);
    };
    absl::btree_map<std::string, std::deque<Instant>> m_isolatedCrashes;
    absl::btree_map<std::string, SuspectedCrashes> m_suspectedCrashes;
    /** When the last shared crash of each queue was. */
    absl::btree_map<std::string, Instant> m_sharedCrashes;
    absl::btree_map<std::string, Instant> m_until;
    /** Of each queue, when the latest job was accepted of which a suspect crashed its worker, or which was given up. */
    absl::btree_map<std::string, Instant> m_latestSuspect;
    absl::btree_map<std::string, Instant> m_latestGivenUp;
};

} // namespace cicada
