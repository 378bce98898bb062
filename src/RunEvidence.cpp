#include "RunEvidence.h"

#include "CrashDelays.h"

#include <algorithm>

namespace cicada {

namespace {

    std::vector<RunEvidence>::iterator oldestOf(std::vector<RunEvidence>& all, EvidenceKind kind)
    {
        return std::find_if(all.begin(), all.end(), [kind](const RunEvidence& run) { return run.kind == kind; });
    }

} // namespace

absl::string_view evidenceKindName(EvidenceKind kind)
{
    switch (kind) {
    case EvidenceKind::Failed:
        return "failed";
    case EvidenceKind::Crash:
        return "crash";
    case EvidenceKind::PossibleCrash:
        return "possible-crash";
    case EvidenceKind::Undecided:
        return "undecided";
    case EvidenceKind::LateRestart:
        return "late-restart";
    }
    return "unknown";
}

bool hasClosedSoon(const RunEvidence& evidence)
{
    return evidence.closedAfterMillis >= 0
        && evidence.closedAfterMillis <= absl::ToInt64Milliseconds(CrashDelays::defaultLimit);
}

void addEvidence(std::vector<RunEvidence>& all, RunEvidence added)
{
    removeEvidence(all, added.run);
    if (all.size() >= maxEvidencePerTask) {
        auto oldest = oldestOf(all, EvidenceKind::Undecided);
        if (oldest == all.end())
            oldest = oldestOf(all, EvidenceKind::LateRestart);
        all.erase(oldest == all.end() ? all.begin() : oldest);
    }
    all.push_back(std::move(added));
}

bool removeEvidence(std::vector<RunEvidence>& all, uint32_t run)
{
    const auto isOfRun = [run](const RunEvidence& evidence) { return evidence.run == run; };
    const auto end = std::remove_if(all.begin(), all.end(), isOfRun);
    const bool hadSome = end != all.end();
    all.erase(end, all.end());
    return hadSome;
}

bool IncarnationLoss::hasEndedBy(Instant time) const
{
    return hasRestarted && (foundAt <= time || (nextStartAt && *nextStartAt + maxClockDifference <= time));
}

} // namespace cicada
