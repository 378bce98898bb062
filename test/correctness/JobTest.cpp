/** \file
 * Jobs from their acceptance to their end: stored before acknowledged, found again by a retry, placed only where they
 * fit, gangs whole, services kept running, cancelled work freed, urgent work first.
 */

#include "support/JobWorld.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using Testing::jobIdIn;
using Testing::JobWorld;

namespace {

Profile profileNamed(const std::string& name, bool mayRunTwice)
{
    Profile profile;
    profile.name = name;
    profile.mayRunTwice = mayRunTwice;
    return profile;
}

std::string tasksJson(int count, int cpuMillis, const std::string& command, const std::string& more = "")
{
    return absl::StrCat(R"({"profile": "p", "tasks": [{"cpuMillis": )", cpuMillis,
        R"(, "memoryMiB": 100, "command": ")", command, R"(", "count": )", count, "}]", more, "}");
}

const Profile twice = profileNamed("p", true);
const Profile once = profileNamed("p", false);

} // namespace

TEST_GROUP(Job)
{
    JobWorld jobs { 7, 2, 2 };

    void accept(size_t entry, const std::string& id, const std::string& json, const Profile& profile)
    {
        CHECK(jobs.submit(entry, id, json, profile).has_value());
    }
    void setup() override { jobs.world().run(absl::Seconds(3)); }
    void teardown() override
    {
        CHECK_EQUAL(0, jobs.overlaps());
        CHECK_EQUAL(0, jobs.overfull());
    }
};

TEST(Job, runsToItsEndFromAnyEntry)
{
    for (uint32_t partition = 0; partition < 4; ++partition) {
        const std::string id = jobIdIn(partition);
        accept(partition % 2, id, tasksJson(10, 1000, "work-ms=300"), twice);
        CHECK(jobs.runUntilEnded(id, absl::Seconds(20)));
        CHECK(jobs.stored(id).state == JobState::Finished);
        for (uint32_t task = 0; task < 10; ++task)
            CHECK_EQUAL(1, jobs.startsOf(id, task));
    }
}

TEST(Job, aRetryFindsItsJobAndAnotherJobUnderTheIdIsAConflict)
{
    const std::string id = jobIdIn(3);
    accept(0, id, tasksJson(1, 1000, "work-ms=300"), once);
    accept(1, id, tasksJson(1, 1000, "work-ms=300"), once);
    const auto other = jobs.submit(1, id, tasksJson(2, 1000, "work-ms=300"), once);
    CHECK(!other && other.error().kind == ErrorKind::Conflict);
    CHECK(jobs.runUntilEnded(id, absl::Seconds(20)));
    CHECK_EQUAL(1, jobs.startsOf(id, 0));
}

TEST(Job, lostStoreRepliesNeitherLoseNorDoubleIt)
{
    jobs.world().setLostReplies(0.5);
    for (int i = 0; i < 10; ++i) {
        const std::string id = jobIdIn(static_cast<uint32_t>(i), 1);
        accept(0, id, tasksJson(2, 1000, "work-ms=200"), once);
        CHECK(jobs.runUntilEnded(id, absl::Seconds(60)));
        CHECK(jobs.stored(id).state == JobState::Finished);
        CHECK_EQUAL(1, jobs.startsOf(id, 0));
    }
}

TEST(Job, neverFitsIsRefusedNamingTheLargestWorker)
{
    const auto answer = jobs.submit(0, jobIdIn(1), tasksJson(1, 9000, "x"), twice);
    CHECK(!answer && answer.error().kind == ErrorKind::InvalidRequest);
    CHECK(absl::StrContains(answer.error().remedy, "w0"));
    const auto gang = jobs.submit(0, jobIdIn(2), tasksJson(5, 8000, "x", R"(, "gang": true)"), twice);
    CHECK(!gang && gang.error().kind == ErrorKind::InvalidRequest);
    accept(0, jobIdIn(3), tasksJson(5, 8000, "work-ms=100"), twice);
}

TEST(Job, waitsForRoomAndNeverOverfillsAWorker)
{
    const std::string id = jobIdIn(5);
    accept(0, id, tasksJson(40, 3000, "work-ms=400"), twice);
    CHECK(jobs.runUntilEnded(id, absl::Seconds(60)));
    CHECK(jobs.stored(id).state == JobState::Finished);
}

