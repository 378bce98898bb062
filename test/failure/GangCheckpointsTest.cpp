/** \file
 * From which checkpoint a gang goes on after workers have crashed.
 */

#include "CellFailureWorld.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP_BASE(GangCheckpoints, CellFailureWorld) { /** Starts a gang with one member on each of so many workers. */
    void startGang(CellWorld & at, uint32_t members) {
        CHECK(at.runUntil([&] { return at.owner().has_value(); }, absl::Seconds(5)));
Submission gang = makeJob("gang", members, 1000, absl::Seconds(40));
gang.steps[0].isGang = true;
gang.steps[0].savesCheckpoints = true;
gang.steps[0].maxPerWorker = 1;
at.submit(at.owner().value(), gang);
CHECK(at.runUntil([&] { return at.startsOf("gang") == members; }, absl::Seconds(5)));
}
static size_t workerOf(CellWorld& at, uint32_t index)
{
    for (size_t i = 0; i < at.workers().size(); ++i) {
        for (const auto& [run, state] : at.workers()[i].runs) {
            if (run.task.index == index)
                return i;
        }
    }
    FAIL("no worker runs the member");
    return 0;
}
/** Checks what the members that run now carry. */
static void expectCheckpoint(CellWorld& at, const std::string& expected)
{
    for (const WorldWorker& worker : at.workers()) {
        for (const auto& [run, state] : worker.runs)
            STRCMP_EQUAL(expected.c_str(), state.checkpoint.c_str());
    }
}
}
;

TEST(GangCheckpoints, membersOfWhichOneCrashedBeforeItListedTheNewestCarryTheSame)
{
    startGang(world, 3);
    world.saveCheckpoint("gang", "c1");
    world.run(absl::Seconds(4));
    world.saveCheckpoint("gang", "c2");
    world.crashWorker(workerOf(world, 1), absl::Milliseconds(500));
    CHECK(world.runUntil([&] { return world.startsOf("gang") == 6; }, absl::Seconds(15)));
    expectCheckpoint(world, "c2");
}

TEST(GangCheckpoints, membersCarryTheSameAfterAChangeOfOwner)
{
    for (int64_t offset = 0; offset <= 1500; offset += 100) {
        CellWorld deployment { 3, 6, 7 };
        startGang(deployment, 3);
        deployment.saveCheckpoint("gang", "c1");
        deployment.run(absl::Seconds(4));
        deployment.saveCheckpoint("gang", "c2");
        deployment.crashWorker(workerOf(deployment, 1), absl::Milliseconds(500));
        deployment.run(absl::Milliseconds(offset));
        deployment.kill(deployment.owner().value());
        CHECK(deployment.runUntil([&] { return deployment.startsOf("gang") >= 6; }, absl::Seconds(40)));
        deployment.run(absl::Seconds(1));
        STRCMP_EQUAL("", deployment.report().c_str());
        expectCheckpoint(deployment, "c2");
    }
}

TEST(GangCheckpoints, aListThatIsHeardLateBringsNoOlderCheckpoint)
{
    for (int64_t offset = 0; offset <= 4000; offset += 200) {
        CellWorld deployment { 3, 6, 7 };
        startGang(deployment, 2);
        const size_t late = workerOf(deployment, 1);
        deployment.workers()[late].listDelay = absl::Milliseconds(2500);
        deployment.saveCheckpoint("gang", "c1");
        deployment.run(absl::Seconds(6));
        deployment.saveCheckpoint("gang", "c2");
        deployment.run(absl::Milliseconds(offset));
        deployment.saveCheckpoint("gang", "c3");
        // The other member has listed the newest one by then.
        deployment.run(absl::Milliseconds(1700));
        deployment.crashWorker(workerOf(deployment, 0), absl::Seconds(4));
        deployment.crashWorker(late, absl::Seconds(4));
        CHECK(deployment.runUntil([&] { return deployment.startsOf("gang") >= 4; }, absl::Seconds(40)));
        STRCMP_EQUAL("", deployment.report().c_str());
        expectCheckpoint(deployment, "c3");
    }
}
