#pragma once

/** \file
 * The order in which ready steps get capacity. Its first criterion answers a load above the capacity: work that can
 * still finish on time goes before work that can't, and a service that has lost a task goes before all batch work,
 * since its users get nothing for as long as the task is away. Work of a client account that is beyond what the account
 * is owed, and work whose result can have no value any more, go behind all of that.
 */

#include "Clock.h"

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace cicada {

/** Identifies a step in its job. */
struct StepRef {
    uint32_t occurrence = 0;
    uint32_t step = 0;

    friend bool operator==(const StepRef& a, const StepRef& b)
    {
        return a.occurrence == b.occurrence && a.step == b.step;
    }
    friend bool operator<(const StepRef& a, const StepRef& b)
    {
        return std::tie(a.occurrence, a.step) < std::tie(b.occurrence, b.step);
    }
};

/** In the order in which steps get capacity. */
enum class StepUrgency {
    /** A service with a task that ran before and has to be started again. */
    LostService,
    /** Batch work that can finish on time, or a service that is started for the first time. */
    OnTime,
    /** Batch work that can no longer finish on time. */
    Late,
    /** As the two above, for jobs beyond their account's rate. */
    ExcessOnTime,
    ExcessLate,
    /** Batch work of an account that can only finish after its result has lost all value. */
    Hopeless,
};

/** Whether the work is owed and still of value. */
inline bool isOwed(StepUrgency urgency) { return urgency <= StepUrgency::Late; }

/** The stable name of an urgency, for logs. */
absl::string_view stepUrgencyName(StepUrgency);

/** What the urgency of a step depends on. */
struct StepTimes {
    bool isService = false;
    /** Of a service: a task that ran before waits. */
    bool hasLostTask = false;
    /** The latest start with which the job is still on time, by the estimates. */
    Instant latestStart;
    /** The job came beyond its account's rate. */
    bool isExcess = false;
    /** The latest start with which the job's result has any value; jobs without an account have none. */
    Instant lastUsefulStart = absl::InfiniteDuration();
};

StepUrgency urgencyOf(const StepTimes&, Instant now);

/** What the order of a step depends on, apart from its name. */
struct StepKey {
    StepUrgency urgency = StepUrgency::OnTime;
    /** Of the queue; 0 is the most urgent. */
    uint32_t priority = 0;
    Instant latestStart;

    friend bool operator<(const StepKey& a, const StepKey& b)
    {
        return std::tie(a.urgency, a.priority, a.latestStart) < std::tie(b.urgency, b.priority, b.latestStart);
    }
};

/** A ready step with its sort key. */
struct StepRank {
    StepKey key;
    std::string job;
    StepRef ref;
    /** Of an owed step, where accounts compete: its place among the accounts in this placement round; see
     * AccountShares. The steps are not sorted by it between rounds, as it changes with each start. */
    double shareTag = 0;

    friend bool operator<(const StepRank& a, const StepRank& b)
    {
        return std::tie(a.key, a.job, a.ref) < std::tie(b.key, b.job, b.ref);
    }
};

/** The order within a placement round: steps of equal urgency and priority by their share tags first. */
bool isBeforeByShare(const StepRank& a, const StepRank& b);

} // namespace cicada
