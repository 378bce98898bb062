/** \file
 * Each field of a profile is in force in what the dispatcher does; slots are never lost; peers lend each other slots
 * and take back what came too late.
 */

#include "Dispatcher.h"
#include "support/FakeOwnership.h"
#include "support/FakeWorld.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using Testing::FakeWorld;

namespace {

constexpr uint32_t slotsEach = 4;

/** One entry, as far as placing goes, with executors of its own. */
struct Desk {
    Desk(FakeWorld& world, const std::string& name, const std::string& region, size_t maxQueued = 1000)
        : node(world.addNode(name))
        , ledger(backEnds, ownership, node.clock())
        , dispatcher(name, backEnds, ledger, node, node.clock(), maxQueued, { region, {}, 1 })
    {
        node.onTick([this](Instant now) { dispatcher.tick(now); });
    }
    Testing::Node& node;
    BackEnds backEnds;
    Testing::FakeOwnership ownership;
    SlotLedger ledger;
    Dispatcher dispatcher;
};

Profile shortProfile(const std::string& name)
{
    Profile profile;
    profile.name = name;
    profile.maxWait = absl::Milliseconds(800);
    profile.mayRunTwice = true;
    profile.whenShort = ShortageAction::Shed;
    profile.expectedRun = absl::Milliseconds(100);
    return profile;
}

Profile longProfile(const std::string& name)
{
    Profile profile;
    profile.name = name;
    profile.maxWait = absl::Seconds(60);
    profile.expectedRun = absl::Seconds(10);
    return profile;
}

} // namespace

TEST_GROUP(Dispatcher)
{
    FakeWorld world { 1 };
    std::vector<std::unique_ptr<Desk>> desks;
    std::vector<StartGrant> grants;
    std::vector<Error> errors;
    int nextId = 1;

    /** Entries with one executor each; the region of each is given. */
    void start(const std::vector<std::string>& regions, size_t maxQueued = 1000)
    {
        std::vector<PeerAddress> peers;
        std::vector<BackEnd> list;
        for (size_t i = 0; i < regions.size(); ++i) {
            const std::string name = absl::StrCat("entry-", i);
            desks.push_back(std::make_unique<Desk>(world, name, regions[i], maxQueued));
            peers.push_back({ name, "", regions[i] });
            BackEnd executor;
            executor.name = absl::StrCat("executor-", i);
            executor.service = "desk";
            executor.address = { "127.0.0.1", 1 };
            executor.region = regions[i];
            executor.slots = slotsEach;
            list.push_back(executor);
        }
        for (size_t i = 0; i < desks.size(); ++i) {
            desks[i]->backEnds.update(list);
            desks[i]->ownership.gain(absl::StrCat("executor/executor-", i), 1);
            desks[i]->node.setPeers(peers);
        }
        world.run(absl::Seconds(3));
    }

    std::string submit(const Profile& profile, size_t desk = 0, uint64_t bodyBytes = 0)
    {
        std::string id = absl::StrCat("r", nextId++);
        desks[desk]->dispatcher.submit({ id, "desk", profile, bodyBytes, {} }, [this](Result<StartGrant> decision) {
            if (decision)
                grants.push_back(decision.value());
            else
                errors.push_back(decision.error());
        });
        return id;
    }

    void submitMany(const Profile& profile, int count, size_t desk = 0)
    {
        for (int i = 0; i < count; ++i)
            submit(profile, desk);
    }

    void finish(size_t index, absl::Duration run = absl::Milliseconds(100), size_t desk = 0)
    {
        const StartGrant grant = grants[index];
        desks[desk]->dispatcher.finished(grant, { RunVerdict::Succeeded, run });
    }
};

