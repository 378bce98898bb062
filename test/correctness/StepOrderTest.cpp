/** \file
 * The order in which ready steps get capacity.
 */

#include "AccountShares.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

/** A job of one step, for a server that serves one at a time. */
struct Job {
    std::string account;
    absl::Duration at;
    absl::Duration run;
    absl::Duration objective;
    bool isExcess = false;
};

enum class Order {
    /** Urgency and latest start, which takes no account into regard. */
    Today,
    /** First come first served within an account, accounts by use per weight. */
    ArrivalInAccount,
    /** Accounts by use per weight, without urgency. */
    WeightsAlone,
    Whole,
};

/** How many jobs of each account end on time. */
std::map<std::string, int> serve(
    const std::vector<Job>& jobs, Order order, const std::map<std::string, double>& weights)
{
    AccountShares shares;
    std::map<std::string, int> onTime;
    std::vector<size_t> waiting;
    size_t next = 0;
    for (Instant now = absl::ZeroDuration(); next < jobs.size() || !waiting.empty();) {
        while (next < jobs.size() && jobs[next].at <= now)
            waiting.push_back(next++);
        if (waiting.empty()) {
            now = jobs[next].at;
            continue;
        }
        std::vector<StepRank> ranks;
        for (const size_t i : waiting) {
            const Job& job = jobs[i];
            const Instant latest = job.at + job.objective - job.run;
            const StepTimes times { false, false, latest, order == Order::Whole && job.isExcess,
                order == Order::Whole ? job.at + 3 * job.objective - job.run : absl::InfiniteDuration() };
            StepKey key { urgencyOf(times, now), 0, latest };
            if (order == Order::ArrivalInAccount)
                key.latestStart = job.at;
            if (order == Order::WeightsAlone || order == Order::ArrivalInAccount)
                key.urgency = StepUrgency::OnTime;
            ranks.push_back({ key, absl::StrCat(absl::Dec(i, absl::kZeroPad8)), {} });
        }
        std::sort(ranks.begin(), ranks.end());
        std::vector<AccountShares::Waiting> group;
        for (StepRank& rank : ranks) {
            const Job& job = jobs[std::stoul(rank.job)];
            if (isOwed(rank.key.urgency))
                group.push_back({ &rank, job.account, weights.at(job.account), absl::ToDoubleSeconds(job.run) });
        }
        if (order != Order::Today)
            shares.assignTags(group);
        std::sort(ranks.begin(), ranks.end(), isBeforeByShare);
        const size_t chosen = std::stoul(ranks.front().job);
        const Job& job = jobs[chosen];
        if (isOwed(ranks.front().key.urgency))
            shares.recordStarted(job.account, weights.at(job.account), absl::ToDoubleSeconds(job.run));
        now += job.run;
        onTime[job.account] += now <= job.at + job.objective ? 1 : 0;
        waiting.erase(std::find(waiting.begin(), waiting.end(), chosen));
    }
    return onTime;
}

} // namespace

TEST_GROUP(StepOrder) {};

TEST(StepOrder, urgenciesFollowFromTimesAndExcess)
{
    const Instant now = absl::Seconds(100);
    const Instant past = now - absl::Seconds(1);
    const Instant future = now + absl::Seconds(1);
    CHECK(urgencyOf({ false, false, future }, now) == StepUrgency::OnTime);
    CHECK(urgencyOf({ false, false, past }, now) == StepUrgency::Late);
    CHECK(urgencyOf({ false, false, future, true, future }, now) == StepUrgency::ExcessOnTime);
    CHECK(urgencyOf({ false, false, past, true, future }, now) == StepUrgency::ExcessLate);
    CHECK(urgencyOf({ false, false, past, false, past }, now) == StepUrgency::Hopeless);
    // A service has no end and so no objective.
    CHECK(urgencyOf({ true, false, past, false, past }, now) == StepUrgency::OnTime);
    CHECK(urgencyOf({ true, true, past, true, past }, now) == StepUrgency::LostService);
}

TEST(StepOrder, aFloodOfOneAccountAndMixedLengthsLeaveOthersOnTimeUnlikeTheBaselines)
{
    // The small account and the large one at its rate need 0.8 of the server; with the flood it is 3 times its
    // capacity.
    std::vector<Job> jobs;
    for (int i = 0; i < 200; ++i) {
        const absl::Duration at = absl::Milliseconds(100) * i;
        for (int k = 0; i % 50 == 0 && k < 5; ++k)
            jobs.push_back({ "small", at, absl::Milliseconds(200), absl::Seconds(5) });
        jobs.push_back({ "small", at, absl::Milliseconds(20), absl::Milliseconds(500) });
        jobs.push_back({ "large", at, absl::Milliseconds(42), absl::Milliseconds(900) });
        for (int k = 0; i >= 50 && i < 120 && k < 5; ++k)
            jobs.push_back({ "large", at, absl::Milliseconds(42), absl::Milliseconds(900), true });
    }
    const std::map<std::string, double> weights { { "small", 1 }, { "large", 1 } };
    const auto today = serve(jobs, Order::Today, weights);
    const auto arrival = serve(jobs, Order::ArrivalInAccount, weights);
    const auto weighted = serve(jobs, Order::WeightsAlone, weights);
    const auto whole = serve(jobs, Order::Whole, weights);
    LONGS_EQUAL(220, whole.at("small"));
    CHECK(whole.at("large") >= 200);
    CHECK(today.at("small") < whole.at("small"));
    CHECK(arrival.at("small") < whole.at("small"));
    CHECK(weighted.at("large") < whole.at("large"));
}

TEST(StepOrder, accountsGetCapacityByWeightAndIdleOnesSaveNothingUp)
{
    AccountShares shares;
    std::map<std::string, int> started;
    const auto startOne = [&](const std::vector<std::pair<std::string, double>>& accounts) {
        std::vector<StepRank> ranks(accounts.size());
        std::vector<AccountShares::Waiting> group;
        for (size_t i = 0; i < accounts.size(); ++i) {
            ranks[i].job = accounts[i].first;
            group.push_back({ &ranks[i], accounts[i].first, accounts[i].second, 1 });
        }
        shares.assignTags(group);
        const auto first = std::min_element(ranks.begin(), ranks.end(), isBeforeByShare) - ranks.begin();
        shares.recordStarted(accounts[first].first, accounts[first].second, 1);
        ++started[accounts[first].first];
    };
    for (int i = 0; i < 400; ++i)
        startOne({ { "a", 3 }, { "b", 1 } });
    CHECK(std::abs(started["a"] - 300) <= 2);
    started.clear();
    for (int i = 0; i < 20; ++i)
        startOne({ { "a", 1 }, { "b", 1 }, { "idle", 1 } });
    CHECK(started["idle"] <= 9);
}
