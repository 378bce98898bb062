/** \file
 * Gangs with a task that crashes its worker, and sound gangs beside them.
 */

#include "DeadlyWorld.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP_BASE(DeadlyGangs, DeadlyWorld) {
    void submitGang(const std::string& job, uint32_t members, int64_t cpuMillis = 1000,
        absl::Duration work = absl::Milliseconds(600)) { Submission gang = makeJob(job, members, cpuMillis, work);
gang.steps[0].isGang = true;
world.submit(other(), gang);
}
}
;

TEST(DeadlyGangs, aDeadlyGangIsGivenUp)
{
    makeDeadly("deadly");
    submitGang("deadly", 6);
    submitSome(10, other());
    expectFailed("deadly", absl::Seconds(60));
    expectAllEnd();
}

TEST(DeadlyGangs, aGangThatCrashesWorkersBeforeTheyReplyIsGivenUp)
{
    makeDeadly("deadly");
    world.setCrashesBeforeReply();
    submitGang("deadly", 6);
    expectFailed("deadly", absl::Seconds(60));
}

TEST(DeadlyGangs, soundGangsAreNotGivenUpForTheCrashesOfDeadlyGangs)
{
    world.setDeadly([](const TaskName& task) { return task.job[0] == 'd' && task.index == 0; });
    for (int i = 0; i < 6; ++i) {
        submitGang(absl::StrCat("deadly", i), 3, 300, absl::Seconds(20));
        submitGang(absl::StrCat("sound", i), 3, 300, absl::Seconds(2));
        world.run(absl::Milliseconds(50));
    }
    for (int i = 0; i < 6; ++i) {
        expectFinished(absl::StrCat("sound", i));
        expectFailed(absl::StrCat("deadly", i));
    }
}

TEST(DeadlyGangs, aSuspectGangWaitsOnlySecondsForAnotherThatIsAtWork)
{
    Submission busy = makeJob("busy", static_cast<uint32_t>(world.workers().size()) - 1, 4000, absl::Seconds(300));
    world.submit(other(), busy);
    CHECK(world.runUntil([&] { return world.startsOf("busy") == busy.steps[0].taskCount; }, absl::Seconds(5)));
    submitGang("a", 2, 300, absl::Seconds(200));
    submitGang("b", 2, 300, absl::Seconds(200));
    CHECK(world.runUntil([&] { return world.startsOf("a") == 2 && world.startsOf("b") == 2; }, absl::Seconds(5)));
    world.run(absl::Seconds(2));
    for (size_t i = 0; i < world.workers().size(); ++i) {
        if (world.workers()[i].runs.size() > 1)
            world.crashWorker(i, absl::Milliseconds(500));
    }
    CHECK(world.runUntil([&] { return world.startsOf("a") + world.startsOf("b") == 6; }, absl::Seconds(10)));
    CHECK(world.runUntil([&] { return world.startsOf("a") + world.startsOf("b") == 8; }, absl::Seconds(15)));
}