TEST(Dispatcher, maxWaitIsInForce)
{
    start({ "a" });
    Profile profile = longProfile("tally");
    submitMany(profile, slotsEach + 1);
    LONGS_EQUAL(slotsEach, grants.size());
    world.run(profile.maxWait - absl::Seconds(1));
    LONGS_EQUAL(0, errors.size());
    world.run(absl::Seconds(1) + FakeWorld::tickInterval);
    LONGS_EQUAL(1, errors.size());
    CHECK(errors[0].kind == ErrorKind::DeadlineExceeded);
    CHECK(absl::StrContains(errors[0].message, "tally"));
}

TEST(Dispatcher, theWaitIsCountedFromTheFirstArrival)
{
    start({ "a" });
    world.run(absl::Seconds(5));
    const Instant arrivedAt = desks[0]->node.clock().now() - absl::Seconds(2);
    desks[0]->dispatcher.submit(
        { "again", "desk", shortProfile("check"), 0, arrivedAt }, [this](const Result<StartGrant>& decision) {
            CHECK_FALSE(decision.has_value());
            errors.push_back(decision.error());
        });
    CHECK(errors.at(0).kind == ErrorKind::DeadlineExceeded);
}

TEST(Dispatcher, whatMayBeShedIsRefusedAtOnceAndTheRestWaits)
{
    start({ "a" });
    // Four slots of 100 ms and a bound of 800 ms: the queue holds less than 32.
    submitMany(shortProfile("check"), 100);
    CHECK(errors.size() >= 60 && errors.size() <= 80);
    for (const Error& error : errors)
        CHECK(error.kind == ErrorKind::TooBusy && !error.remedy.empty());
    errors.clear();
    Profile waiting = shortProfile("tally");
    waiting.whenShort = ShortageAction::Wait;
    submitMany(waiting, 100);
    LONGS_EQUAL(0, errors.size());
}

TEST(Dispatcher, aRequestThatIsPreemptedHasToBeOneThatMayRunTwice)
{
    start({ "a" });
    Profile profile = longProfile("batch");
    profile.whenShort = ShortageAction::Preempt;
    submit(profile);
    LONGS_EQUAL(1, errors.size());
    CHECK(errors[0].kind == ErrorKind::InvalidProfile);
    CHECK(absl::StrContains(errors[0].remedy, "mayRunTwice"));
    profile.mayRunTwice = true;
    submit(profile);
    LONGS_EQUAL(1, grants.size());
}

TEST(Dispatcher, urgencyAndDeadlineGiveTheOrder)
{
    start({ "a" });
    Profile filler = longProfile("filler");
    submitMany(filler, slotsEach);
    Profile low = longProfile("low");
    Profile high = longProfile("high");
    Profile soon = longProfile("soon");
    high.urgency = 9;
    soon.maxWait = absl::Seconds(30);
    submit(low);
    submit(soon);
    submit(high);
    for (size_t i = 0; i < 3; ++i)
        finish(i);
    STRCMP_EQUAL("high", grants.at(slotsEach).profile.c_str());
    STRCMP_EQUAL("soon", grants.at(slotsEach + 1).profile.c_str());
    STRCMP_EQUAL("low", grants.at(slotsEach + 2).profile.c_str());
}

TEST(Dispatcher, sharesAreInForce)
{
    start({ "a" });
    Profile small = longProfile("small");
    Profile large = longProfile("large");
    small.expectedRun = large.expectedRun = absl::Seconds(1);
    small.maxWait = absl::Seconds(59);
    large.share = 4;
    submitMany(small, 300);
    submitMany(large, 300);
    const size_t before = grants.size();
    for (size_t i = 0; i < 200; ++i)
        finish(i, absl::Seconds(1));
    size_t ofLarge = 0;
    for (size_t i = before; i < grants.size(); ++i)
        ofLarge += grants[i].profile == "large";
    CHECK_TEXT(ofLarge >= 140 && ofLarge <= 170, absl::StrCat(ofLarge).c_str());
}

