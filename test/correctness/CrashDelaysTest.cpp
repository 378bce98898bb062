/** \file
 * What the ages of runs at a crash say about their tasks.
 */

#include "CrashDelays.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

TEST_GROUP(CrashDelays)
{
    CrashDelays delays;
    const RunAges young { absl::Milliseconds(100), absl::Seconds(3) };
    const RunAges old { absl::Seconds(3), absl::Milliseconds(100) };
};

TEST(CrashDelays, nothingIsExplainedByOthersUntilATaskHasCrashedItsWorkerAlone)
{
    CHECK(!delays.limit(absl::Seconds(1)));
    CHECK(!delays.isLikelyCausedByOther(old, absl::Seconds(1)));
    CHECK(!delays.isLikelyCause(young, absl::Seconds(1)));
    CHECK(delays.isSoonAfterStart(young, absl::Seconds(1)));
    CHECK(!delays.isSoonAfterStart({}, absl::Seconds(1)));
}

TEST(CrashDelays, aRunThatHadJustBegunExplainsTheCrashForOlderOnes)
{
    delays.record(young, absl::Seconds(1));
    CHECK(delays.isLikelyCausedByOther(old, absl::Seconds(2)));
    CHECK(!delays.isLikelyCausedByOther(young, absl::Seconds(2)));
    CHECK(delays.isLikelyCause(young, absl::Seconds(2)));
    const RunAges bothYoung { absl::Milliseconds(100), absl::Milliseconds(100) };
    CHECK(!delays.isLikelyCausedByOther(bothYoung, absl::Seconds(2)));
    CHECK(!delays.isLikelyCause(bothYoung, absl::Seconds(2)));
    const RunAges unknown { absl::InfiniteDuration(), absl::InfiniteDuration() };
    CHECK(!delays.isLikelyCausedByOther(unknown, absl::Seconds(2)));
}

TEST(CrashDelays, oneLateCrashAmongManyChangesLittle)
{
    for (int i = 0; i < 9; ++i)
        delays.record(young, absl::Seconds(1));
    delays.record({ absl::Seconds(20), absl::InfiniteDuration() }, absl::Seconds(1));
    CHECK(delays.limit(absl::Seconds(2)) < absl::Seconds(1));
}

TEST(CrashDelays, whatWasLearntIsForgotten)
{
    delays.record(young, absl::Seconds(1));
    CHECK(!delays.limit(absl::Seconds(2) + CrashDelays::retention));
}
