/** \file
 * Jobs with the largest numbers that a caller can send. What is computed from them may exceed every integer; converted
 * all the same, the result depends on the processor, so the sanitizer build ends at such a conversion.
 */

#include "CellWorld.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

#include <limits>

using namespace cicada;
using namespace cicada::test;

TEST_GROUP(ExtremeJobs)
{
    CellWorld world { 3, 8, 1 };

    void setup() override
    {
        world.setAccount({ "account", 1, { 1 << 20, 0, 0 } });
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
        world.run(absl::Seconds(1));
    }
    void teardown() override { STRCMP_EQUAL("", world.report().c_str()); }

    void submit(const std::string& id, uint32_t tasks, absl::Duration estimate)
    {
        Submission job = makeJob(id, tasks, 1000, estimate);
        job.account = "account";
        world.submitOnce(0, job);
        CHECK(world.runUntil([&] { return !world.repliesTo(id).empty(); }, absl::Seconds(3)));
    }
};

TEST(ExtremeJobs, aJobOfTheLongestEstimateIsRefusedWhereItCanNotBeOnTime)
{
    constexpr absl::Duration longest = absl::Milliseconds(std::numeric_limits<int64_t>::max());
    for (int i = 0; i < 40; ++i)
        submit(absl::StrCat("job", i), 8, absl::Seconds(5));
    submit("extreme", 2, longest);
    const GatewayReply reply = world.repliesTo("extreme").back();
    CHECK(reply.status == GatewayStatus::Refused);
    CHECK(reply.count >= 1 && reply.count <= 5);
}

TEST(ExtremeJobs, anOccurrenceBeyondTheRangeOfTimesNeverStarts)
{
    for (const int64_t interval : { std::numeric_limits<int64_t>::max(), std::numeric_limits<int64_t>::max() / 2 }) {
        const std::string id = absl::StrCat("timed", interval);
        Submission job = makeJob(id, 2);
        job.occurrences = 3;
        job.startUnixMillis = absl::ToInt64Milliseconds(world.now()) + 2000;
        job.intervalMillis = interval;
        world.submit(0, job);
        world.run(absl::Milliseconds(1900));
        LONGS_EQUAL(0, world.startsOf(id));
        world.run(absl::Seconds(10));
        LONGS_EQUAL(2, world.startsOf(id));
        CHECK(world.ask(0, id) == JobPhase::Running);
    }
}

TEST(ExtremeJobs, aNewOwnerDoesNotStartAnOccurrenceBeyondTheRangeOfTimes)
{
    Submission job = makeJob("timed", 2);
    job.occurrences = 2;
    job.startUnixMillis = std::numeric_limits<int64_t>::max();
    job.intervalMillis = std::numeric_limits<int64_t>::max();
    world.submit(0, job);
    world.run(absl::Seconds(2));
    world.kill(*world.owner());
    CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
    world.run(absl::Seconds(5));
    LONGS_EQUAL(0, world.startsOf("timed"));
    CHECK(world.ask(*world.owner(), "timed") == JobPhase::Queued);
}
