/** \file
 * Jobs that move to a cell with room, and what is kept while they do.
 */

#include "CellJob.h"
#include "CellWorld.h"
#include "Pack.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

namespace {

constexpr uint32_t cells = 2;
/** The users' rule: no due step waits longer beside idle workers. One second is for the job itself. */
constexpr absl::Duration idleBound = absl::Seconds(4);
constexpr absl::Duration settleBound = absl::Seconds(40);

} // namespace

/** Two cells of eight workers each; those of cell 0 are gone for good. */
TEST_GROUP(CellTransfers)
{
    std::unique_ptr<CellWorld> world;
    std::vector<std::string> jobs;
    int lastJob = 0;

    void setup() override { begin(1); }
    void teardown() override { STRCMP_EQUAL("", world->report().c_str()); }

    void begin(uint64_t seed)
    {
        jobs.clear();
        world = std::make_unique<CellWorld>(5, 16, seed);
        world->setCells(cells);
        CHECK(world->runUntil(
            [&] { return world->ownerOf(0).has_value() && world->ownerOf(1).has_value(); }, absl::Seconds(8)));
        world->run(absl::Seconds(1));
    }
    void crashCell(uint32_t cell, absl::Duration away)
    {
        for (size_t i = 0; i < world->workers().size(); ++i) {
            if (i / 4 % cells == cell)
                world->crashWorker(i, away);
        }
    }
    void loseCell(uint32_t cell) { crashCell(cell, absl::Hours(1)); }
    /** Submits jobs that belong to the cell. */
    void submitTo(uint32_t cell, int count, uint32_t tasks = 2, absl::Duration estimate = absl::Milliseconds(600))
    {
        for (int i = 0; i < count; ++i) {
            jobs.push_back(CellWorld::jobIn(cell, cells, ++lastJob));
            world->submit(static_cast<size_t>(i) % world->entryCount(), makeJob(jobs.back(), tasks, 1000, estimate));
        }
    }
    bool allAccepted()
    {
        return std::all_of(jobs.begin(), jobs.end(), [&](const std::string& id) { return world->isAccepted(id); });
    }
    bool allEnd(absl::Duration limit)
    {
        return world->runUntil([&] { return allAccepted() && world->allEnded(world->owner().value_or(0)); }, limit);
    }
    void expectEachOnce(uint32_t tasks)
    {
        for (const std::string& id : jobs)
            LONGS_EQUAL(tasks, world->startsOf(id));
    }
    bool hasMark(const std::string& id)
    {
        return world->store().find(absl::StrCat("cicada/run/0/", id))
            && world->store().find(absl::StrCat("cicada/job/1/", id));
    }
};

TEST(CellTransfers, jobsOfACellThatLostItsWorkersRunOnAnothers)
{
    loseCell(0);
    submitTo(0, 6);
    submitTo(1, 6);
    CHECK(allEnd(idleBound + absl::Seconds(2)));
    expectEachOnce(2);
}

TEST(CellTransfers, jobsOfAFullCellRunOnIdleWorkersOfAnother)
{
    submitTo(0, 8, 4, absl::Seconds(25));
    world->run(absl::Seconds(2));
    jobs.clear();
    submitTo(0, 4);
    CHECK(world->runUntil(
        [&] {
            return std::all_of(
                jobs.begin(), jobs.end(), [&](const std::string& id) { return world->startsOf(id) == 2; });
        },
        idleBound));
}

TEST(CellTransfers, manyJobsThatNoCellCanRunDoNotKeepOneBehindThemFromAnotherCell)
{
    loseCell(0);
    QueuePolicy without = world->policy();
    without.queue = "without-workers";
    without.service = "gone";
    without.priority = 0;
    // The job behind them can't be on time, so that it stays behind them.
    world->policy().priority = 2;
    world->policy().stretch = 0;
    world->policy().latencyTarget = absl::ZeroDuration();
    std::vector<std::string> stuck;
    for (int i = 0; i < 240; ++i) {
        stuck.push_back(CellWorld::jobIn(0, cells, 1000 + i));
        world->setQueueOf(stuck.back(), without);
        world->submit(static_cast<size_t>(i) % world->entryCount(), makeJob(stuck.back(), 1));
    }
    world->run(absl::Seconds(8));
    submitTo(0, 1);
    CHECK(world->runUntil([&] { return world->startsOf(jobs.back()) == 2; }, idleBound));
}

