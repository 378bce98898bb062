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

CrashVerdict crashVerdict(uint32_t crashes, const WorkerCrash& crash, bool isDeadlyWorkKnown, const CrashLimits& limits)
{
    const bool isCertain = crash.ranOneJob && !crash.isSimultaneous && crashes > 1;
    if (crashes >= limits.maxCrashes || (isCertain && crashes + 1 >= limits.maxCrashes))
        return CrashVerdict::GiveUp;
    if (crashes == 1 && crash.isSimultaneous && !isDeadlyWorkKnown)
        return CrashVerdict::Unrelated;
    return CrashVerdict::Suspect;
}

} // namespace cicada
