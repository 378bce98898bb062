#include "JobAdmission.h"

#include <algorithm>
#include <cmath>

namespace cicada {

namespace {

    constexpr double minRetryAfterSeconds = 1;
    constexpr double maxRetryAfterSeconds = 5;

    RefusalReason reasonOf(const AdmissionInputs& inputs, absl::Duration drainTime)
    {
        // Without capacity nothing is known of the workers yet.
        if (!inputs.hasAccount || !inputs.isFull || inputs.capacity <= 0)
            return RefusalReason::None;
        const absl::Duration run
            = std::max(inputs.criticalPath, absl::Milliseconds(inputs.widestWork / inputs.capacity));
        if (drainTime > absl::ZeroDuration() && drainTime + run > usefulObjectives * inputs.objective)
            return RefusalReason::TooLate;
        if (inputs.isExcess && inputs.hasOwedWaiting)
            return RefusalReason::Excess;
        return RefusalReason::None;
    }

} // namespace

absl::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::TooLate:
        return "too-late";
    case RefusalReason::Excess:
        return "excess";
    case RefusalReason::StoreUnavailable:
        return "store-unavailable";
    }
    return "unknown";
}

uint32_t retryAfterSeconds(absl::Duration wait, uint64_t idHash)
{
    const double whole = std::max(minRetryAfterSeconds, std::ceil(absl::ToDoubleSeconds(wait)));
    const double seconds = whole + static_cast<double>(idHash % 2);
    return static_cast<uint32_t>(std::min(seconds, maxRetryAfterSeconds));
}

AdmissionDecision decideAdmission(const AdmissionInputs& inputs)
{
    AdmissionDecision decision;
    if (inputs.capacity > 0)
        decision.drainTime = absl::Milliseconds(inputs.workAhead / inputs.capacity);
    decision.reason = reasonOf(inputs, decision.drainTime);
    if (decision.isRefused())
        decision.retryAfterSeconds = retryAfterSeconds(decision.drainTime, inputs.idHash);
    return decision;
}

} // namespace cicada
