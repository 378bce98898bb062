/** \file
 * Jobs under faults, with a paused clock and seeded schedules: an accepted job outlives its owner, no task runs in two
 * places at once, and what must not run twice never does, whoever dies, pauses or can't be reached.
 */

#include "support/JobWorld.h"

#include <cstdlib>
#include <optional>

#include "CppUTest/TestHarness.h"

using namespace cicada;
using Testing::jobIdIn;
using Testing::JobWorld;

namespace {

Profile makeProfile(const std::string& name, bool mayRunTwice)
{
    Profile profile;
    profile.name = name;
    profile.mayRunTwice = mayRunTwice;
    return profile;
}

const Profile twice = makeProfile("twice", true);
const Profile once = makeProfile("once", false);

std::string tasksJson(
    const Profile& profile, int count, int cpuMillis, const std::string& command, const std::string& more = "")
{
    return absl::StrCat(R"({"profile": ")", profile.name, R"(", "tasks": [{"cpuMillis": )", cpuMillis,
        R"(, "memoryMiB": 100, "command": ")", command, R"(", "count": )", count, "}]", more, "}");
}

/** How many seeds a test goes through; CICADA_SEEDS multiplies it. */
uint64_t seeds(uint64_t count)
{
    const char* factor = std::getenv("CICADA_SEEDS");
    return count * (factor ? std::strtoull(factor, nullptr, 10) : 1);
}

/** Three entries with two workers each, and jobs of both kinds that the faults hit. */
struct Scene {
    explicit Scene(uint64_t seed)
        : seed(seed)
        , jobs(seed, 3, 2)
    {
        jobs.world().run(absl::Seconds(3));
    }

    absl::Duration randomTime(absl::Duration most)
    {
        return most * std::uniform_real_distribution<double>(0, 1)(jobs.world().random());
    }
    size_t random(size_t below) { return std::uniform_int_distribution<size_t>(0, below - 1)(jobs.world().random()); }

    void accept(
        const Profile& profile, uint32_t partition, int count, const std::string& command, const std::string& more = "")
    {
        const std::string id = jobIdIn(partition, static_cast<int>(ids.size()));
        // A caller tries again until the job is accepted, as the answer asks for.
        for (int i = 0; i < 20; ++i) {
            const size_t entry = jobs.entry(1).isAlive ? 1 : 2;
            if (jobs.submit(entry, id, tasksJson(profile, count, 2000, command, more), profile)) {
                ids.push_back(id);
                isOnce.push_back(!profile.mayRunTwice);
                return;
            }
        }
        FAIL(absl::StrCat("not accepted, seed ", seed).c_str());
    }
    void acceptMix()
    {
        accept(twice, 0, 6, "work-ms=2500");
        accept(once, 0, 4, "work-ms=2500");
        accept(once, 1, 4, "work-ms=1500");
        accept(twice, 2, 3, "work-ms=1500", R"(, "gang": true)");
    }

    /** All jobs end within `timeout`, and every promise held. */
    void check(absl::Duration timeout)
    {
        const std::string where = absl::StrCat("seed ", seed);
        for (size_t i = 0; i < ids.size(); ++i) {
            CHECK_TEXT(jobs.runUntilEnded(ids[i], timeout), absl::StrCat("no end of job ", i, ", ", where).c_str());
            const JobRecord record = jobs.stored(ids[i]);
            for (uint32_t task = 0; task < record.marks.size(); ++task) {
                const uint64_t starts = jobs.startsOf(ids[i], task);
                const bool finished = record.marks[task] == TaskMark::Finished;
                unknown += record.marks[task] == TaskMark::Unknown;
                CHECK_TEXT(!finished || starts > 0, absl::StrCat("finished without a start, ", where).c_str());
                CHECK_TEXT(!isOnce[i] || starts <= 1, absl::StrCat("started twice, ", where).c_str());
                CHECK_TEXT(isOnce[i] || finished, absl::StrCat("not finished, ", where).c_str());
            }
        }
        CHECK_EQUAL_TEXT(0, jobs.overlaps(), where.c_str());
        CHECK_EQUAL_TEXT(0, jobs.overfull(), where.c_str());
    }

