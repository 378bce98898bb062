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
