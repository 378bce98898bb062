/** \file
 * What a lost run says about its task, and the evidence that is kept of it.
 */

#include "RunEvidence.h"
#include "CrashVerdict.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

TEST_GROUP(RunEvidence)
{
    LostRun confirmed { true, true, false, true, true };
    LostRun unanswered { false, true, false, true, true };

    static IncarnationLoss restartedAt(std::optional<Instant> nextStart, Instant found)
    {
        IncarnationLoss loss;
        loss.hasRestarted = true;
        loss.nextStartAt = nextStart;
        loss.foundAt = found;
        return loss;
    }
    static RunEvidence evidenceOf(uint32_t run, EvidenceKind kind)
    {
        RunEvidence evidence;
        evidence.run = run;
        evidence.kind = kind;
        return evidence;
    }
};

TEST(RunEvidence, aLostRunCountsOnlyIfItsWorkerRestartedWhileTheLeaseLasted)
{
    CHECK(crashedRunOf(confirmed) == CrashedRun::Counted);
    CHECK(crashedRunOf(unanswered) == CrashedRun::Possible);
    for (LostRun lost : { confirmed, unanswered }) {
        lost.endedUnderLease = false;
        CHECK(crashedRunOf(lost) == CrashedRun::LateRestart);
        lost.endedUnderLease = true;
        lost.hasRestarted = false;
        CHECK(crashedRunOf(lost) == CrashedRun::Undecided);
    }
}

TEST(RunEvidence, aStartThatItsWorkerOutlivedOrNeverGotSaysNothing)
{
    unanswered.hasOutlivedStart = true;
    CHECK(crashedRunOf(unanswered) == CrashedRun::None);
    unanswered.hasOutlivedStart = false;
    unanswered.mayHaveArrived = false;
    CHECK(crashedRunOf(unanswered) == CrashedRun::None);
}

TEST(RunEvidence, anIncarnationEndedByTheTimeItWasFoundOrTheNextOneBegan)
{
    const Instant lease = absl::Seconds(100);
    CHECK(restartedAt(std::nullopt, lease).hasEndedBy(lease));
    CHECK(!restartedAt(std::nullopt, lease + absl::Seconds(1)).hasEndedBy(lease));
    CHECK(restartedAt(lease - absl::Seconds(2), lease + absl::Seconds(9)).hasEndedBy(lease));
    CHECK(!restartedAt(lease - absl::Seconds(1), lease + absl::Seconds(9)).hasEndedBy(lease));
    CHECK(!IncarnationLoss().hasEndedBy(lease));
}

TEST(RunEvidence, whatIsUndecidedGoesFirstBeyondTheLimit)
{
    std::vector<RunEvidence> all;
    addEvidence(all, evidenceOf(1, EvidenceKind::Crash));
    addEvidence(all, evidenceOf(2, EvidenceKind::Undecided));
    for (uint32_t run = 3; run < 3 + maxEvidencePerTask; ++run)
        addEvidence(all, evidenceOf(run, EvidenceKind::Failed));
    LONGS_EQUAL(maxEvidencePerTask, all.size());
    CHECK(!removeEvidence(all, 2));
    addEvidence(all, evidenceOf(5, EvidenceKind::Crash));
    LONGS_EQUAL(maxEvidencePerTask, all.size());
    CHECK(removeEvidence(all, 5));
    CHECK(!removeEvidence(all, 5));
}
