#include "RunEvidence.h"

#include <algorithm>

namespace cicada {

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

void addEvidence(std::vector<RunEvidence>& all, RunEvidence added)
{
    removeEvidence(all, added.run);
    if (all.size() >= maxEvidencePerTask) {
        const auto isUndecided = [](const RunEvidence& evidence) { return evidence.kind == EvidenceKind::Undecided; };
        const auto found = std::find_if(all.begin(), all.end(), isUndecided);
        all.erase(found == all.end() ? all.begin() : found);
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