TEST(CellTransfers, aGangThatIsTooWideForTheRoomOfItsCellStartsWholeInAnother)
{
    submitTo(0, 6, 4, absl::Seconds(25));
    world->run(absl::Seconds(2));
    Submission gang = makeJob(CellWorld::jobIn(0, cells, 100), 20);
    gang.steps[0].isGang = true;
    world->submit(0, gang);
    CHECK(world->runUntil([&] { return world->startsOf(gang.id) == 20; }, idleBound + absl::Seconds(1)));
}

TEST(CellTransfers, jobsStayWhereNoCellHasRoom)
{
    loseCell(0);
    loseCell(1);
    // Idle workers are asked every 8 s.
    world->run(absl::Seconds(10));
    submitTo(0, 3);
    world->run(absl::Seconds(20));
    for (const std::string& id : jobs)
        CHECK(world->store().find(absl::StrCat("cicada/job/0/", id)));
}

TEST(CellTransfers, anIdMeansOneJobBeforeWhileAndAfterItMoves)
{
    loseCell(0);
    submitTo(0, 1, 2, absl::Seconds(3));
    const std::string id = jobs.front();
    CHECK(world->runUntil([&] { return world->isAccepted(id); }, absl::Seconds(1)));
    for (int i = 0; i < 100; ++i) {
        const size_t at = static_cast<size_t>(i) % world->entryCount();
        if (i % 7 == 0)
            world->submitOnce(at, makeJob(id, 2, 1000, absl::Seconds(3)));
        CHECK(world->ask(at, id).has_value());
        world->run(absl::Milliseconds(60));
    }
    CHECK(world->ask(0, id) == JobPhase::Finished);
    LONGS_EQUAL(2, world->startsOf(id));
    for (const GatewayStatus status : world->answersTo(id))
        CHECK(status == GatewayStatus::Accepted);
    CHECK(!world->ask(0, CellWorld::jobIn(0, cells, 777)).has_value());
}

TEST(CellTransfers, theIdOfAMovedJobIsInUseForOtherQueues)
{
    loseCell(0);
    submitTo(0, 1, 2, absl::Seconds(3));
    const std::string id = jobs.front();
    CHECK(world->runUntil([&] { return hasMark(id); }, idleBound));
    const auto submitToAnotherQueue = [&] {
        QueuePolicy policy = world->policy();
        policy.queue = "reports";
        std::optional<GatewayReply> answer;
        world->gateway(*world->ownerOf(0))
            .submit(
                makeJob(id, 3), policy, absl::Milliseconds(2800), [&answer](GatewayReply reply) { answer = reply; });
        CHECK(world->runUntil([&] { return answer.has_value(); }, absl::Seconds(3)));
        return answer->isRefusedFor(RefusalCode::IdInUse);
    };
    CHECK(submitToAnotherQueue());
    // The marks name no queue, so a new owner reads the records in the other cell.
    for (int i = 0; i < 2; ++i) {
        world->kill(*world->ownerOf(0));
        CHECK(world->runUntil([&] { return world->ownerOf(0) && world->ownerOf(1); }, absl::Seconds(8)));
        world->run(absl::Seconds(1));
        CHECK(submitToAnotherQueue());
        CHECK(allEnd(settleBound));
    }
}

TEST(CellTransfers, aCancelAtAnyMomentOfATransferHolds)
{
    for (int64_t at = 800; at <= 2600; at += 50) {
        begin(static_cast<uint64_t>(at));
        loseCell(0);
        submitTo(0, 2, 2, absl::Seconds(5));
        world->run(absl::Milliseconds(at));
        for (const std::string& id : jobs)
            world->cancel(3, id);
        for (const std::string& id : jobs)
            CHECK(world->runUntil([&] { return world->ask(2, id) == JobPhase::Cancelled; }, absl::Seconds(4)));
        world->run(absl::Seconds(2));
        for (const WorldWorker& worker : world->workers())
            CHECK(worker.runs.empty());
        STRCMP_EQUAL("", world->report().c_str());
    }
}