TEST(Job, cancellationFreesWhatItHeld)
{
    const std::string id = jobIdIn(6);
    accept(0, id, tasksJson(4, 8000, "work-ms=600000"), twice);
    jobs.world().run(absl::Seconds(3));
    CHECK_EQUAL(4, jobs.runningOf(id));
    CHECK(jobs.cancel(1, id).has_value());
    CHECK(jobs.stored(id).state == JobState::Cancelled);
    const std::string next = jobIdIn(7);
    accept(0, next, tasksJson(4, 8000, "work-ms=100"), twice);
    CHECK(jobs.runUntilEnded(next, absl::Seconds(10)));
    CHECK_EQUAL(0, jobs.runningOf(id));
}

TEST(Job, twoGangsThatRaceForTheSameRoomBothRunAndNeverInPart)
{
    const std::string gang = R"(, "gang": true)";
    const std::string ids[] = { jobIdIn(0), jobIdIn(1) };
    for (int i = 0; i < 2; ++i)
        accept(i, ids[i], tasksJson(3, 8000, "work-ms=2000", gang), twice);
    size_t partly = 0;
    for (int step = 0; step < 4000; ++step) {
        jobs.world().run(absl::Milliseconds(5));
        for (const std::string& id : ids) {
            const size_t running = jobs.runningOf(id);
            partly += running == 1 || running == 2;
        }
    }
    CHECK(jobs.stored(ids[0]).state == JobState::Finished);
    CHECK(jobs.stored(ids[1]).state == JobState::Finished);
    // Starts and ends of one gang are apart by a few message delays and never by a wait for room.
    CHECK(partly < 40);
}

TEST(Job, aGangIsNotStarvedBySingleTasks)
{
    for (int i = 0; i < 60; ++i)
        accept(0, jobIdIn(static_cast<uint32_t>(i), 2), tasksJson(2, 4000, "work-ms=900"), twice);
    Profile urgent = profileNamed("u", true);
    urgent.urgency = 6;
    const std::string id = jobIdIn(1, 3);
    accept(0, id, R"({"profile": "u", "gang": true, "tasks": [{"cpuMillis": 8000, "memoryMiB": 100,
        "command": "work-ms=100", "count": 4}]})",
        urgent);
    CHECK(jobs.runUntilEnded(id, absl::Seconds(20)));
}

TEST(Job, servicesSpreadOverRacksAndAreStartedAgain)
{
    const std::string id = jobIdIn(8);
    accept(0, id,
        R"({"profile": "p", "tasks": [{"kind": "service", "cpuMillis": 500, "memoryMiB": 100,
        "command": "work-ms=5000", "count": 4}]})",
        twice);
    jobs.world().run(absl::Seconds(3));
    for (size_t i = 0; i < jobs.workerCount(); ++i)
        CHECK_EQUAL(1, jobs.worker(i).model->running());
    jobs.world().run(absl::Seconds(10));
    CHECK_EQUAL(4, jobs.runningOf(id));
    CHECK(jobs.startsOf(id, 0) >= 2);
    CHECK(jobs.cancel(0, id).has_value());
    jobs.world().run(absl::Seconds(3));
    CHECK_EQUAL(0, jobs.runningOf(id));
}

TEST(Job, urgentWorkPreemptsByCheckpointAndTheVictimGoesOn)
{
    Profile victim = profileNamed("victim", false);
    victim.whenShort = ShortageAction::Preempt;
    victim.urgency = 2;
    const std::string first = jobIdIn(9);
    accept(0, first, R"({"profile": "victim", "tasks": [{"cpuMillis": 8000, "memoryMiB": 100,
        "command": "work-ms=20000", "count": 4}]})",
        victim);
    jobs.world().run(absl::Seconds(10));
    Profile urgent = profileNamed("urgent", false);
    urgent.urgency = 9;
    const std::string second = jobIdIn(10);
    const absl::Duration submitted = jobs.world().now();
    accept(0, second, R"({"profile": "urgent", "tasks": [{"cpuMillis": 8000, "memoryMiB": 100,
        "command": "work-ms=1000"}]})",
        urgent);
    while (jobs.startsOf(second, 0) == 0 && jobs.world().now() - submitted < absl::Seconds(5))
        jobs.world().run(absl::Milliseconds(20));
    // The letter's bound for urgent work.
    CHECK(jobs.world().now() - submitted <= absl::Seconds(1.4));
    CHECK(jobs.runUntilEnded(first, absl::Seconds(40)));
    CHECK(jobs.stored(first).state == JobState::Finished);
    // Begun again from the start, the victim could not have ended by then: 10 s were done before.
    CHECK(jobs.world().now() - submitted < absl::Seconds(18));
}

