/** \file
 * Stored records that another writer put there, or that are cut short.
 */

#include "CellJob.h"
#include "Pack.h"

#include "CppUTest/TestHarness.h"

#include <random>

using namespace cicada;

namespace {

std::unique_ptr<CellJob> sample()
{
    Submission spec;
    spec.id = "0123456789abcdef";
    spec.payload = "work";
    StepSpec step;
    step.taskCount = 3;
    step.estimate = absl::Seconds(1);
    spec.steps = { step, step };
    spec.steps[1].after = { 0 };
    QueuePolicy policy;
    policy.queue = "q";
    return makeCellJob(std::move(spec), std::move(policy), 12345);
}

} // namespace

TEST_GROUP(CellRecords) {};

TEST(CellRecords, theAccountComesBackAndRecordsWithoutOneAreRead)
{
    auto job = sample();
    // A record without an account is that of builds that knew none.
    CHECK(decodeJobRecord("0123456789abcdef", encodeJobRecord(*job)).value()->spec.account.empty());
    job->spec.account = "observatory";
    STRCMP_EQUAL(
        "observatory", decodeJobRecord("0123456789abcdef", encodeJobRecord(*job)).value()->spec.account.c_str());
}

TEST(CellRecords, excessComesBackAndRecordsOfTheFormerBuildCountAsOwed)
{
    auto job = sample();
    const std::string withoutAccount = encodeJobRecord(*job);
    job->isExcess = true;
    CHECK(withoutAccount == encodeJobRecord(*job));
    job->spec.account = "observatory";
    CHECK(decodeJobRecord(job->spec.id, encodeJobRecord(*job)).value()->isExcess);
    const std::string former = Internal::packFields(job->acceptedUnixMillis, encodeSubmission(job->spec, job->policy));
    CHECK(!decodeJobRecord(job->spec.id, former).value()->isExcess);
}

TEST(CellRecords, aJobComesBackAsItWas)
{
    auto job = sample();
    CellStep& step = job->step({ 0, 0 });
    step.tasks[0].stage = TaskStage::Finished;
    step.tasks[0].run = 2;
    step.finished = 1;
    step.tasks[1].stage = TaskStage::Running;
    step.tasks[1].run = 4;
    step.tasks[1].worker = "w";
    step.tasks[1].failedRuns = { 3 };
    step.tasks[1].checkpoint = "c";
    job->spec.steps[1].isGang = true;
    job->step({ 0, 1 }).failedRuns = { 3, 1 };
    auto read = decodeJobRecord("0123456789abcdef", encodeJobRecord(*job));
    CHECK(read.has_value());
    CHECK(applyRunRecord(*read.value(), encodeRunRecord(*job)).has_value());
    const CellStep& again = read.value()->step({ 0, 0 });
    LONGS_EQUAL(1, again.finished);
    CHECK(again.tasks[0].stage == TaskStage::Finished);
    // A next owner must not count another member's failure in the same run.
    CHECK((std::vector<uint32_t> { 3, 1 }) == read.value()->step({ 0, 1 }).failedRuns);
    // A run that may be out is taken as started until its worker was heard.
    CHECK(again.tasks[1].stage == TaskStage::Starting);
    LONGS_EQUAL(4, again.tasks[1].run);
    STRCMP_EQUAL("w", again.tasks[1].worker.c_str());
    CHECK((std::vector<uint32_t> { 3 }) == again.tasks[1].failedRuns);
    STRCMP_EQUAL("c", again.tasks[1].checkpoint.c_str());
    CHECK(again.tasks[2].stage == TaskStage::Waiting);
}

TEST(CellRecords, attemptsInARecordOfAFormerVersionCount)
{
    using OldTask
        = std::tuple<uint32_t, uint32_t, uint32_t, uint32_t, uint32_t, uint32_t, std::string, int64_t, std::string>;
    using OldGang = std::tuple<uint32_t, uint32_t, uint32_t>;
    auto job = sample();
    job->spec.steps[1].isGang = true;
    const std::vector<OldTask> tasks = { { 0, 0, 1, 0, 4, 2, "w", 0, "" }, { 0, 1, 0, 0, 5, 3, "w", 0, "" } };
    const std::vector<OldGang> gangs = { { 0, 1, 5 } };
    const std::string record = Internal::packFields(1u, int64_t { 0 }, tasks, gangs, true);
    CHECK(applyRunRecord(*job, record).has_value());
    LONGS_EQUAL(2, job->failuresOf({ job->spec.id, 0, 0, 1 }));
    LONGS_EQUAL(3, job->failuresOf({ job->spec.id, 0, 1, 0 }));
    CHECK(!job->recordFailure({ { job->spec.id, 0, 1, 0 }, 5 }));
}

