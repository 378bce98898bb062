#include "StepOrder.h"

namespace cicada {

absl::string_view stepUrgencyName(StepUrgency urgency)
{
    switch (urgency) {
    case StepUrgency::LostService:
        return "lost-service";
    case StepUrgency::OnTime:
        return "on-time";
    case StepUrgency::Late:
        return "late";
    case StepUrgency::ExcessOnTime:
        return "excess-on-time";
    case StepUrgency::ExcessLate:
        return "excess-late";
    case StepUrgency::Hopeless:
        return "hopeless";
    }
    return "unknown";
}

StepUrgency urgencyOf(const StepTimes& step, Instant now)
{
    if (step.isService && step.hasLostTask)
        return StepUrgency::LostService;
    if (!step.isService && step.lastUsefulStart < now)
        return StepUrgency::Hopeless;
    const bool isLate = !step.isService && step.latestStart < now;
    if (step.isExcess)
        return isLate ? StepUrgency::ExcessLate : StepUrgency::ExcessOnTime;
    return isLate ? StepUrgency::Late : StepUrgency::OnTime;
}

bool isBeforeByShare(const StepRank& a, const StepRank& b)
{
    return std::tie(a.key.urgency, a.key.priority, a.shareTag, a.key.latestStart, a.job, a.ref)
        < std::tie(b.key.urgency, b.key.priority, b.shareTag, b.key.latestStart, b.job, b.ref);
}

} // namespace cicada
