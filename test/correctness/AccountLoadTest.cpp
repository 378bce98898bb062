/** \file
 * Accounts beside each other in a cell whose capacity is short.
 */

#include "CellWorld.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

namespace {

constexpr absl::Duration taskTime = absl::Milliseconds(600);

/** 32 processors, so 53 jobs a second. */
struct LoadedCell {
    CellWorld world { 2, 8, 1 };
    absl::btree_map<std::string, Instant> sentAt;

    LoadedCell()
    {
        world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5));
    }
    void send(const std::string& id, const std::string& account, size_t entry = 0)
    {
        Submission job = makeJob(id, 1, 1000, taskTime);
        job.account = account;
        sentAt.try_emplace(id, world.now());
        world.submitOnce(entry, job);
    }
    bool isRefused(const std::string& id) const
    {
        const auto answers = world.answersTo(id);
        return !answers.empty() && answers.back() == GatewayStatus::Refused;
    }
    absl::Duration longestWait(absl::string_view prefix) const
    {
        absl::Duration longest;
        for (const auto& [id, at] : sentAt) {
            if (id.substr(0, prefix.size()) != prefix || isRefused(id))
                continue;
            longest = std::max(longest, world.firstStartOf(id).value_or(absl::InfiniteDuration()) - at);
        }
        return longest;
    }
};

/** One of twenty accounts floods the cell with 7.5 times its rate for 6 s, after which all work ends. */
absl::Duration waitBesideFlood(bool hasAccounts, bool hasFlood)
{
    LoadedCell cell;
    for (int a = 0; a < 20 && hasAccounts; ++a)
        cell.world.setAccount(absl::StrCat("a", a), a == 0 ? 10 : 1.5);
    for (int tick = 0; tick < 60; ++tick) {
        for (int i = 0; i < (hasFlood ? 8 : 1); ++i)
            cell.send(absl::StrCat("large", tick, "-", i), hasAccounts ? "a0" : "");
        for (int a = 1; a < 20 && tick % 10 == 0; ++a)
            cell.send(absl::StrCat("small", tick, "-", a), hasAccounts ? absl::StrCat("a", a) : "");
        cell.world.run(absl::Milliseconds(100));
    }
    cell.world.run(absl::Seconds(10));
    STRCMP_EQUAL("", cell.world.report().c_str());
    return cell.longestWait("small");
}

} // namespace

TEST_GROUP(AccountLoad) {};

TEST(AccountLoad, aFloodOfOneAccountDoesNotDelayTheOthers)
{
    const absl::Duration alone = waitBesideFlood(true, false);
    const absl::Duration besideFlood = waitBesideFlood(true, true);
    const absl::Duration today = waitBesideFlood(false, true);
    // All workers may be busy when the jobs come, and one task ends every 19 ms.
    CHECK(besideFlood <= alone + taskTime);
    CHECK(today > besideFlood * 2);
}

TEST(AccountLoad, atAPeakOwedJobsAreOnTimeAndExcessOnesAreRefusedOrWait)
{
    LoadedCell cell;
    for (int a = 0; a < 4; ++a)
        cell.world.setAccount(absl::StrCat("a", a), 12);
    const absl::Duration objective = 2 * taskTime + absl::Seconds(1);
    // 48 owed jobs a second, of 53 that fit, and as many beyond that.
    size_t refused = 0;
    absl::btree_set<uint64_t> seconds;
    for (int tick = 0; tick < 240; ++tick) {
        cell.send(absl::StrCat("owed", tick, "-0"), absl::StrCat("a", 1 + tick % 3));
        if (tick % 3 == 0) {
            for (int i = 0; i < 5; ++i)
                cell.send(absl::StrCat("mixed", tick, "-", i), "a0");
        }
        cell.world.run(absl::Milliseconds(28));
    }
    // An accepted job that is sent again during the peak stays accepted.
    for (int tick = 0; tick < 240; tick += 10)
        cell.send(absl::StrCat("owed", tick, "-0"), absl::StrCat("a", 1 + tick % 3), 1);
    cell.world.run(absl::Seconds(15));
    STRCMP_EQUAL("", cell.world.report().c_str());
    for (const auto& [id, at] : cell.sentAt) {
        if (cell.isRefused(id)) {
            ++refused;
            LONGS_EQUAL(0, cell.world.startsOf(id));
            for (const uint64_t s : cell.world.retryAfters(id))
                seconds.insert(s);
        } else {
            LONGS_EQUAL(1, cell.world.startsOf(id));
        }
    }
    CHECK(cell.longestWait("owed") + taskTime <= objective);
    for (int tick = 0; tick < 240; ++tick)
        CHECK(!cell.isRefused(absl::StrCat("owed", tick, "-0")));
    CHECK(refused > 50);
    CHECK(seconds.size() >= 2 && *seconds.begin() >= 1 && *seconds.rbegin() <= 5);
    LONGS_EQUAL(refused,
        cell.world.counter("cicada_jobs_refused{why=\"excess\"}")
            + cell.world.counter("cicada_jobs_refused{why=\"too-late\"}"));
}

TEST(AccountLoad, hopelessWorkDelaysNobodyAndStillRuns)
{
    LoadedCell cell;
    cell.world.setAccount("hopeless", 1000);
    cell.world.setAccount("other", 10);
    QueuePolicy brief = cell.world.policy();
    brief.stretch = 1;
    brief.latencyTarget = absl::Milliseconds(100);
    for (int i = 0; i < 300; ++i) {
        const std::string id = absl::StrCat("hopeless", i);
        cell.world.setQueueOf(id, brief);
        cell.send(id, "hopeless");
    }
    cell.world.run(absl::Milliseconds(2500));
    // Late from the start, but not without value.
    QueuePolicy strict = brief;
    strict.latencyTarget = absl::ZeroDuration();
    for (int i = 0; i < 5; ++i) {
        cell.world.setQueueOf(absl::StrCat("other", i), strict);
        cell.send(absl::StrCat("other", i), "other");
        cell.world.run(absl::Milliseconds(200));
    }
    cell.world.run(absl::Seconds(10));
    CHECK(cell.longestWait("other") < absl::Milliseconds(200));
    for (const auto& [id, at] : cell.sentAt)
        LONGS_EQUAL(1, cell.world.startsOf(id));
    STRCMP_EQUAL("", cell.world.report().c_str());
}
