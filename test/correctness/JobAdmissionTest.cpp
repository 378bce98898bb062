/** \file
 * Which jobs are refused, and the sums of waiting work on which that depends.
 */

#include "JobAdmission.h"
#include "WaitingWork.h"

#include "absl/container/btree_set.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

AdmissionInputs fullCell()
{
    AdmissionInputs inputs;
    inputs.hasAccount = true;
    inputs.isFull = true;
    inputs.capacity = 10000;
    inputs.workAhead = 10000.0 * 2500;
    inputs.criticalPath = absl::Milliseconds(600);
    inputs.objective = absl::Seconds(1);
    return inputs;
}

WaitingItem item(StepUrgency urgency, uint32_t priority, absl::Duration latestStart, const char* account, double work)
{
    return { { urgency, priority, latestStart }, "service", account, 1, work };
}

} // namespace

TEST_GROUP(JobAdmission) {};

TEST(JobAdmission, onlyAJobThatCanOnlyEndWithoutValueIsRefusedAsTooLate)
{
    AdmissionInputs inputs = fullCell();
    CHECK(decideAdmission(inputs).reason == RefusalReason::TooLate);
    inputs.workAhead = 10000.0 * 2300;
    CHECK(!decideAdmission(inputs).isRefused());
    // A wide step takes longer than its tasks.
    inputs.widestWork = 10000.0 * 800;
    CHECK(decideAdmission(inputs).reason == RefusalReason::TooLate);
    inputs.objective = absl::InfiniteDuration();
    CHECK(!decideAdmission(inputs).isRefused());
}

TEST(JobAdmission, excessIsRefusedOnlyWhileOwedWorkWaitsInAFullCell)
{
    AdmissionInputs inputs = fullCell();
    inputs.workAhead = 0;
    inputs.isExcess = true;
    CHECK(!decideAdmission(inputs).isRefused());
    inputs.hasOwedWaiting = true;
    CHECK(decideAdmission(inputs).reason == RefusalReason::Excess);
    for (bool AdmissionInputs::*condition : { &AdmissionInputs::isFull, &AdmissionInputs::hasAccount }) {
        AdmissionInputs other = inputs;
        other.*condition = false;
        CHECK(!decideAdmission(other).isRefused());
    }
    // A new owner knows no worker yet.
    inputs.capacity = 0;
    CHECK(!decideAdmission(inputs).isRefused());
}

TEST(JobAdmission, retryAfterIsSpreadAndBetweenOneAndFiveSeconds)
{
    absl::btree_set<uint32_t> soon;
    for (uint64_t hash = 0; hash < 10; ++hash) {
        soon.insert(retryAfterSeconds(absl::ZeroDuration(), hash));
        LONGS_EQUAL(5, retryAfterSeconds(absl::Seconds(100), hash));
    }
    LONGS_EQUAL(2, soon.size());
    LONGS_EQUAL(1, *soon.begin());
    LONGS_EQUAL(3, retryAfterSeconds(absl::Milliseconds(2100), 0));
}

TEST_GROUP(WaitingWork) { WaitingWork waiting; };

TEST(WaitingWork, whatGoesBeforeAJobIsCountedAndNothingElse)
{
    const absl::Duration soon = absl::Seconds(10);
    const absl::Duration far = absl::Seconds(20);
    waiting.add(item(StepUrgency::OnTime, 0, far, "b", 1));
    waiting.add(item(StepUrgency::OnTime, 1, soon, "a", 2));
    waiting.add(item(StepUrgency::OnTime, 1, far, "a", 4));
    waiting.add(item(StepUrgency::OnTime, 1, soon, "large", 100));
    waiting.add(item(StepUrgency::OnTime, 2, soon, "a", 16));
    waiting.add(item(StepUrgency::Late, 0, soon, "a", 32));
    waiting.add(item(StepUrgency::ExcessOnTime, 0, soon, "a", 64));
    // Before the small account's second job the large one gets as much as the small one's first job.
    DOUBLES_EQUAL(1 + 2 + 2, waiting.aheadOf(item(StepUrgency::OnTime, 1, absl::Seconds(15), "a", 0)), 1e-9);
    // An account without waiting work does not wait behind a flood.
    DOUBLES_EQUAL(1, waiting.aheadOf(item(StepUrgency::OnTime, 1, far, "new", 0)), 1e-9);
    DOUBLES_EQUAL(155, waiting.aheadOf(item(StepUrgency::ExcessOnTime, 0, soon, "new", 0)), 1e-9);
    DOUBLES_EQUAL(155 + 64, waiting.aheadOf(item(StepUrgency::ExcessOnTime, 0, far, "new", 0)), 1e-9);
}

TEST(WaitingWork, owedWorkIsSeenUntilTheLastOfItIsGone)
{
    const WaitingItem owed = item(StepUrgency::Late, 3, absl::Seconds(1), "a", 0.1);
    const WaitingItem excess = item(StepUrgency::ExcessOnTime, 0, absl::Seconds(1), "a", 5);
    waiting.add(excess);
    CHECK(!waiting.hasOwed("service"));
    for (int i = 0; i < 3; ++i)
        waiting.add(owed);
    for (int i = 0; i < 3; ++i) {
        CHECK(waiting.hasOwed("service"));
        CHECK(!waiting.hasOwed("other"));
        waiting.remove(owed);
    }
    CHECK(!waiting.hasOwed("service"));
    DOUBLES_EQUAL(0, waiting.aheadOf(item(StepUrgency::ExcessOnTime, 0, absl::Seconds(1), "a", 0)), 1e-12);
}