    uint64_t seed;
    JobWorld jobs;
    std::vector<std::string> ids;
    std::vector<bool> isOnce;
    uint64_t unknown = 0;
};

/** Pauses an entry past its terms, gives what it owned to another, and lets it go on. */
void pauseAndTakeOver(Scene& scene, size_t entry)
{
    JobWorld& jobs = scene.jobs;
    jobs.world().pause(jobs.entry(entry).node);
    jobs.world().run(absl::Seconds(3));
    jobs.moveAll(entry, (entry + 1) % jobs.entryCount());
    jobs.world().run(scene.randomTime(absl::Seconds(25)));
    jobs.world().resume(jobs.entry(entry).node);
}

/** Cuts an entry off a worker, in one way or both, for up to 40 s. */
void cutWorker(Scene& scene, size_t entry, size_t worker)
{
    JobWorld& jobs = scene.jobs;
    const std::string from = absl::StrCat("e", entry);
    const std::string to = absl::StrCat("w", worker);
    const size_t way = scene.random(3);
    if (way != 1)
        jobs.world().cut(from, to, true);
    if (way != 0)
        jobs.world().cut(to, from, true);
    jobs.world().run(scene.randomTime(absl::Seconds(40)));
    jobs.world().cutBoth(from, to, false);
}

void storeOut(Scene& scene)
{
    scene.jobs.world().setStoreDown(true);
    scene.jobs.world().run(scene.randomTime(absl::Seconds(20)));
    scene.jobs.world().setStoreDown(false);
}

void randomFault(Scene& scene, bool& killed)
{
    const size_t fault = scene.random(5);
    if (fault == 0 && !killed) {
        killed = true;
        scene.jobs.killEntry(0);
    } else if (fault == 1 && !killed) {
        killed = true;
        pauseAndTakeOver(scene, 0);
    } else if (fault == 2) {
        scene.jobs.killWorker(scene.random(2));
    } else if (fault == 3) {
        const size_t worker = scene.random(6);
        cutWorker(scene, scene.random(3), worker);
    } else {
        storeOut(scene);
    }
}

/** The worker that runs the only task of the world's only job, or nothing after `timeout`. */
std::optional<size_t> runningWorker(JobWorld& jobs, absl::Duration timeout)
{
    const Instant until = jobs.world().now() + timeout;
    while (jobs.world().now() < until) {
        for (size_t i = 0; i < jobs.workerCount(); ++i) {
            if (jobs.worker(i).model->running() > 0)
                return i;
        }
        jobs.world().run(absl::Milliseconds(100));
    }
    return std::nullopt;
}

/** Cuts the worker off its owner until the run there has lapsed and the owner has concluded it. */
void lapseRunOn(JobWorld& jobs, size_t worker)
{
    const std::string owner = absl::StrCat("e", worker / 2);
    const std::string name = absl::StrCat("w", worker);
    jobs.world().cutBoth(owner, name, true);
    jobs.world().run(absl::Seconds(25));
    jobs.world().cutBoth(owner, name, false);
}

/** A job as its owner sees it, with runs that the test ends. */
struct OwnedJob {
    explicit OwnedJob(const Profile& profile, int count = 1, const std::string& more = "")
        : active(
            makeRecord(parseJob(jobIdIn(0), tasksJson(profile, count, 1000, "work-ms=1000", more)).value(), profile, 0))
    {
    }

    void report(uint32_t task, RunState state)
    {
        TaskRunReport run;
        run.status.id = { active.record().spec.id, task, active.tasks()[task].run };
        run.status.state = state;
        run.rack = "r0";
        run.recovery = { 1, recoveries };
        active.apply(run, now);
    }
    /** Runs the task for the time and ends it so. */
    void runFor(absl::Duration time, RunState state, uint32_t task = 0)
    {
        active.noteCommitted(task);
        report(task, RunState::Running);
        now += time;
        report(task, state);
    }
    /** The rack's owner changes, and its successor does not know the run. */
    void takeRackOver()
    {
        active.noteCommitted(0);
        report(0, RunState::Running);
        active.noteRackRecovered("r0", { 1, ++recoveries }, now);
    }
    absl::Duration pause() const { return std::max(active.startableFrom() - now, absl::ZeroDuration()); }

