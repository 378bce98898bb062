/** \file
 * Which jobs of an account are owed service.
 */

#include "AccountRate.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

/** How many of the jobs that come at even intervals are owed. */
int countOwed(AccountRate& rate, double weight, int jobs, absl::Duration interval, Instant begin)
{
    int owed = 0;
    for (int i = 0; i < jobs; ++i)
        owed += rate.recordAccepted("a", weight, begin + interval * i) ? 0 : 1;
    return owed;
}

} // namespace

TEST_GROUP(AccountRate) { const Instant begin = absl::Seconds(1000); };

TEST(AccountRate, anAccountAtItsRateIsOwedAllAndAFloodIsOwedTheRateAndOneBurst)
{
    AccountRate steady(1);
    LONGS_EQUAL(500, countOwed(steady, 10, 500, absl::Milliseconds(100), begin));
    AccountRate flood(1);
    // 5 s at 75 jobs a second, with a weight of 10.
    const int owed = countOwed(flood, 10, 375, absl::Milliseconds(1000) / 75, begin);
    CHECK(owed >= 59 && owed <= 60);
}

TEST(AccountRate, aRefusedJobTakesNoToken)
{
    AccountRate rate(1);
    for (int i = 0; i < 10; ++i)
        CHECK(!rate.isExcess("a", 1, begin));
    CHECK(!rate.recordAccepted("a", 1, begin));
    CHECK(rate.isExcess("a", 1, begin));
    CHECK(!rate.isExcess("b", 1, begin));
}

TEST(AccountRate, aCellHasItsPartOfTheRateAndABurstOfAtLeastOneJob)
{
    AccountRate quarter(4);
    LONGS_EQUAL(1, countOwed(quarter, 2, 20, absl::Milliseconds(1), begin));
    CHECK(quarter.isExcess("a", 2, begin + absl::Milliseconds(1990)));
    CHECK(!quarter.isExcess("a", 2, begin + absl::Milliseconds(2001)));
}
