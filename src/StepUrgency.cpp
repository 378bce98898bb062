#include "StepUrgency.h"

#include <algorithm>

namespace cicada {

StepUrgency urgencyOf(const StepSpec& spec, const CellStep& step, Instant now)
{
    if (!spec.isService)
        return step.latestStart < now ? StepUrgency::Late : StepUrgency::OnTime;
    const bool hasLostTask = std::any_of(step.tasks.begin(), step.tasks.end(),
        [](const CellTask& task) { return task.stage == TaskStage::Waiting && task.run > 0; });
    return hasLostTask ? StepUrgency::LostService : StepUrgency::OnTime;
}

} // namespace cicada
