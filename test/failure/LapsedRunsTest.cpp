/** \file
 * Runs whose leases end while their worker can't be heard. Such a worker may be cut off, and has not crashed for all
 * that is known: no sound job is given up for it, however often it happens.
 */

#include "DeadlyWorld.h"

#include <functional>

using namespace cicada;
using namespace cicada::test;

TEST_GROUP_BASE(LapsedRuns, DeadlyWorld)
{
    static constexpr size_t rounds = 4;

    /** The workers with runs of the job. */
    std::vector<size_t> workersOf(const std::string& job)
    {
        std::vector<size_t> found;
        for (size_t i = 0; i < world.workers().size(); ++i) {
            const auto& runs = world.workers()[i].runs;
            if (std::any_of(runs.begin(), runs.end(), [&](const auto& item) { return item.first.task.job == job; }))
                found.push_back(i);
        }
        return found;
    }
    /** Waits until all tasks of the job are at work, and a little longer. */
    std::vector<size_t> awaitAtWork(const std::string& job, uint32_t tasks)
    {
        const auto atWork = [&] {
            size_t runs = 0;
            for (const WorldWorker& worker : world.workers()) {
                for (const auto& [run, state] : worker.runs)
                    runs += run.task.job == job && !worker.isCut ? 1 : 0;
            }
            return runs == tasks;
        };
        CHECK(world.runUntil(atWork, absl::Seconds(60)));
        world.run(absl::Milliseconds(700));
        std::vector<size_t> reachable;
        for (const size_t i : workersOf(job)) {
            if (!world.workers()[i].isCut)
                reachable.push_back(i);
        }
        return reachable;
    }
    /** Cuts off whatever works on the job, in each round once it is at work again; `heal` follows 9 s later. */
    void disrupt(const Submission& job, const std::function<void(const std::vector<size_t>&)>& heal)
    {
        world.submit(other(), job);
        for (size_t round = 0; round < rounds; ++round) {
            const std::vector<size_t> cut = awaitAtWork(job.id, job.steps[0].taskCount);
            for (const size_t i : cut)
                world.cutOffWorker(i, true);
            world.run(absl::Seconds(9));
            heal(cut);
        }
    }
    void reconnect(const std::vector<size_t>& workers)
    {
        for (const size_t i : workers)
            world.cutOffWorker(i, false);
    }
};

TEST(LapsedRuns, aSoundJobIsNotGivenUpWhenItsWorkersAreCutOffFromEntriesAndStoreAgainAndAgain)
{
    disrupt(makeJob("job", 1, 1000, absl::Seconds(20)), [this](const auto& cut) { reconnect(cut); });
    expectFinished("job", absl::Seconds(80));
    CHECK(world.startsOf("job") > rounds);
    LONGS_EQUAL(0, world.counter("cicada_worker_crashes"));
}

TEST(LapsedRuns, aSoundJobIsNotGivenUpWhenWorkersAreCutOffOneAfterTheOtherForGood)
{
    disrupt(makeJob("job", 1, 1000, absl::Seconds(20)), [](const auto&) {});
    expectFinished("job", absl::Seconds(80));
}

TEST(LapsedRuns, aSoundJobIsNotGivenUpWhenItsWorkersRestartBehindTheCutAfterTheirLeases)
{
    disrupt(makeJob("job", 1, 1000, absl::Seconds(20)), [this](const auto& cut) {
        for (const size_t i : cut)
            world.crashWorker(i, absl::Milliseconds(100));
        world.run(absl::Milliseconds(200));
        reconnect(cut);
    });
    expectFinished("job", absl::Seconds(80));
}

TEST(LapsedRuns, aSoundJobIsNotGivenUpWhenItsWorkersAreListedAnewAsSoonAsTheirLeasesHaveEnded)
{
    const Submission job = makeJob("job", 1, 1000, absl::Seconds(20));
    world.submit(other(), job);
    for (size_t round = 0; round < rounds; ++round) {
        const size_t cut = awaitAtWork("job", 1).front();
        world.cutOffWorker(cut, true);
        CHECK(world.runUntil([&] { return world.workers()[cut].runs.empty(); }, absl::Seconds(9)));
        world.crashWorker(cut, absl::Milliseconds(20));
        world.run(absl::Milliseconds(20));
        world.cutOffWorker(cut, false);
    }
    expectFinished("job", absl::Seconds(80));
    CHECK(world.startsOf("job") > rounds);
}