    ActiveJob active;
    Instant now = absl::Hours(1);
    uint64_t recoveries = 1;
};

} // namespace

TEST_GROUP(Jobs) {};

TEST(Jobs, ownerDiesAtAnyStep)
{
    uint64_t unknown = 0;
    for (uint64_t seed = 1; seed <= seeds(60); ++seed) {
        Scene scene(seed);
        scene.acceptMix();
        scene.jobs.world().run(scene.randomTime(absl::Seconds(seed % 2 ? 0.2 : 4)));
        scene.jobs.killEntry(0);
        scene.check(absl::Seconds(120));
        unknown += scene.unknown;
    }
    // All workers lived, so only a release that was stored and not sent can be unknown.
    CHECK(unknown <= seeds(60) * 8 / 100);
}

TEST(Jobs, workerVanishes)
{
    for (uint64_t seed = 1; seed <= seeds(30); ++seed) {
        Scene scene(seed);
        scene.acceptMix();
        scene.jobs.world().run(scene.randomTime(absl::Seconds(3)));
        scene.jobs.killWorker(scene.random(6));
        scene.check(absl::Seconds(120));
    }
}

TEST(Jobs, leaseLapsesWhileItsHolderIsPaused)
{
    for (uint64_t seed = 1; seed <= seeds(30); ++seed) {
        Scene scene(seed);
        scene.acceptMix();
        scene.jobs.world().run(scene.randomTime(absl::Seconds(2)));
        pauseAndTakeOver(scene, 0);
        scene.check(absl::Seconds(120));
    }
}

TEST(Jobs, workerCanNotBeReachedByItsOwner)
{
    for (uint64_t seed = 1; seed <= seeds(30); ++seed) {
        Scene scene(seed);
        scene.accept(twice, 0, 12, "work-ms=30000");
        scene.accept(once, 1, 6, "work-ms=30000");
        scene.jobs.world().run(scene.randomTime(absl::Seconds(2)));
        const size_t worker = scene.random(6);
        cutWorker(scene, worker / 2, worker);
        scene.check(absl::Seconds(200));
    }
}

TEST(Jobs, successorCanNotReachTheWorkersAtFirst)
{
    for (uint64_t seed = 1; seed <= seeds(20); ++seed) {
        Scene scene(seed);
        scene.accept(twice, 1, 10, "work-ms=20000");
        scene.accept(once, 2, 6, "work-ms=20000");
        scene.jobs.world().run(scene.randomTime(absl::Seconds(2)));
        scene.jobs.world().cutBoth("e1", "w0", true);
        scene.jobs.killEntry(0);
        scene.jobs.world().run(scene.randomTime(absl::Seconds(30)));
        scene.jobs.world().cutBoth("e1", "w0", false);
        scene.check(absl::Seconds(200));
    }
}

TEST(Jobs, messagesArriveVeryLate)
{
    for (uint64_t seed = 1; seed <= seeds(20); ++seed) {
        Scene scene(seed);
        scene.acceptMix();
        scene.jobs.world().setMaxDelay(absl::Seconds(8));
        scene.jobs.world().run(absl::Seconds(2));
        scene.jobs.killEntry(0);
        scene.jobs.world().run(absl::Seconds(40));
        scene.jobs.world().setMaxDelay(absl::Milliseconds(2));
        scene.check(absl::Seconds(200));
    }
}

