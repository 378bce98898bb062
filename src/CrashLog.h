#pragma once

/** \file
 * The crashes of workers in the last seconds. Crashes at the same time on workers that have no job in common point to a
 * cause outside the tasks, as when a rack loses power. Not thread-safe.
 */

#include "Clock.h"

#include "absl/container/btree_set.h"

#include <deque>
#include <string>

namespace cicada {

/** The crash of a worker, or its loss. */
struct CrashedWorker {
    std::string worker;
    /** When it was found to reply no more. */
    Instant silentSince;
    /** When its end was known. */
    Instant foundAt;
    /** False if it may only have been cut off. */
    bool isCertain = true;
    /** A suspect had the worker to itself. */
    bool wasIsolated = false;
    /** Jobs with runs there. */
    absl::btree_set<std::string> jobs;
};

/** Remembers crashes for `retention`. */
class CrashLog {
public:
    void record(CrashedWorker crash);
    /** The worker's last crash; null if none is remembered. The next record() invalidates it. */
    const CrashedWorker* lastOf(const std::string& worker) const;
    /** How many other workers, without runs of the job, crashed at the same time. Workers that suspects had to
     * themselves do not count: they crash because of these. */
    size_t othersAtSameTime(const CrashedWorker& crash, const std::string& job) const;
    /** Whether workers that went silent then did so at about the same time. */
    static bool isSameTime(Instant a, Instant b);

    static constexpr absl::Duration retention = absl::Seconds(30);

private:
    /** In the order in which they were found. */
    std::deque<CrashedWorker> m_crashes;
};

} // namespace cicada
