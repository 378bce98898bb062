/** \file
 * The sums of what accounts hold, what their limits leave, and their metrics.
 */

#include "AccountUsage.h"
#include "AccountMetrics.h"
#include "AccountQuota.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

#include "CppUTest/TestHarness.h"

using namespace cicada;

TEST_GROUP(AccountUsage)
{
    AccountUsage usage;
    static constexpr Resources task { 1000, 100, 0 };
};

TEST(AccountUsage, sumsAreThoseOfWhatIsNotReleased)
{
    usage.add("a", "job1", task);
    usage.add("a", "job2", { 500, 10, 1 });
    usage.add("b", "job3", task);
    usage.add("", "job4", task);
    usage.remove("a", "job1", task);
    usage.remove("", "job4", task);
    LONGS_EQUAL(500, usage.allocatedTo("a").cpuMillis);
    LONGS_EQUAL(1, usage.allocatedTo("a").accelerators);
    LONGS_EQUAL(0, usage.runsOf("job1"));
    LONGS_EQUAL(1, usage.runsOf("job2"));
    LONGS_EQUAL(0, usage.runsOf("job4"));
    usage.remove("a", "job2", { 500, 10, 1 });
    LONGS_EQUAL(1, usage.totals().size());
}

TEST(AccountUsage, theScarcestResourceDecidesHowManyTasksMayStart)
{
    usage.add("a", "job1", task);
    LONGS_EQUAL(3, usage.startable("a", { 4999, 10000, 0 }, task));
    LONGS_EQUAL(2, usage.startable("a", { 9000, 300, 0 }, task));
    LONGS_EQUAL(4, usage.startable("b", { 4999, 10000, 0 }, task));
}

TEST(AccountUsage, aGrantOfNothingIsNotTakenForNoLimit)
{
    CHECK(usage.startable("a", { unlimitedAmount, unlimitedAmount, unlimitedAmount }, task) > 1000000);
    LONGS_EQUAL(0, usage.startable("a", { 0, unlimitedAmount, unlimitedAmount }, task));
    // Of a resource that the task does not need, none has to be left.
    LONGS_EQUAL(5, usage.startable("a", { 5000, unlimitedAmount, 0 }, task));
}

TEST(AccountUsage, useAboveALoweredLimitLeavesNothing)
{
    usage.add("a", "job1", { 8000, 100, 0 });
    LONGS_EQUAL(0, usage.startable("a", { 5000, unlimitedAmount, unlimitedAmount }, task));
}

TEST(AccountUsage, aFieldWithoutLimitIsUnlimitedWhateverTheQuotaSays)
{
    const ClientAccount account { "a", 1, { 10000, 0, 3 } };
    const Resources quota = withUnlimited(account, { 2500, 0, 0 });
    LONGS_EQUAL(2500, quota.cpuMillis);
    CHECK(quota.memoryMiB == unlimitedAmount);
    LONGS_EQUAL(0, quota.accelerators);
}

TEST(AccountUsage, theNumberOfSeriesIsBoundedAndNothingIsLost)
{
    Metrics metrics;
    AccountMetrics published(metrics);
    AccountUsage second;
    for (int i = 0; i < 60; ++i)
        usage.add(absl::StrCat("account", i), "job", task);
    second.add("account0", "job", task);
    published.publish({ &usage, &second });
    const std::string text = metrics.text();
    LONGS_EQUAL(AccountMetrics::maxNames + 1, std::count(text.begin(), text.end(), '\n'));
    CHECK(text.find("{account=\"other\"} 1") != std::string::npos);
}