TEST(Jobs, everythingChangesHandsWithMessagesInFlight)
{
    for (uint64_t seed = 1; seed <= seeds(60); ++seed) {
        Scene scene(seed);
        scene.jobs.world().setMaxDelay(absl::Milliseconds(seed % 2 ? 1500 : 700));
        scene.acceptMix();
        scene.jobs.world().run(scene.randomTime(absl::Seconds(4)));
        scene.jobs.moveAll(0, 1);
        scene.jobs.world().run(scene.randomTime(absl::Seconds(4)));
        scene.jobs.moveAll(1, 2);
        scene.jobs.world().run(absl::Seconds(20));
        scene.jobs.world().setMaxDelay(absl::Milliseconds(2));
        scene.check(absl::Seconds(200));
    }
}

TEST(Jobs, rackOwnersRefuseAnEarlierOwnerOfAPartition)
{
    Scene scene(1);
    JobWorld& jobs = scene.jobs;
    RackController& racks = jobs.entry(1).jobs.racks();
    // Without the replies the earlier owner does not release by itself what it can't know of.
    jobs.world().cut("e1", "e0", true);
    const auto sendHold = [&jobs](uint64_t askId) {
        HoldRequest ask;
        ask.askId = askId;
        ask.epoch = 1;
        ask.tasks.push_back({ 0, { 1000, 100, 0 } });
        jobs.entry(0).node.send("e1", rackServiceHold, encode(ask));
        jobs.world().run(absl::Milliseconds(10));
    };
    sendHold(1);
    CHECK_EQUAL(1, racks.heldTasks());
    jobs.moveAll(0, 2);
    jobs.world().run(absl::Seconds(3));
    // What the earlier owner held is free, and neither its asks nor its presenting itself again count.
    CHECK_EQUAL(0, racks.heldTasks());
    sendHold(2);
    CHECK_EQUAL(0, racks.heldTasks());
    jobs.entry(0).node.send("e1", rackServiceSync, encode(JobSync { { { 0, 1, 0, 0 } }, 0, {}, {} }));
    jobs.world().run(absl::Milliseconds(10));
    sendHold(3);
    CHECK_EQUAL(0, racks.heldTasks());
}

TEST(Jobs, storeIsOutAfterTheAcceptance)
{
    for (uint64_t seed = 1; seed <= seeds(10); ++seed) {
        Scene scene(seed);
        scene.accept(twice, 0, 6, "work-ms=1000");
        scene.jobs.world().run(absl::Milliseconds(100));
        scene.jobs.world().setStoreDown(true);
        scene.jobs.world().run(absl::Seconds(10));
        // Work that may run twice went on without the store.
        for (uint32_t task = 0; task < 6; ++task)
            CHECK_EQUAL(1, scene.jobs.startsOf(scene.ids[0], task));
        scene.jobs.world().setStoreDown(false);
        scene.check(absl::Seconds(20));
    }
}

TEST(Jobs, twoFaultsAtOnce)
{
    for (uint64_t seed = 1; seed <= seeds(120); ++seed) {
        Scene scene(seed);
        scene.jobs.world().setLoss(0.02);
        scene.jobs.world().setLostReplies(0.2);
        scene.acceptMix();
        scene.jobs.world().run(scene.randomTime(absl::Seconds(3)));
        bool killed = false;
        randomFault(scene, killed);
        scene.jobs.world().run(scene.randomTime(absl::Seconds(2)));
        randomFault(scene, killed);
        scene.check(absl::Seconds(300));
    }
}

TEST(Jobs, aSoundTaskThatLosesItsWorkersElevenTimesStillFinishes)
{
    constexpr int cuts = 11;
    Scene scene(1);
    scene.accept(twice, 0, 1, "work-ms=40000");
    for (int i = 0; i < cuts; ++i) {
        const std::optional<size_t> worker = runningWorker(scene.jobs, absl::Seconds(90));
        CHECK_TEXT(worker.has_value(), absl::StrCat("not started again after ", i, " cuts").c_str());
        lapseRunOn(scene.jobs, *worker);
    }
    CHECK_EQUAL(cuts, scene.jobs.startsOf(scene.ids[0], 0));
    scene.check(absl::Seconds(200));
}