TEST(Dispatcher, longWorkNeverTakesTheReserve)
{
    start({ "a" });
    for (int i = 0; i < 40; ++i) {
        submit(shortProfile("check"));
        finish(grants.size() - 1);
        world.run(absl::Milliseconds(50));
    }
    grants.clear();
    submitMany(longProfile("render"), 10);
    CHECK_TEXT(grants.size() < slotsEach, "long work took every slot");
    CHECK(!grants.empty());
    submit(shortProfile("check"));
    STRCMP_EQUAL("check", grants.back().profile.c_str());
}

TEST(Dispatcher, aRunThatTurnsOutLongCountsAsLong)
{
    start({ "a" });
    for (int i = 0; i < 40; ++i) {
        submit(shortProfile("check"));
        finish(grants.size() - 1);
        world.run(absl::Milliseconds(50));
    }
    grants.clear();
    submit(shortProfile("check"));
    world.run(absl::Seconds(1));
    // The straggler holds what long work may hold, or a part of it.
    submitMany(longProfile("render"), 10);
    const size_t withStraggler = grants.size() - 1;
    finish(0);
    CHECK(grants.size() - 1 > withStraggler);
}

TEST(Dispatcher, learntRunTimesReplaceTheDeclaredOne)
{
    start({ "a" });
    Profile wrong = shortProfile("check");
    wrong.expectedRun = absl::Seconds(10);
    submitMany(wrong, 10);
    const size_t refusedAtFirst = errors.size();
    CHECK(refusedAtFirst >= 6);
    for (int i = 0; i < 20; ++i) {
        finish(0, absl::Milliseconds(10));
        grants.erase(grants.begin());
        submit(wrong);
    }
    errors.clear();
    submitMany(wrong, 20);
    LONGS_EQUAL(0, errors.size());
}

TEST(Dispatcher, aRunIsLearntAsNoLongerThanMaxRun)
{
    start({ "a" });
    Profile profile = longProfile("render");
    profile.maxRun = absl::Seconds(20);
    for (int i = 0; i < 10; ++i) {
        submit(profile);
        finish(grants.size() - 1, absl::Seconds(1000));
    }
    const RunEstimate observed = desks[0]->dispatcher.runTimes().estimate("desk", "render", absl::Seconds(1));
    CHECK(observed.typical <= absl::Seconds(21));
}

TEST(Dispatcher, theQueueIsBounded)
{
    start({ "a" }, 5);
    submitMany(longProfile("tally"), 20);
    LONGS_EQUAL(slotsEach, grants.size());
    LONGS_EQUAL(20 - slotsEach - 5, errors.size());
    CHECK(errors[0].kind == ErrorKind::TooBusy);
}

TEST(Dispatcher, aWaveOfCancellationsFreesTheQueue)
{
    start({ "a" }, 100000);
    std::vector<std::string> ids;
    ids.reserve(20000);
    for (int i = 0; i < 20000; ++i)
        ids.push_back(submit(longProfile("tally")));
    for (size_t i = slotsEach; i < ids.size(); ++i)
        CHECK(desks[0]->dispatcher.cancel(ids[i]));
    LONGS_EQUAL(0, desks[0]->dispatcher.queued());
    CHECK_FALSE(desks[0]->dispatcher.cancel(ids.back()));
    LONGS_EQUAL(ids.size() - slotsEach, errors.size());
}

TEST(Dispatcher, aPeerOfTheRegionLendsASlotAndGetsItBack)
{
    start({ "a", "a" });
    submitMany(longProfile("tally"), slotsEach + 1);
    world.run(absl::Milliseconds(100));
    LONGS_EQUAL(slotsEach + 1, grants.size());
    STRCMP_EQUAL("entry-1", grants.back().owner.c_str());
    LONGS_EQUAL(slotsEach - 1, desks[1]->ledger.freeSlots("desk"));
    finish(slotsEach);
    world.run(absl::Milliseconds(100));
    LONGS_EQUAL(slotsEach, desks[1]->ledger.freeSlots("desk"));
    LONGS_EQUAL(0, desks[0]->dispatcher.counts().acrossRegions);
}

