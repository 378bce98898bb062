/** \file
 * The limits of client accounts while nothing fails. The world fails a test in which an account has more at work than
 * its limit at the start of a run.
 */

#include "CellWorld.h"
#include "JobApi.h"
#include "SilentStore.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP(CellAccounts)
{
    CellWorld world { 3, 8, 1 };

    void setup() override
    {
        world.setAccount({ "large", 1, { 6000, 0, 0 } });
        world.setAccount({ "small", 1, { 6000, 0, 0 } });
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
        world.run(absl::Seconds(1));
    }
    void teardown() override { STRCMP_EQUAL("", world.report().c_str()); }

    static Submission jobOf(const std::string& account, Submission job)
    {
        job.account = account;
        return job;
    }
    static Submission gangOf(const std::string& account, Submission job)
    {
        job.steps[0].isGang = true;
        return jobOf(account, std::move(job));
    }
    bool startsWithin(const std::string& job, size_t tasks, absl::Duration limit)
    {
        return world.runUntil([&] { return world.startsOf(job) >= tasks; }, limit);
    }
    GatewayReply replyTo(const Submission& job, size_t entry = 0)
    {
        world.submitOnce(entry, job);
        world.runUntil([&] { return !world.repliesTo(job.id).empty(); }, absl::Seconds(3));
        return world.repliesTo(job.id).back();
    }
};

TEST(CellAccounts, aFloodOfOneAccountLeavesRoomForAnother)
{
    for (int i = 0; i < 300; ++i)
        world.submit(i % 3, jobOf("large", makeJob(absl::StrCat("flood", i), 2)));
    world.run(absl::Seconds(1));
    CHECK(world.cpuMillisOf("large") >= 5000);
    world.submit(0, jobOf("small", makeJob("job", 4)));
    CHECK(startsWithin("job", 4, absl::Milliseconds(200)));
}

TEST(CellAccounts, aStepThatIsWiderThanTheLimitRunsInWaves)
{
    Submission job = makeJob("wide", 20);
    job.steps[0].prefersOneRack = true;
    world.submit(0, jobOf("large", job));
    CHECK(startsWithin("wide", 6, absl::Milliseconds(300)));
    LONGS_EQUAL(6, world.startsOf("wide"));
    CHECK(world.runUntil([&] { return world.ask(0, "wide") == JobPhase::Finished; }, absl::Seconds(10)));
    LONGS_EQUAL(20, world.startsOf("wide"));
}

TEST(CellAccounts, aGangThatFitsTheLimitOnlyLaterReservesNothing)
{
    world.policy().advice = { true, absl::Milliseconds(5), absl::ZeroDuration(), absl::Seconds(2) };
    world.setAccount({ "large", 1, { 20000, 0, 0 } });
    world.submit(0, jobOf("large", makeJob("long", 8, 1000, absl::Seconds(10))));
    CHECK(startsWithin("long", 8, absl::Seconds(3)));
    const size_t asked = world.adviceRequests();
    world.submit(0, gangOf("large", makeJob("gang", 16)));
    world.run(absl::Seconds(6));
    LONGS_EQUAL(0, world.startsOf("gang"));
    LONGS_EQUAL(asked, world.adviceRequests());
    world.submit(0, makeJob("narrow", 20));
    CHECK(startsWithin("narrow", 20, absl::Seconds(1)));
    CHECK(startsWithin("gang", 16, absl::Seconds(10)));
}

TEST(CellAccounts, aGangThatItsLimitHoldsIdlesNoWorker)
{
    CellWorld wide { 3, 40, 1 };
    wide.setAccount({ "large", 1, { 10000, 0, 0 } });
    CHECK(wide.runUntil([&] { return wide.owner().has_value(); }, absl::Seconds(5)));
    wide.run(absl::Seconds(1));
    wide.submit(0, jobOf("large", makeJob("long", 8, 1000, absl::Seconds(30))));
    CHECK(wide.runUntil([&] { return wide.startsOf("long") == 8; }, absl::Seconds(1)));
    wide.submit(0, gangOf("large", makeJob("gang", 10)));
    wide.run(absl::Seconds(2));
    int64_t free = 0;
    for (const WorldWorker& worker : wide.workers())
        free += (worker.capacity.cpuMillis - (worker.runs.size() * 1000)) / 1000;
    wide.submit(0, makeJob("narrow", static_cast<uint32_t>(free), 1000, absl::Seconds(4)));
    CHECK(wide.runUntil([&] { return wide.startsOf("narrow") == static_cast<size_t>(free); }, absl::Seconds(1)));
    LONGS_EQUAL(0, wide.startsOf("gang"));
    STRCMP_EQUAL("", wide.report().c_str());
}