TEST(Job, aProfileThatShedsGivesUpAJobThatWaitedTooLongAndNeverRanIt)
{
    accept(0, jobIdIn(13), tasksJson(4, 8000, "work-ms=30000"), twice);
    jobs.world().run(absl::Seconds(2));
    Profile shed = profileNamed("shed", true);
    shed.whenShort = ShortageAction::Shed;
    shed.maxWait = absl::Seconds(3);
    const std::string id = jobIdIn(14);
    accept(0, id, R"({"profile": "shed", "tasks": [{"cpuMillis": 8000, "memoryMiB": 100, "count": 2}]})", shed);
    CHECK(jobs.runUntilEnded(id, absl::Seconds(6)));
    CHECK(jobs.stored(id).state == JobState::NotRun);
    jobs.world().run(absl::Seconds(60));
    CHECK_EQUAL(0, jobs.startsOf(id, 0) + jobs.startsOf(id, 1));
}

TEST(Job, aPlannedStopMovesServicesAndGivesNothingNew)
{
    const std::string id = jobIdIn(15);
    accept(0, id,
        R"({"profile": "p", "tasks": [{"kind": "service", "cpuMillis": 500, "memoryMiB": 100,
        "command": "work-ms=500000", "count": 4}]})",
        twice);
    jobs.world().run(absl::Seconds(3));
    jobs.setLeaving(0);
    jobs.world().run(absl::Seconds(3));
    CHECK_EQUAL(0, jobs.worker(0).model->running());
    CHECK_EQUAL(4, jobs.runningOf(id));
}

TEST(Job, quotasHoldAJobBackOrRefuseIt)
{
    jobs.world().stored()["cicada/config/quotas"]
        = { "cicada/config/quotas", R"({"t": {"cpuMillis": 4000}})", jobs.world().nextIndex() };
    jobs.world().setStoreDown(false);
    jobs.world().run(absl::Seconds(1));
    const std::string team = R"(, "team": "t")";
    const auto never = jobs.submit(0, jobIdIn(11), tasksJson(1, 5000, "x", team), twice);
    CHECK(!never && absl::StrContains(never.error().message, "quota"));
    const std::string id = jobIdIn(12);
    accept(0, id, tasksJson(8, 2000, "work-ms=500", team), twice);
    size_t most = 0;
    while (jobs.stored(id).state == JobState::Accepted && jobs.world().now() < absl::Seconds(60)) {
        jobs.world().run(absl::Milliseconds(20));
        most = std::max(most, jobs.runningOf(id));
    }
    CHECK(jobs.stored(id).state == JobState::Finished);
    CHECK_EQUAL(2, most);
}

TEST(Job, aWorkerThatFailsEverythingIsSetAsideButNeverAll)
{
    jobs.worker(0).model->failAll = true;
    for (int i = 0; i < 20; ++i) {
        const std::string id = jobIdIn(static_cast<uint32_t>(i), 4);
        accept(0, id, tasksJson(1, 8000, "work-ms=300"), twice);
        jobs.runUntilEnded(id, absl::Seconds(20));
    }
    CHECK(jobs.worker(0).model->starts <= 8);
    for (size_t i = 0; i < jobs.workerCount(); ++i)
        jobs.worker(i).model->failAll = true;
    for (int i = 0; i < 20; ++i) {
        const std::string id = jobIdIn(static_cast<uint32_t>(i), 5);
        accept(0, id, tasksJson(1, 8000, "work-ms=300"), twice);
        CHECK(jobs.runUntilEnded(id, absl::Seconds(20)));
    }
}
