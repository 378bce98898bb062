/** \file
 * Gangs that need a large part of a cell's workers at the same moment.
 */

#include "CellWorld.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

namespace {

/** The capacity of each worker of a CellWorld. */
constexpr int64_t workerCpuMillis = 4000;
const AdvicePolicy quickAdvice { true, absl::Milliseconds(10), absl::Milliseconds(0.1), absl::Seconds(2) };

Submission makeGang(const std::string& id, uint32_t tasks, int64_t cpuMillis)
{
    Submission job = makeJob(id, tasks, cpuMillis);
    job.steps[0].isGang = true;
    return job;
}

/** Puts the jobs PREFIX0, PREFIX1... into queues whose tickets take long and expire soon. */
void setSlowAdvice(CellWorld& world, const std::string& prefix, int jobs)
{
    constexpr absl::Duration delay = absl::Milliseconds(700);
    world.setAdviceDelay(delay);
    world.setTicketValidity(absl::Seconds(1));
    QueuePolicy policy = world.policy();
    policy.advice = { true, delay, absl::ZeroDuration(), absl::Seconds(1) };
    for (int i = 0; i < jobs; ++i)
        world.setQueueOf(absl::StrCat(prefix, i), policy);
}

/** The service of the traced case: requests for 100 workers take 1.06 s, which is nearly half of what tickets last. */
const AdvicePolicy tracedAdvice { true, absl::Seconds(0.44), absl::Milliseconds(6.2), absl::Seconds(2.5) };

/** Puts PREFIX0, PREFIX1... into queues with the policy service of the traced case, and a target that they can meet. */
void setTracedAdvice(CellWorld& world, const std::string& prefix, int jobs)
{
    world.setAdviceDelay(absl::Seconds(1.06));
    world.setTicketValidity(tracedAdvice.validity);
    QueuePolicy policy = world.policy();
    policy.advice = tracedAdvice;
    policy.latencyTarget = absl::Seconds(30);
    for (int i = 0; i < jobs; ++i)
        world.setQueueOf(absl::StrCat(prefix, i), policy);
}

/** How many workers' worth of processors nothing runs on. */
int64_t idleWorkers(CellWorld& world)
{
    int64_t idle = 0;
    for (const WorldWorker& worker : world.workers()) {
        idle += worker.capacity.cpuMillis;
        for (const auto& [task, run] : worker.runs)
            idle -= run.demand.cpuMillis;
    }
    return idle / workerCpuMillis;
}

/** Hands in narrow jobs that together keep `workers` workers busy, for as long as `duration`. */
void runBeside(CellWorld& world, int workers, absl::Duration duration, const std::string& prefix)
{
    constexpr absl::Duration interval = absl::Milliseconds(100);
    // A task holds a quarter of a worker for 600 ms.
    const int tasksPerInterval = workers * 4 / 6;
    const int rounds = static_cast<int>(duration / interval);
    for (int i = 0; i < rounds; ++i) {
        world.submitOnce(static_cast<size_t>(i) % 3, makeJob(absl::StrCat(prefix, i), tasksPerInterval));
        world.run(interval);
    }
}

void startWorld(CellWorld& world, bool needsAdvice)
{
    if (needsAdvice)
        world.policy().advice = quickAdvice;
    CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
    world.run(absl::Seconds(1));
}

} // namespace

TEST_GROUP(WideSteps) {};

TEST(WideSteps, aGangThatNeedsTicketsOfSeveralRequestsStarts)
{
    // The policy service allows 160 of these workers, and answers for 100 of them in a request.
    CellWorld world { 3, 240, 1 };
    world.setCells(1);
    startWorld(world, true);
    world.submit(0, makeGang("gang", 150, workerCpuMillis));
    CHECK(world.runUntil([&] { return world.startsOf("gang") == 150; }, absl::Seconds(6)));
    STRCMP_EQUAL("", world.report().c_str());
}

TEST(WideSteps, narrowWorkThatKeepsArrivingDoesNotKeepAGangWaiting)
{
    for (const bool needsAdvice : { false, true }) {
        CellWorld world { 3, 24, 1 };
        startWorld(world, needsAdvice);
        runBeside(world, 23, absl::Seconds(3), "before");
        world.submit(0, makeGang("gang", 12, workerCpuMillis));
        runBeside(world, 23, absl::Seconds(10), "beside");
        LONGS_EQUAL(12, world.startsOf("gang"));
        STRCMP_EQUAL("", world.report().c_str());
    }
}

