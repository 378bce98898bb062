#include "CrashVerdict.h"

#include <algorithm>

namespace cicada {

absl::string_view crashVerdictName(CrashVerdict verdict)
{
    switch (verdict) {
    case CrashVerdict::Unrelated:
        return "unrelated";
    case CrashVerdict::Suspect:
        return "suspect";
    case CrashVerdict::GiveUp:
        return "give-up";
    }
    return "";
}

CrashVerdict crashVerdict(
    const TaskCrashes& crashes, const WorkerCrash& crash, bool isDeadlyWorkKnown, const CrashLimits& limits)
{
    const bool isCertain = crash.ranOneJob && !crash.hasOtherCause() && crashes.unexplained > 1;
    if (crashes.all >= limits.maxCrashes || (isCertain && crashes.unexplained + 1 >= limits.maxCrashes))
        return CrashVerdict::GiveUp;
    if (crashes.all <= 1 && crash.hasOtherCause() && !isDeadlyWorkKnown)
        return CrashVerdict::Unrelated;
    return CrashVerdict::Suspect;
}

} // namespace cicada
