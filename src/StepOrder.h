#pragma once

/** \file
 * The order in which ready steps get capacity. Its first criterion answers a load above the capacity: work that can
 * still finish on time goes before work that can't, and a service that has lost a task goes before all batch work,
 * since its users get nothing for as long as the task is away.
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
};

/** The stable name of an urgency, for logs. */
absl::string_view stepUrgencyName(StepUrgency);

/** What the urgency of a step depends on. */
struct StepTimes {
    bool isService = false;
    /** Of a service: a task that ran before waits. */
    bool hasLostTask = false;
    /** The latest start with which the job is still on time, by the estimates. */
    Instant latestStart;
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

    friend bool operator<(const StepRank& a, const StepRank& b)
    {
        return std::tie(a.key, a.job, a.ref) < std::tie(b.key, b.job, b.ref);
    }
};

} // namespace cicada
