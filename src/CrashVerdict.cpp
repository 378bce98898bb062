#include "CrashVerdict.h"

#include <algorithm>

namespace cicada {

namespace {

    /** With fewer, a start that was lost by chance could decide. */
    constexpr uint32_t minCrashesWithPossible = 3;

} // namespace

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

CrashedRun crashedRunOf(const LostRun& lost)
{
    if (!lost.wasConfirmed && (!lost.mayHaveArrived || lost.hasOutlivedStart))
        return CrashedRun::None;
    if (!lost.hasRestarted)
        return CrashedRun::Undecided;
    if (!lost.endedUnderLease)
        return CrashedRun::LateRestart;
    return lost.wasConfirmed ? CrashedRun::Counted : CrashedRun::Possible;
}

CrashVerdict crashVerdict(
    const TaskCrashes& crashes, const WorkerCrash& crash, bool isDeadlyWorkKnown, const CrashLimits& limits)
{
    const bool isCertain = crash.ranOneJob && !crash.hasOtherCause() && crashes.unexplained > 1;
    const uint32_t maxWithPossible = std::max(limits.maxCrashes, minCrashesWithPossible);
    if (crashes.all >= limits.maxCrashes || crashes.unexplained + crashes.possible >= maxWithPossible
        || (isCertain && crashes.unexplained + 1 >= limits.maxCrashes))
        return CrashVerdict::GiveUp;
    if (crashes.all <= 1 && crash.hasOtherCause() && !isDeadlyWorkKnown)
        return CrashVerdict::Unrelated;
    return CrashVerdict::Suspect;
}

} // namespace cicada
