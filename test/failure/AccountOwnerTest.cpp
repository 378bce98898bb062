/** \file
 * Jobs of accounts when their cell's owner or its store fails.
 */

#include "CellWorld.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP(AccountOwner)
{
    CellWorld world { 3, 8, 1 };

    void setup() override
    {
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
    }
    void teardown() override { STRCMP_EQUAL("", world.report().c_str()); }
    void send(const std::string& id, const std::string& account, absl::Duration estimate = absl::Milliseconds(600))
    {
        Submission job = makeJob(id, 1, 1000, estimate);
        job.account = account;
        world.submitOnce((*world.owner() + 1) % 3, job);
    }
};

TEST(AccountOwner, aNewOwnerStartsOwedJobsBeforeExcessOnesThatCameFirst)
{
    world.policy().latencyTarget = absl::Minutes(5);
    world.setAccount("a", 1);
    for (int i = 0; i < 32; ++i)
        send(absl::StrCat("filler", i), "", absl::Seconds(20));
    world.run(absl::Seconds(1));
    for (int i = 0; i < 40; ++i)
        send(absl::StrCat("excess", i), "a");
    for (int i = 0; i < 4; ++i) {
        world.run(absl::Milliseconds(1100));
        send(absl::StrCat("owed", i), "a");
    }
    world.run(absl::Milliseconds(500));
    const size_t former = *world.owner();
    world.kill(former);
    const size_t other = (former + 1) % 3;
    CHECK(world.runUntil([&] { return world.allEnded(other); }, absl::Seconds(60)));
    Instant lastOwed = absl::ZeroDuration();
    for (int i = 0; i < 4; ++i)
        lastOwed = std::max(lastOwed, world.firstStartOf(absl::StrCat("owed", i)).value());
    // The first one of the flood is owed, too.
    size_t before = 0;
    for (int i = 1; i < 40; ++i)
        before += world.firstStartOf(absl::StrCat("excess", i)).value() < lastOwed ? 1 : 0;
    LONGS_EQUAL(0, before);
}

TEST(AccountOwner, whileTheStoreDoesNotAnswerWritesAJobOfAnAccountIsRefusedAtOnceAndNeverRuns)
{
    world.setAccount("a", 10);
    const size_t owner = *world.owner();
    world.setStore(owner, StoreMood::WritesLate);
    send("without", "");
    world.run(absl::Milliseconds(4500));
    LONGS_EQUAL(owner, *world.owner());
    send("with", "a");
    world.run(absl::Milliseconds(100));
    CHECK(world.answersTo("with") == std::vector<GatewayStatus> { GatewayStatus::Refused });
    CHECK(world.retryAfters("with").front() >= 1);
    world.setStore(owner, StoreMood::Well);
    world.run(absl::Seconds(10));
    LONGS_EQUAL(0, world.startsOf("with"));
    send("with", "a");
    CHECK(world.runUntil([&] { return world.ask(0, "with") == JobPhase::Finished; }, absl::Seconds(10)));
}