TEST(Dispatcher, aRequestLeavesItsRegionOnlyWhenItsBoundWouldBreak)
{
    start({ "a", "b" });
    submitMany(longProfile("tally"), slotsEach + 1);
    world.run(absl::Seconds(5));
    LONGS_EQUAL(slotsEach, grants.size());
    // Arrivals that keep the expected wait near the bound of 800 ms.
    for (int i = 0; i < 40; ++i) {
        submit(shortProfile("check"), 0, 300);
        world.run(absl::Milliseconds(10));
    }
    world.run(absl::Milliseconds(300));
    const PlacementCounts& counts = desks[0]->dispatcher.counts();
    CHECK(counts.acrossRegions > 0);
    CHECK(counts.bytesAcrossRegions >= 300);
}

TEST(Dispatcher, aGrantThatComesTooLateIsGivenBack)
{
    start({ "a", "a" });
    submitMany(longProfile("tally"), slotsEach);
    world.pause(desks[1]->node);
    submit(longProfile("tally"));
    world.run(2 * Dispatcher::placeRequestTimeout);
    LONGS_EQUAL(slotsEach, grants.size());
    world.pause(desks[0]->node);
    world.resume(desks[1]->node);
    world.run(absl::Milliseconds(50));
    LONGS_EQUAL(slotsEach - 1, desks[1]->ledger.freeSlots("desk"));
    finish(0);
    world.resume(desks[0]->node);
    world.run(absl::Milliseconds(100));
    LONGS_EQUAL(slotsEach, desks[1]->ledger.freeSlots("desk"));
    LONGS_EQUAL(slotsEach + 1, grants.size());
    STRCMP_EQUAL("entry-0", grants.back().owner.c_str());
}

TEST(Dispatcher, noSlotIsLostOverManyRandomOperations)
{
    start({ "a", "a", "b" });
    std::mt19937_64 random(7);
    std::vector<std::pair<size_t, StartGrant>> running;
    std::vector<std::pair<size_t, std::string>> ids;
    size_t decided = 0;
    size_t submitted = 0;
    const auto pick = [&random](size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random); };
    for (int i = 0; i < 10000; ++i) {
        const size_t desk = pick(desks.size());
        const size_t action = pick(10);
        if (action < 5) {
            const std::string id = absl::StrCat("x", i);
            ++submitted;
            desks[desk]->dispatcher.submit(
                { id, "desk", action < 2 ? shortProfile("check") : longProfile("tally"), 0, {} },
                [&, desk](const Result<StartGrant>& decision) {
                    ++decided;
                    if (decision)
                        running.emplace_back(desk, decision.value());
                });
            ids.emplace_back(desk, id);
        } else if (action < 8 && !running.empty()) {
            std::swap(running[pick(running.size())], running.back());
            const auto [owner, grant] = running.back();
            running.pop_back();
            desks[owner]->dispatcher.finished(grant, { RunVerdict::Succeeded, absl::Milliseconds(100) });
        } else if (action == 8 && !ids.empty()) {
            const auto& [owner, id] = ids[pick(ids.size())];
            desks[owner]->dispatcher.cancel(id);
        } else {
            world.run(absl::Milliseconds(7));
        }
        for (const auto& each : desks)
            CHECK(each->ledger.grants().size() <= slotsEach);
    }
    while (decided < submitted || !running.empty()) {
        world.run(absl::Seconds(1));
        auto ended = std::move(running);
        running.clear();
        for (const auto& [owner, grant] : ended)
            desks[owner]->dispatcher.finished(grant, { RunVerdict::Succeeded, absl::Milliseconds(100) });
    }
    world.run(absl::Seconds(1));
    for (const auto& each : desks) {
        LONGS_EQUAL(0, each->ledger.grants().size());
        LONGS_EQUAL(slotsEach, each->ledger.freeSlots("desk"));
        LONGS_EQUAL(slotsEach, each->ledger.totals("desk").free);
        LONGS_EQUAL(0, each->dispatcher.queued());
    }
}