TEST(CellRecords, crashesComeBackAndRecordsOfTheFormerBuildHaveNone)
{
    using FormerTask = std::tuple<uint32_t, uint32_t, uint32_t, uint32_t, uint32_t, uint32_t, std::string, int64_t,
        std::string, std::vector<uint32_t>>;
    auto job = sample();
    const TaskName name { job->spec.id, 0, 0, 1 };
    job->find(name)->run = 4;
    CHECK(job->recordCrash({ name, 3 }, CrashedRun::Counted));
    CHECK(job->recordCrash({ name, 4 }, CrashedRun::Counted));
    CHECK(!job->recordCrash({ name, 4 }, CrashedRun::Counted));
    CHECK(job->recordCrash({ name, 5 }, CrashedRun::Possible));
    CHECK(!job->recordCrash({ name, 5 }, CrashedRun::Counted));
    CHECK(!job->recordCrash({ name, 6 }, CrashedRun::None));
    LONGS_EQUAL(2, job->find(name)->crashedRuns.size());
    LONGS_EQUAL(3, job->find(name)->crashes());
    auto read = sample();
    CHECK(applyRunRecord(*read, encodeRunRecord(*job)).has_value());
    CHECK(read->find(name)->isSuspect);
    CHECK(!read->recordCrash({ name, 4 }, CrashedRun::Counted));
    LONGS_EQUAL(2, read->find(name)->crashedRuns.size());
    LONGS_EQUAL(1, read->find(name)->possiblyCrashedRuns.size());
    const std::vector<FormerTask> tasks = { { 0, 0, 1, 0, 4, 0, "w", 0, "", {} } };
    auto former = sample();
    CHECK(
        applyRunRecord(*former, Internal::packFields(1u, int64_t { 0 }, tasks, std::vector<int>(), true)).has_value());
    CHECK(!former->hasSuspects());
}

TEST(CellRecords, theEvidenceAgainstATaskComesBackAndOutlastsTheJob)
{
    auto job = sample();
    const TaskName name { job->spec.id, 0, 0, 1 };
    CellTask& task = *job->find(name);
    task.run = 3;
    task.stage = TaskStage::Running;
    task.orderedUnixMillis = 77;
    CHECK(job->recordCrash({ name, 2 }, CrashedRun::Counted));
    addEvidence(task.evidence, { 1, EvidenceKind::Undecided, "w1", "leases-ended", 10, 20, 0, 25, -1, -1, 5, 0 });
    addEvidence(
        task.evidence, { 2, EvidenceKind::Crash, "w2", "other-incarnation-answers", 30, 40, 35, 36, 80, 90, 6, 0 });
    auto read = sample();
    CHECK(applyRunRecord(*read, encodeRunRecord(*job)).has_value());
    LONGS_EQUAL(77, read->find(name)->orderedUnixMillis);
    LONGS_EQUAL(2, read->find(name)->evidence.size());
    CHECK(read->find(name)->hasLostRunsSince(36));
    CHECK(!read->find(name)->hasLostRunsSince(37));
    CHECK(read->takeBackCrash({ name, 2 }));
    CHECK(!read->takeBackCrash({ name, 2 }));
    CHECK(!read->find(name)->isSuspect);
    task.stage = TaskStage::Waiting;
    job->phase = JobPhase::Failed;
    job->givenUpFor = name;
    const EndedJob ended = endedJobOf(encodeRunRecord(*job)).value();
    LONGS_EQUAL(1, ended.evidence.size());
    const RunEvidence& last = ended.evidence.front().runs.back();
    STRCMP_EQUAL("w2", last.worker.c_str());
    STRCMP_EQUAL("other-incarnation-answers", last.source.c_str());
    LONGS_EQUAL(40, last.leaseUntilUnixMillis);
    LONGS_EQUAL(35, last.nextStartUnixMillis);
    LONGS_EQUAL(90, last.closedAfterMillis);
}

TEST(CellRecords, theFailedRunsOfAnExhaustedTaskOutlastItsJobAndAreNoCrashes)
{
    auto job = sample();
    const TaskName name { job->spec.id, 0, 0, 1 };
    CHECK(job->recordFailure({ name, 1 }));
    CHECK(job->recordCrash({ name, 2 }, CrashedRun::Counted));
    addEvidence(
        job->find(name)->evidence, { 1, EvidenceKind::Failed, "w1", "listed-by-worker", 0, 0, 0, 25, -1, -1, 5, 9 });
    job->phase = JobPhase::Failed;
    job->exhaustedTask = name;
    const EndedJob ended = endedJobOf(encodeRunRecord(*job)).value();
    LONGS_EQUAL(0, ended.crashes);
    LONGS_EQUAL(1, ended.evidence.size());
    LONGS_EQUAL(9, ended.evidence.front().runs.front().sequence);
    LONGS_EQUAL(1, evidenceAtEnd(*job).size());
}