TEST(CellTransfers, ownersThatDieAtAnyMomentOfATransferLoseAndDoubleNothing)
{
    for (int64_t at = 900; at <= 2300; at += 35) {
        for (const int victims : { 1, 2, 3 }) {
            begin(static_cast<uint64_t>(at));
            loseCell(0);
            submitTo(0, 4);
            world->run(absl::Milliseconds(at));
            const size_t source = world->ownerOf(0).value();
            const size_t destination = world->ownerOf(1).value();
            if (victims & 1)
                world->kill(source);
            if (victims & 2 && (destination != source || !(victims & 1)))
                world->kill(destination);
            CHECK_TEXT(allEnd(settleBound), absl::StrCat("killed at ", at, ": ", victims).c_str());
            STRCMP_EQUAL("", world->report().c_str());
        }
    }
}

TEST(CellTransfers, ownersThatFreezeAtAnyMomentOfATransferLoseAndDoubleNothing)
{
    for (int64_t at = 900; at <= 2300; at += 35) {
        for (const uint32_t cell : { 0U, 1U }) {
            begin(static_cast<uint64_t>(at));
            loseCell(0);
            submitTo(0, 4);
            world->run(absl::Milliseconds(at));
            world->freeze(world->ownerOf(cell).value(), absl::Seconds(5));
            CHECK_TEXT(allEnd(settleBound), absl::StrCat("frozen at ", at, ": ", cell).c_str());
            STRCMP_EQUAL("", world->report().c_str());
        }
    }
}

TEST(CellTransfers, anOwnerThatIsCutFromTheOthersWhileItTransfersLosesAndDoublesNothing)
{
    for (int64_t at = 900; at <= 2300; at += 70) {
        begin(static_cast<uint64_t>(at));
        loseCell(0);
        submitTo(0, 4);
        world->run(absl::Milliseconds(at));
        const size_t cut = world->ownerOf(static_cast<uint32_t>(at / 70 % 2)).value();
        world->cutPeers(cut, true);
        world->run(absl::Seconds(4));
        world->cutPeers(cut, false);
        CHECK_TEXT(allEnd(settleBound), absl::StrCat("cut at ", at).c_str());
        STRCMP_EQUAL("", world->report().c_str());
    }
}

TEST(CellTransfers, aTransferWhoseOutcomeIsUnknownStartsNothingBeforeItIsKnown)
{
    for (const StoreMood mood :
        { StoreMood::LosesReplies, StoreMood::WritesLate, StoreMood::Silent, StoreMood::Busy }) {
        for (int64_t at = 700; at <= 2300; at += 100) {
            begin(static_cast<uint64_t>(at));
            loseCell(0);
            submitTo(0, 4);
            CHECK(world->runUntil([&] { return allAccepted(); }, absl::Seconds(1)));
            world->run(absl::Milliseconds(at));
            const size_t source = world->ownerOf(0).value();
            world->setStore(source, mood);
            world->run(absl::Milliseconds(1500));
            // A next owner must not be misled by a transfer that is still on its way.
            if (at % 200 == 0)
                world->kill(source);
            else
                world->setStore(source, StoreMood::Well);
            CHECK_TEXT(allEnd(settleBound), absl::StrCat("store at ", at).c_str());
            STRCMP_EQUAL("", world->report().c_str());
            expectEachOnce(2);
        }
    }
}

TEST(CellTransfers, afterALossOfPowerOfAllTheRecordsTellWhereAJobIs)
{
    for (int64_t at = 900; at <= 2300; at += 70) {
        begin(static_cast<uint64_t>(at));
        loseCell(0);
        submitTo(0, 4);
        world->run(absl::Milliseconds(at));
        for (size_t i = 0; i < world->entryCount(); ++i)
            world->kill(i);
        world->run(absl::Milliseconds(500));
        for (size_t i = 0; i < world->entryCount(); ++i)
            world->start(i);
        CHECK_TEXT(allEnd(settleBound), absl::StrCat("power lost at ", at).c_str());
        STRCMP_EQUAL("", world->report().c_str());
    }
}

