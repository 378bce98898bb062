/** \file
 * The limits of client accounts when owners and workers fail. The world fails a test in which an account has more at
 * work than its limit at the start of a run.
 */

#include "CellFailureWorld.h"

#include <algorithm>

using namespace cicada;
using namespace cicada::test;

TEST_GROUP_BASE(CellAccountFailures, CellFailureWorld) {
    /** Four long runs use up the account's limit, and a job of the account waits for it. */
    void fillLimit() { world.setAccount({ "account", 1, { 4000, 0, 0 } });
submitAs("long", 4, absl::Seconds(20));
CHECK(world.runUntil([&] { return world.startsOf("long") == 4; }, absl::Seconds(5)));
submitAs("next", 4, absl::Seconds(1));
world.run(absl::Milliseconds(500));
LONGS_EQUAL(0, world.startsOf("next"));
}
void submitAs(const std::string& id, uint32_t tasks, absl::Duration estimate)
{
    Submission job = makeJob(id, tasks, 1000, estimate);
    job.account = "account";
    world.submit(other(), job);
}
void cutBusyWorkers(bool isCut)
{
    for (WorldWorker& worker : world.workers())
        worker.isCut = isCut && !worker.runs.empty();
}
/** Nothing of the waiting job starts while the former runs are at work, and it starts when they are over. */
void expectNextAfterLong()
{
    CHECK(world.runUntil([&] { return world.startsOf("next") == 4; }, absl::Seconds(60)));
}
}
;

TEST(CellAccountFailures, aNewOwnerCountsStoredRunsBeforeItHearsTheirWorkers)
{
    fillLimit();
    cutBusyWorkers(true);
    world.kill(owner());
    expectNextAfterLong();
}

TEST(CellAccountFailures, runsThatAreBeingStoppedCount)
{
    fillLimit();
    cutBusyWorkers(true);
    world.cancel(other(), "long");
    world.run(absl::Seconds(2));
    LONGS_EQUAL(4000, world.cpuMillisOf("account"));
    LONGS_EQUAL(0, world.startsOf("next"));
    cutBusyWorkers(false);
    expectNextAfterLong();
}

TEST(CellAccountFailures, aNewOwnerCountsRunsOfACancelledJob)
{
    fillLimit();
    cutBusyWorkers(true);
    world.cancel(other(), "long");
    world.run(absl::Seconds(3));
    world.kill(owner());
    expectNextAfterLong();
}

TEST(CellAccountFailures, aLostWorkerGivesItsQuotaBackOnlyWithItsRuns)
{
    fillLimit();
    cutBusyWorkers(true);
    expectNextAfterLong();
    cutBusyWorkers(false);
    CHECK(world.runUntil([&] { return world.ask(other(), "next") == JobPhase::Finished; }, absl::Seconds(20)));
}
