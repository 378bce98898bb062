/** \file
 * Jobs of as many tasks as a caller may submit. What is stored of them has to stay below the size of the store's
 * values.
 */

#include "CellFailureWorld.h"

using namespace cicada;
using namespace cicada::test;

namespace {

/** The length of a worker's id where ids are UUIDs. */
constexpr size_t longIdBytes = 36;

} // namespace

TEST_GROUP_BASE(WideJobs, CellFailureWorld) { void setup() override { CellFailureWorld::setup();
for (size_t i = 0; i < world.workers().size(); ++i) {
    const std::string id = absl::StrCat("worker-", i);
    world.workers()[i].nextId = id + std::string(longIdBytes - id.size(), '-');
    world.crashWorker(i, absl::Milliseconds(500));
}
world.run(absl::Seconds(8));
for (size_t i = 0; i < world.workers().size(); ++i)
    world.setCapacity(i, { 40000, 64000, 0 });
world.run(absl::Seconds(1));
}
Submission widestJob(const std::string& id)
{
    Submission job = makeJob(id, maxTasksPerStep, 10, absl::Seconds(2));
    job.steps[0].demand.memoryMiB = 1;
    job.steps.push_back(job.steps[0]);
    return job;
}
}
;

TEST(WideJobs, theWidestJobRunsAndHoldsUpNoOther)
{
    world.submit(other(), widestJob("wide"));
    world.run(absl::Seconds(1));
    submitSome(10, other());
    expectAllEnd();
    CHECK(world.runUntil([&] { return world.ask(owner(), "wide") == JobPhase::Finished; }, absl::Seconds(60)));
    LONGS_EQUAL(maxTasksPerSubmission, world.startsOf("wide"));
    LONGS_EQUAL(0, world.store().refusedValues());
}

TEST(WideJobs, aRecordThatTheStoreRejectsHoldsUpNoOtherJobAndACancelEndsIt)
{
    world.store().setMaxValueBytes(3000);
    world.submit(other(), makeJob("rejected", 1000, 10));
    world.run(absl::Seconds(1));
    submitSome(10, other());
    for (int i = 0; i < jobs; ++i) {
        const std::string id = absl::StrCat("job", i);
        CHECK(world.runUntil([&] { return world.ask(owner(), id) == JobPhase::Finished; }, absl::Seconds(10)));
    }
    CHECK(world.store().refusedValues() > 0);
    LONGS_EQUAL(0, world.startsOf("rejected"));
    world.cancel(other(), "rejected");
    CHECK(world.runUntil([&] { return world.ask(owner(), "rejected") == JobPhase::Cancelled; }, absl::Seconds(5)));
}