TEST(CellTransfers, aJobGoesHomeWhenTheOtherCellHasNoRoomAnyMore)
{
    crashCell(0, absl::Seconds(10));
    submitTo(0, 1, 40, absl::Seconds(4));
    const std::string id = jobs.front();
    CHECK(world->runUntil([&] { return hasMark(id); }, absl::Seconds(4)));
    loseCell(1);
    CHECK(world->runUntil([&] { return world->ask(0, id) == JobPhase::Finished; }, absl::Seconds(40)));
    CHECK(!hasMark(id));
}

TEST(CellTransfers, failedRunsCountInTheNextCell)
{
    for (WorldWorker& worker : world->workers())
        worker.fails = true;
    world->policy().maxAttempts = 4;
    submitTo(0, 1, 1, absl::Milliseconds(500));
    const std::string id = jobs.front();
    CHECK(world->runUntil([&] { return world->startsOf(id) == 2; }, absl::Seconds(5)));
    world->run(absl::Milliseconds(300));
    loseCell(0);
    CHECK(world->runUntil([&] { return world->ask(0, id) == JobPhase::Failed; }, absl::Seconds(30)));
    CHECK(world->startsOf(id) <= 5);
}

TEST(CellTransfers, recordsAndMarksOfAMovedJobExpire)
{
    loseCell(0);
    submitTo(0, 2);
    CHECK(allEnd(settleBound));
    for (const std::string& id : jobs)
        CHECK(world->store().find(absl::StrCat("cicada/run/0/", id)));
    world->run(absl::Seconds(200));
    for (const std::string& id : jobs) {
        POINTERS_EQUAL(nullptr, world->store().find(absl::StrCat("cicada/job/0/", id)));
        POINTERS_EQUAL(nullptr, world->store().find(absl::StrCat("cicada/run/0/", id)));
        POINTERS_EQUAL(nullptr, world->store().find(absl::StrCat("cicada/run/1/", id)));
        POINTERS_EQUAL(nullptr, world->store().find(absl::StrCat("cicada/job/1/", id)));
        POINTERS_EQUAL(nullptr, world->store().find(absl::StrCat("cicada/arrival/1/", id)));
    }
}

TEST(CellTransfers, aJobThatArrivesWhileItsNewCellIsLoadedKeepsItsFinishedSteps)
{
    Submission job = makeJob(CellWorld::jobIn(1, cells, 1), 2);
    job.steps.push_back(job.steps.front());
    job.steps[1].after = { 0 };
    job.steps[1].requiredLabel = "no-worker-has-it";
    world->submit(0, job);
    CHECK(world->runUntil([&] { return world->startsOf(job.id) == 2; }, absl::Seconds(2)));
    world->run(absl::Seconds(2));
    // What the other cell's owner writes at once when it transfers the job.
    Transaction transfer;
    for (const char* kind : { "job", "run" }) {
        const std::string key = absl::StrCat("cicada/", kind, "/1/", job.id);
        transfer.writes.push_back({ key, *world->store().find(key), 0 });
    }
    transfer.writes.push_back({ absl::StrCat("cicada/arrival/1/", job.id), Internal::packFields(0U, 1), 0 });
    const size_t former = world->ownerOf(1).value();
    world->kill(former);
    for (const char* kind : { "job", "run" })
        world->store().put(absl::StrCat("cicada/", kind, "/1/", job.id), encodeTransferMark(0));
    world->store().afterNextList({ "cicada/job/1/", "cicada/run/1/" }, [&] { world->store().transact(transfer); });
    const size_t other = (former + 1) % world->entryCount();
    CHECK(world->runUntil([&] { return world->ask(other, job.id).has_value(); }, absl::Seconds(8)));
    world->run(absl::Seconds(4));
    LONGS_EQUAL(2, world->startsOf(job.id));
}