TEST(CellAccounts, whatCanNeverStartIsRefusedForGood)
{
    for (size_t entry = 0; entry < world.entryCount(); ++entry) {
        const Submission gang = gangOf("large", makeJob(absl::StrCat("gang", entry), 7));
        CHECK(replyTo(gang, entry).isRefusedFor(RefusalCode::LargerThanAccountLimit));
    }
    CHECK(replyTo(jobOf("large", makeJob("task", 1, 6001))).isRefusedFor(RefusalCode::LargerThanAccountLimit));
    CHECK(replyTo(gangOf("large", makeJob("fits", 6))).status == GatewayStatus::Accepted);
    CHECK(replyTo(gangOf("", makeJob("ownerless", 7))).status == GatewayStatus::Accepted);
}

TEST(CellAccounts, theCallerOfATooLargeJobIsNotToldToTryAgain)
{
    ManualClock clock;
    TimerQueue timers { clock };
    EventLog log { "e", -1 };
    Metrics metrics;
    SilentStore store;
    platform::Catalog catalog { store, timers, log, metrics };
    catalog.take(R"({"version":1,"routes":[{"name":"queue","hostname":"h","prefix":"/p/","service":"service"}],)"
                 R"("tenants":[{"name":"large","apiKeys":["key"],"maxCount":{"cpu":6000}}]})",
        "test");
    platform::JobApi api { catalog, world.gateway(1), log, metrics };
    std::optional<platform::HttpResponse> response;
    api.handle({ "POST", "/p/0123456789abcdef", "", "h", 0, "key",
                   R"({"spec":"s","steps":[{"count":7,"cpu":1000,"memMb":1,"estimateMs":9,"gang":true}]})" },
        [&](platform::HttpResponse given) { response = std::move(given); });
    CHECK(world.runUntil([&] { return response.has_value(); }, absl::Seconds(3)));
    LONGS_EQUAL(429, response->status);
    LONGS_EQUAL(0, response->retryAfterSeconds);
}

TEST(CellAccounts, nothingStartsBeforeTheLimitsAreKnown)
{
    world.setConfigurationRead(false);
    world.submit(0, jobOf("large", makeJob("job", 2)));
    world.submit(0, makeJob("free", 2));
    CHECK(startsWithin("free", 2, absl::Seconds(1)));
    world.run(absl::Seconds(3));
    LONGS_EQUAL(0, world.startsOf("job"));
    world.setConfigurationRead(true);
    CHECK(startsWithin("job", 2, absl::Milliseconds(100)));
}

TEST(CellAccounts, aLoweredLimitStartsNothingUntilUseHasFallen)
{
    world.submit(0, jobOf("large", makeJob("long", 5, 1000, absl::Seconds(4))));
    CHECK(startsWithin("long", 5, absl::Seconds(1)));
    world.setAccount({ "large", 1, { 2000, 0, 0 } });
    world.submit(0, jobOf("large", makeJob("next", 2, 1000, absl::Seconds(4))));
    while (world.cpuMillisOf("large") > 1000) {
        LONGS_EQUAL(0, world.startsOf("next"));
        world.run(absl::Milliseconds(20));
    }
    CHECK(startsWithin("next", 1, absl::Seconds(1)));
}

TEST(CellAccounts, aRaisedLimitTakesEffectAtOnce)
{
    world.submit(0, jobOf("large", makeJob("wide", 12, 1000, absl::Seconds(20))));
    CHECK(startsWithin("wide", 6, absl::Seconds(1)));
    world.run(absl::Seconds(1));
    world.setAccount({ "large", 1, { 0, 0, 0 } });
    CHECK(startsWithin("wide", 12, absl::Milliseconds(100)));
}
