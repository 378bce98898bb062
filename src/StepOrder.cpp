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
    }
    return "unknown";
}

StepUrgency urgencyOf(const StepTimes& step, Instant now)
{
    if (!step.isService)
        return step.latestStart < now ? StepUrgency::Late : StepUrgency::OnTime;
    return step.hasLostTask ? StepUrgency::LostService : StepUrgency::OnTime;
}

} // namespace cicada