TEST(WideSteps, aGangThatServicesLeaveNoRoomForKeepsNothingFromNarrowWork)
{
    CellWorld world { 3, 24, 1 };
    startWorld(world, false);
    Submission service = makeJob("service", 13, 1000, absl::Minutes(10));
    service.steps[0].isService = true;
    service.steps[0].maxPerWorker = 1;
    world.submit(0, service);
    CHECK(world.runUntil([&] { return world.startsOf("service") == 13; }, absl::Seconds(2)));
    world.submit(0, makeGang("gang", 12, workerCpuMillis));
    world.run(absl::Seconds(2));
    // All that the service leaves free, if nothing else holds it.
    world.submit(0, makeJob("narrow", 83));
    CHECK(world.runUntil([&] { return world.startsOf("narrow") == 83; }, absl::Seconds(1)));
    LONGS_EQUAL(0, world.startsOf("gang"));
    STRCMP_EQUAL("", world.report().c_str());
}

TEST(WideSteps, gangsThatWaitStartOneAfterTheOther)
{
    CellWorld world { 3, 24, 1 };
    startWorld(world, true);
    runBeside(world, 23, absl::Seconds(3), "before");
    for (int i = 0; i < 3; ++i)
        world.submit(static_cast<size_t>(i), makeGang(absl::StrCat("gang", i), 12, workerCpuMillis));
    runBeside(world, 23, absl::Seconds(20), "beside");
    for (int i = 0; i < 3; ++i)
        LONGS_EQUAL(12, world.startsOf(absl::StrCat("gang", i)));
    STRCMP_EQUAL("", world.report().c_str());
}

TEST(WideSteps, aGangIsNotTransferredWhileItGathersTicketsForRoomOfItsCell)
{
    constexpr uint32_t cells = 2;
    const absl::Duration adviceDelay = absl::Milliseconds(1200);
    for (int64_t busyMillis = 2500; busyMillis <= 3700; busyMillis += 200) {
        CellWorld world { 5, 480, 1 };
        world.setCells(cells);
        startWorld(world, false);
        for (uint32_t cell = 0; cell < cells; ++cell)
            world.submit(cell,
                makeJob(CellWorld::jobIn(cell, cells, 1), 240, workerCpuMillis, absl::Milliseconds(busyMillis + 100)));
        world.run(absl::Milliseconds(100));
        world.policy().advice = { true, adviceDelay, absl::ZeroDuration(), absl::Seconds(2) };
        world.policy().latencyTarget = absl::Seconds(30);
        world.setAdviceDelay(adviceDelay);
        const std::string id = CellWorld::jobIn(0, cells, 2);
        world.submit(0, makeGang(id, 150, workerCpuMillis));
        CHECK(world.runUntil([&] { return world.startsOf(id) == 150; }, absl::Seconds(12)));
        POINTERS_EQUAL(nullptr, world.store().find(absl::StrCat("cicada/job/1/", id)));
        STRCMP_EQUAL("", world.report().c_str());
    }
}

TEST(WideSteps, workThatArrivesDuringARequestForTicketsDoesNotTakeTheRoomOfTheGang)
{
    CellWorld world { 3, 240, 1 };
    world.setCells(1);
    startWorld(world, false);
    constexpr int gangCount = 8;
    setSlowAdvice(world, "gang", gangCount);
    runBeside(world, 225, absl::Seconds(2), "before");
    for (int i = 0; i < gangCount; ++i)
        world.submit(static_cast<size_t>(i) % 3, makeGang(absl::StrCat("gang", i), 20, workerCpuMillis));
    runBeside(world, 225, absl::Seconds(15), "beside");
    for (int i = 0; i < gangCount; ++i)
        LONGS_EQUAL(20, world.startsOf(absl::StrCat("gang", i)));
    STRCMP_EQUAL("", world.report().c_str());
}

TEST(WideSteps, aNewOwnerAsksAboutAGangWhenItHasHeardMoreThanItsFirstWorkers)
{
    constexpr size_t needed = 8;
    const absl::Duration adviceDelay = absl::Seconds(1);
    const absl::Duration hearingDelay = absl::Milliseconds(150);
    for (const absl::Duration delay : { absl::ZeroDuration(), hearingDelay }) {
        CellWorld world { 3, 24, 1 };
        startWorld(world, true);
        world.setAdviceDelay(adviceDelay);
        // The policy service allows two thirds of the workers: of these eight not enough, of all enough.
        for (size_t i = needed; i < world.workers().size(); ++i)
            world.workers()[i].syncDelay = delay;
        const size_t first = *world.owner();
        world.submit((first + 1) % 3, makeGang("gang", needed, workerCpuMillis));
        CHECK(world.runUntil([&] { return world.isAccepted("gang"); }, absl::Seconds(1)));
        world.kill(first);
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
        CHECK(world.runUntil([&] { return world.startsOf("gang") == needed; }, adviceDelay + hearingDelay * 4));
        STRCMP_EQUAL("", world.report().c_str());
    }
}