TEST(LapsedRuns, aSoundJobIsNotGivenUpWhenOwnersAreKilledWhileItsWorkersAreCutOff)
{
    const Submission job = makeJob("job", 1, 1000, absl::Seconds(20));
    world.submit(other(), job);
    for (size_t round = 0; round < rounds; ++round) {
        const std::vector<size_t> cut = awaitAtWork("job", 1);
        for (const size_t i : cut)
            world.cutOffWorker(i, true);
        world.run(absl::Milliseconds(500));
        const size_t killed = owner();
        world.kill(killed);
        world.run(absl::Seconds(2));
        world.start(killed);
        world.run(absl::Seconds(10));
        reconnect(cut);
    }
    expectFinished("job", absl::Seconds(80));
}

TEST(LapsedRuns, noSoundJobIsGivenUpWhenAllWorkersAreCutOffAgainAndAgain)
{
    for (int i = 0; i < 10; ++i, ++jobs)
        world.submit(other(), makeJob(absl::StrCat("job", jobs), 4, 1000, absl::Seconds(8)));
    for (size_t round = 0; round < rounds; ++round) {
        world.run(absl::Seconds(3));
        for (size_t i = 0; i < world.workers().size(); ++i)
            world.cutOffWorker(i, true);
        world.run(absl::Seconds(9));
        for (size_t i = 0; i < world.workers().size(); ++i)
            world.cutOffWorker(i, false);
    }
    for (int i = 0; i < jobs; ++i)
        expectFinished(absl::StrCat("job", i), absl::Seconds(80));
}

TEST(LapsedRuns, aSoundGangIsNotGivenUpWhenItsWorkersAreCutOffAgainAndAgain)
{
    Submission gang = makeJob("gang", 6, 2000, absl::Seconds(20));
    gang.steps[0].isGang = true;
    disrupt(gang, [this](const auto& cut) { reconnect(cut); });
    expectFinished("gang", absl::Seconds(80));
}

TEST(LapsedRuns, aSoundServiceIsNotGivenUpWhenItsWorkersAreCutOffAgainAndAgain)
{
    Submission service = makeJob("service", 1);
    service.steps[0].isService = true;
    disrupt(service, [this](const auto& cut) { reconnect(cut); });
    CHECK(world.ask(other(), "service") == JobPhase::Running);
    LONGS_EQUAL(1, awaitAtWork("service", 1).size());
}

TEST(LapsedRuns, theNextOwnerDoesNotWaitAgainForLeasesThatHadEndedUnderAFormerOne)
{
    const auto replaceOwner = [this] {
        const size_t killed = owner();
        world.kill(killed);
        world.run(absl::Seconds(1));
        world.start(killed);
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(10)));
    };
    world.submit(other(), makeJob("job", 1, 1000, absl::Seconds(20)));
    const size_t lost = awaitAtWork("job", 1).front();
    for (size_t i = 0; i < world.workers().size(); ++i)
        world.setCapacity(i, { 100, 8000, 0 });
    world.run(absl::Seconds(1));
    world.crashWorker(lost, absl::Hours(1));
    replaceOwner();
    world.run(absl::Seconds(10));
    LONGS_EQUAL(1, world.counter("cicada_runs_over{why=\"leases-ended\"}"));
    replaceOwner();
    for (size_t i = 0; i < world.workers().size(); ++i) {
        if (i != lost)
            world.setCapacity(i, { 4000, 8000, 0 });
    }
    CHECK(world.runUntil([&] { return world.startsOf("job") == 2; }, absl::Seconds(3)));
}

TEST(LapsedRuns, crashesThatShowOnlyAfterTheTaskHasFinishedDoNotFailItsJob)
{
    const TaskName first { "job", 0, 0, 0 };
    world.setDeadly(
        [&](const TaskName& task) { return task == first && world.crashesUnder(first) < 3; }, absl::Seconds(2));
    Submission job = makeJob("job", 1, 4000, absl::Seconds(3));
    job.steps.push_back(makeJob("next", 1, 4000, absl::Seconds(60)).steps[0]);
    job.steps[1].after = { 0 };
    world.submit(other(), job);
    for (size_t crash = 1; crash <= 3; ++crash) {
        CHECK(world.runUntil([&] { return world.crashesUnder(first) == crash; }, absl::Seconds(20)));
        for (size_t i = 0; i < world.workers().size(); ++i) {
            if (world.workers()[i].isDown)
                world.cutOffWorker(i, true);
        }
    }
    CHECK(world.runUntil([&] { return world.startsOf("job") >= 5; }, absl::Seconds(30)));
    for (size_t i = 0; i < world.workers().size(); ++i)
        world.cutOffWorker(i, false);
    world.run(absl::Seconds(5));
    CHECK(world.ask(other(), "job") == JobPhase::Running);
    LONGS_EQUAL(3, world.counter("cicada_runs_decided{verdict=\"crashed\"}"));
}