TEST(CellRecords, runsThatCountAreNamedWithoutEvidenceToo)
{
    auto job = sample();
    const TaskName name { job->spec.id, 0, 0, 1 };
    CHECK(job->recordCrash({ name, 1 }, CrashedRun::Counted));
    CHECK(job->recordCrash({ name, 3 }, CrashedRun::Possible));
    addEvidence(job->find(name)->evidence, { 2, EvidenceKind::LateRestart, "w", "listed", 0, 0, 0, 25, -1, -1, 5, 0 });
    job->phase = JobPhase::Failed;
    job->givenUpFor = name;
    for (const auto& all : { evidenceAtEnd(*job), endedJobOf(encodeRunRecord(*job)).value().evidence }) {
        LONGS_EQUAL(1, all.size());
        CHECK(all.front().counted == (std::vector<uint32_t> { 1, 3 }));
        LONGS_EQUAL(2, all.front().runs.front().run);
    }
}

TEST(CellRecords, evidenceThatCountsIsKeptBeforeWhatIsUndecided)
{
    auto job = sample();
    const TaskName name { job->spec.id, 0, 0, 1 };
    std::vector<RunEvidence>& evidence = job->find(name)->evidence;
    addEvidence(evidence, { 1, EvidenceKind::Crash, "w", "listed", 0, 0, 0, 25, -1, -1, 5, 0 });
    for (uint32_t run = 2; run < 20; ++run)
        addEvidence(evidence, { run, EvidenceKind::LateRestart, "w", "listed", 0, 0, 0, 25, -1, -1, 5, 0 });
    LONGS_EQUAL(maxEvidencePerTask, evidence.size());
    LONGS_EQUAL(1, evidence.front().run);
}

TEST(CellRecords, whyAJobWasGivenUpOutlastsItsTasks)
{
    auto job = sample();
    const TaskName name { job->spec.id, 0, 0, 1 };
    job->find(name)->run = 2;
    job->recordCrash({ name, 1 }, CrashedRun::Counted);
    job->recordCrash({ name, 2 }, CrashedRun::Counted);
    job->phase = JobPhase::Failed;
    LONGS_EQUAL(0, endedJobOf(encodeRunRecord(*job)).value().crashes);
    job->givenUpFor = name;
    LONGS_EQUAL(2, endedJobOf(encodeRunRecord(*job)).value().crashes);
    auto read = sample();
    CHECK(applyRunRecord(*read, encodeRunRecord(*job)).has_value());
    LONGS_EQUAL(2, crashesAtEnd(*read));
}

TEST(CellRecords, theQueueOutlastsTheJobRecordAndIsUnknownInRecordsOfTheFormerBuild)
{
    using FormerGang = std::tuple<uint32_t, uint32_t, uint32_t, std::vector<uint32_t>>;
    auto job = sample();
    job->phase = JobPhase::Finished;
    const std::string record = encodeRunRecord(*job);
    STRCMP_EQUAL("q", endedJobOf(record).value().queue.c_str());
    auto read = sample();
    CHECK(applyRunRecord(*read, record).has_value());
    LONGS_EQUAL(0, read->step({ 0, 0 }).failedRuns.size());
    const auto noTasks = std::vector<int>();
    const std::string former = Internal::packFields(2u, int64_t { 7 }, noTasks, std::vector<FormerGang>(), true);
    STRCMP_EQUAL("", endedJobOf(former).value().queue.c_str());
    uint32_t phase = 0;
    int64_t ended = 0;
    std::vector<int> tasks;
    std::vector<FormerGang> gangs;
    bool hasBegun = false;
    CHECK(Internal::unpackFields(record, "run record", phase, ended, tasks, gangs, hasBegun).has_value());
}