TEST(WideSteps, narrowGangsThatKeepRoomForTicketsDoNotKeepAWideOneFromIt)
{
    CellWorld world { 3, 240, 1 };
    world.setCells(1);
    startWorld(world, false);
    constexpr int narrowCount = 40;
    setSlowAdvice(world, "narrow", narrowCount);
    setSlowAdvice(world, "wide", 1);
    world.policy().latencyTarget = absl::Seconds(30);
    runBeside(world, 150, absl::Seconds(2), "before");
    for (int i = 0; i < narrowCount; ++i) {
        world.submitOnce(static_cast<size_t>(i) % 3, makeGang(absl::StrCat("narrow", i), 4, workerCpuMillis));
        if (i == 5)
            world.submit(0, makeGang("wide0", 70, workerCpuMillis));
        runBeside(world, 150, absl::Milliseconds(300), absl::StrCat("beside", i, "-"));
    }
    LONGS_EQUAL(70, world.startsOf("wide0"));
    STRCMP_EQUAL("", world.report().c_str());
}

TEST(WideSteps, aWideGangThatIsOnTimeDoesNotWaitForRoomThatNarrowWorkTakesBetweenItsRequests)
{
    CellWorld world { 3, 200, 1 };
    world.setCells(1);
    startWorld(world, false);
    setTracedAdvice(world, "gang", 1);
    constexpr int busyWorkers = 190;
    runBeside(world, busyWorkers, absl::Seconds(2), "before");
    // It fits twice over on the allowed workers, two tasks on each.
    world.submit(0, makeGang("gang0", 126, workerCpuMillis / 2));
    runBeside(world, busyWorkers, absl::Seconds(3), "beside");
    LONGS_EQUAL(126, world.startsOf("gang0"));
    STRCMP_EQUAL("", world.report().c_str());
}

TEST(WideSteps, aQueueOfWideGangsNeitherIdlesTheCellNorKeepsNarrowWorkWaiting)
{
    constexpr int gangCount = 6;
    constexpr int busyWorkers = 170;
    CellWorld world { 3, 200, 1 };
    world.setCells(1);
    startWorld(world, false);
    setTracedAdvice(world, "gang", gangCount);
    runBeside(world, busyWorkers, absl::Seconds(2), "before");
    for (int i = 0; i < gangCount; ++i)
        world.submit(0, makeGang(absl::StrCat("gang", i), 126, workerCpuMillis / 2));
    constexpr int rounds = 100;
    constexpr int maxWaitRounds = 20;
    int64_t idle = 0;
    for (int i = 0; i < rounds; ++i) {
        runBeside(world, busyWorkers, absl::Milliseconds(100), absl::StrCat("beside", i, "-"));
        if (i >= maxWaitRounds)
            CHECK(world.startsOf(absl::StrCat("beside", i - maxWaitRounds, "-0")) > 0);
        idle += idleWorkers(world);
    }
    // 30 are idle without gangs.
    CHECK(idle / rounds < 45);
    for (int i = 0; i < gangCount; ++i)
        LONGS_EQUAL(126, world.startsOf(absl::StrCat("gang", i)));
    STRCMP_EQUAL("", world.report().c_str());
}

TEST(WideSteps, onlyWorkThatEndsBeforeAWideGangBeginsRunsOnWhatTheGangKeeps)
{
    CellWorld world { 3, 24, 1 };
    startWorld(world, false);
    world.policy().latencyTarget = absl::Seconds(30);
    world.submit(0, makeJob("first", 12, workerCpuMillis, absl::Seconds(3)));
    world.run(absl::Milliseconds(200));
    world.submit(0, makeGang("gang", 30, workerCpuMillis / 2));
    world.run(absl::Milliseconds(500));
    world.submit(0, makeJob("long", 12, workerCpuMillis, absl::Seconds(5)));
    world.submit(0, makeJob("short", 12, workerCpuMillis, absl::Seconds(1)));
    world.run(absl::Milliseconds(300));
    LONGS_EQUAL(12, world.startsOf("short"));
    LONGS_EQUAL(0, world.startsOf("long"));
    CHECK(world.runUntil([&] { return world.startsOf("gang") == 30; }, absl::Milliseconds(2300)));
    STRCMP_EQUAL("", world.report().c_str());
}