TEST(Jobs, aSoundTaskIsNeverGivenUpHoweverOftenItIsStoppedOrItsRackTakenOver)
{
    constexpr int losses = 100;
    OwnedJob job(twice);
    for (int i = 0; i < losses; ++i) {
        job.runFor(absl::Seconds(20), RunState::Lost);
        job.runFor(absl::Seconds(1), RunState::Stopped);
        job.takeRackOver();
        CHECK(job.pause() <= ActiveJob::maxPause);
    }
    CHECK(!job.active.isDone());
    job.runFor(absl::Seconds(1), RunState::Finished);
    CHECK(job.active.record().marks[0] == TaskMark::Finished);
}

TEST(Jobs, aTaskThatLosesEveryWorkerIsNotStartedAgainWithoutAPause)
{
    OwnedJob job(twice);
    job.runFor(absl::Seconds(5), RunState::Lost);
    CHECK(job.pause() == absl::ZeroDuration());
    job.runFor(absl::Seconds(5), RunState::Lost);
    CHECK(job.pause() == ActiveJob::firstPause);
    CHECK(job.active.startableTasks(job.now).empty());
    CHECK_EQUAL(1, job.active.startableTasks(job.now + ActiveJob::firstPause).size());
    job.runFor(absl::Seconds(5), RunState::Lost);
    CHECK(job.pause() == 2 * ActiveJob::firstPause);
    for (int i = 0; i < 20; ++i)
        job.runFor(absl::Seconds(5), RunState::Lost);
    CHECK(job.pause() == ActiveJob::maxPause);
}

TEST(Jobs, lossesFromBeforeARunWithProgressDoNotDelayTheNext)
{
    OwnedJob job(twice);
    const auto loseOften = [&job] {
        for (int i = 0; i < 10; ++i)
            job.runFor(absl::Seconds(5), RunState::Lost);
        CHECK(job.pause() == ActiveJob::maxPause);
    };
    loseOften();
    job.runFor(absl::Seconds(5), RunState::Checkpointed);
    job.runFor(absl::Seconds(5), RunState::Lost);
    CHECK(job.pause() == absl::ZeroDuration());
    loseOften();
    job.runFor(ActiveJob::steadyTime, RunState::Lost);
    CHECK(job.pause() == absl::ZeroDuration());
}

TEST(Jobs, aGangIsNotStartedInPartWhileOneOfItsTasksPauses)
{
    OwnedJob job(twice, 2, R"(, "gang": true)");
    job.runFor(absl::Seconds(5), RunState::Lost, 0);
    job.runFor(absl::Seconds(5), RunState::Lost, 0);
    CHECK(job.pause() == ActiveJob::firstPause);
    CHECK(job.active.startableTasks(job.now).empty());
    CHECK_EQUAL(2, job.active.startableTasks(job.now + ActiveJob::firstPause).size());
}

TEST(Jobs, aTaskThatMustNotRunTwiceIsUnknownAfterItsFirstLoss)
{
    for (const RunState state : { RunState::Lost, RunState::Stopped }) {
        OwnedJob job(once);
        job.runFor(absl::Seconds(5), state);
        CHECK(job.active.record().marks[0] == TaskMark::Unknown);
    }
}

TEST(Jobs, aTaskThatIsCutOffAgainAndAgainWaitsBeforeItsNextRun)
{
    Scene scene(1);
    scene.accept(twice, 0, 1, "work-ms=40000");
    for (int i = 0; i < 8; ++i) {
        const std::optional<size_t> worker = runningWorker(scene.jobs, absl::Seconds(90));
        CHECK(worker.has_value());
        lapseRunOn(scene.jobs, *worker);
    }
    // The run was concluded at most 10 s before the cut ended.
    CHECK(!runningWorker(scene.jobs, ActiveJob::maxPause - absl::Seconds(11)).has_value());
    CHECK(runningWorker(scene.jobs, absl::Seconds(15)).has_value());
    scene.check(absl::Seconds(200));
}
