#pragma once

/** \file
 * Which queues are on probation, because their tasks crash worker after worker. Work of a queue on probation is
 * confined to part of the workers, so that the other queues keep theirs. Without I/O. Not thread-safe.
 */

#include "Clock.h"

#include "absl/container/btree_map.h"

#include <deque>
#include <string>
#include <vector>

namespace cicada {

/** Counts the crashes for which a queue is certainly the cause. */
class QueueProbation {
public:
    /** A worker went away that ran nothing but a suspect of the queue. */
    void recordIsolatedCrash(const std::string& queue, Instant now);
    /** A worker crashed on which no suspect ran, but tasks of the queue, and of others unless `ranNothingElse`. */
    void recordSharedCrash(const std::string& queue, bool ranNothingElse, Instant now);
    /** The queues that begin or end their probation now. */
    struct Change {
        std::string queue;
        bool begins = false;
    };
    std::vector<Change> update(Instant now);
    bool includes(const std::string& queue) const { return m_until.contains(queue); }
    bool isEmpty() const { return m_until.empty(); }
    /** Of each queue on probation, when it ends. */
    const absl::btree_map<std::string, Instant>& queues() const { return m_until; }

    /** A queue with so many isolated crashes within `window` goes on probation, if its other tasks crash workers, too.
     */
    static constexpr size_t crashesToBegin = 3;
    static constexpr absl::Duration window = absl::Seconds(10);
    /** How long it lasts, from its begin or from the last crash of a worker that ran only the queue's tasks. */
    static constexpr absl::Duration length = absl::Seconds(6);

private:
    absl::btree_map<std::string, std::deque<Instant>> m_isolatedCrashes;
    /** When the last shared crash of each queue was. */
    absl::btree_map<std::string, Instant> m_sharedCrashes;
    absl::btree_map<std::string, Instant> m_until;
};

} // namespace cicada