TEST(CellRecords, theRecordOfTheWidestJobIsNoLongerThanTheStoreTakes)
{
    const auto widest = [] {
        Submission spec = sample()->spec;
        spec.steps = { spec.steps[0], spec.steps[0] };
        for (StepSpec& step : spec.steps)
            step.taskCount = maxTasksPerStep;
        return makeCellJob(spec, {}, 12345);
    };
    constexpr size_t workers = 60;
    constexpr size_t idBytes = 36;
    for (const std::string& checkpoint : { std::string(), std::string(16, 'c'), std::string(300, 'c') }) {
        auto job = widest();
        for (uint32_t s = 0; s < 2; ++s) {
            for (uint32_t i = 0; i < maxTasksPerStep; ++i) {
                CellTask& task = job->step({ 0, s }).tasks[i];
                const size_t worker = (i * 7919 + s) % workers;
                task.stage = i % 3 == 0 ? TaskStage::Finished : TaskStage::Running;
                task.run = 1 + i % 3;
                task.worker = absl::StrCat(std::string(idBytes - 2, 'w'), 10 + worker);
                task.workerStarted = 1796668287939 + static_cast<int64_t>(worker);
                task.orderedUnixMillis = 1796668290000 + i;
                task.checkpoint = checkpoint.empty() ? "" : absl::StrCat(checkpoint, 100000 + i);
                if (i % 5 == 0)
                    task.failedRuns = { 1 };
            }
            job->step({ 0, s }).finished = (maxTasksPerStep + 2) / 3;
        }
        const std::string record = encodeRunRecord(*job);
        CHECK(record.size() <= maxRunRecordBytes);
        auto read = widest();
        CHECK(applyRunRecord(*read, record).has_value());
        for (uint32_t s = 0; s < 2; ++s) {
            LONGS_EQUAL(job->step({ 0, s }).finished, read->step({ 0, s }).finished);
            for (uint32_t i = 0; i < maxTasksPerStep; ++i) {
                const CellTask& task = job->step({ 0, s }).tasks[i];
                const CellTask& again = read->step({ 0, s }).tasks[i];
                CHECK((task.stage == TaskStage::Finished) == (again.stage == TaskStage::Finished));
                CHECK(task.run == again.run && task.failedRuns == again.failedRuns);
                if (task.hasActiveRun())
                    CHECK(task.worker == again.worker && task.workerStarted == again.workerStarted
                        && task.orderedUnixMillis == again.orderedUnixMillis);
            }
        }
    }
}

TEST(CellRecords, aTableThatNamesWhatItLacksIsRefused)
{
    using Range = std::tuple<uint32_t, uint32_t, uint32_t, uint32_t, uint32_t, uint32_t>;
    const std::vector<std::tuple<std::string, int64_t>> workers = { { "w", 1 } };
    using State = std::tuple<uint32_t, uint32_t, uint32_t, uint32_t, uint32_t>;
    const std::vector<std::string> states = { Internal::packFields(State(0, 0, 0, 1, 4)) };
    const auto apply = [&](const Range& range) {
        auto job = sample();
        const std::vector<Range> ranges = { range };
        const std::vector<int> none;
        return applyRunRecord(*job, Internal::packFields(1u, int64_t { 0 }, workers, states, ranges, none, true))
            .has_value();
    };
    CHECK(apply({ 0, 1, 0, 3, 0, 0 }));
    CHECK_FALSE(apply({ 0, 1, 0, 4, 0, 0 }));
    CHECK_FALSE(apply({ 0, 1, 0, 0xffffffff, 0, 0 }));
    CHECK_FALSE(apply({ 0, 1, 0xffffffff, 3, 0, 0 }));
    CHECK_FALSE(apply({ 0, 1, 0, 3, 1, 0 }));
    CHECK_FALSE(apply({ 0, 1, 0, 3, 0, 1 }));
}

TEST(CellRecords, aRecordUnderAnotherIdIsNotTaken)
{
    CHECK(!decodeJobRecord("ffffffffffffffff", encodeJobRecord(*sample())).has_value());
}

TEST(CellRecords, arbitraryBytesAreRefused)
{
    std::mt19937_64 random(7);
    const std::string job = encodeJobRecord(*sample());
    const std::string run = encodeRunRecord(*sample());
    for (int round = 0; round < 3000; ++round) {
        std::string text = round % 2 ? job : run;
        if (random() % 2)
            text.resize(random() % text.size());
        else
            text[random() % text.size()] = static_cast<char>(random());
        decodeJobRecord("0123456789abcdef", text).has_value();
        auto target = sample();
        applyRunRecord(*target, text).has_value();
        endedJobOf(text).has_value();
    }
}

TEST(CellRecords, aGangWhoseMembersHaveDifferentCheckpointsInARecordGoesOnFromOne)
{
    auto former = sample();
    for (uint32_t i = 0; i < 3; ++i) {
        former->step({ 0, 1 }).tasks[i].run = 2;
        former->step({ 0, 1 }).tasks[i].checkpoint = i == 0 ? "" : i == 1 ? "c2" : "c1";
    }
    auto job = sample();
    job->spec.steps[1].isGang = true;
    CHECK(applyRunRecord(*job, encodeRunRecord(*former)).has_value());
    auto next = sample();
    next->spec.steps[1].isGang = true;
    CHECK(applyRunRecord(*next, encodeRunRecord(*job)).has_value());
    for (const auto* read : { &job, &next }) {
        const std::string& first = (*read)->checkpointOf({ former->spec.id, 0, 1, 0 });
        CHECK(!first.empty());
        STRCMP_EQUAL(first.c_str(), (*read)->checkpointOf({ former->spec.id, 0, 1, 1 }).c_str());
        STRCMP_EQUAL(first.c_str(), (*read)->checkpointOf({ former->spec.id, 0, 1, 2 }).c_str());
    }
}
