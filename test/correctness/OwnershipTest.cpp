/** \file
 * Who owns what while nothing fails: spread, moves, planned stops, and what it costs at rest.
 */

#include "GuardianChoice.h"
#include "support/EntryCluster.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::Testing;

namespace {

size_t ownedBy(const EntryRun& run)
{
    const auto& rows = run.ownership.rows();
    return std::count_if(
        rows.begin(), rows.end(), [&run](const auto& item) { return run.ownership.term(item.first).has_value(); });
}

void startAll(EntryCluster& cluster, size_t entries)
{
    for (size_t i = 0; i < entries; ++i)
        cluster.start(i);
    cluster.advance(absl::Seconds(10));
    CHECK(cluster.allOwned());
}

Member member(absl::string_view name, absl::string_view domain)
{
    Member result;
    result.name = std::string(name);
    result.failureDomain = std::string(domain);
    result.incarnation = 1;
    return result;
}

} // namespace

TEST_GROUP(OwnershipTable) {};

TEST(OwnershipTable, spreadsEvenlyWithinTheRegion)
{
    EntryCluster cluster(1, 3, 50);
    startAll(cluster, 8);
    absl::btree_map<std::string, std::pair<int, int>> executorsOf;
    for (const BackEnd& backEnd : cluster.executors) {
        const EntryRun* owner = cluster.ownerOf(backEnd.group());
        STRCMP_EQUAL(backEnd.region.c_str(), owner->settings.region.c_str());
        ++executorsOf[owner->settings.name].first;
    }
    // 17, 17 and 16 executors in three regions with 3, 3 and 2 entries; 64 partitions of claims over all.
    for (const auto& [name, count] : executorsOf)
        CHECK(count.first >= 5 && count.first <= 8);
    for (size_t i = 0; i < 8; ++i)
        CHECK(ownedBy(cluster.run(i)) >= 13 && ownedBy(cluster.run(i)) <= 17);
}

TEST(OwnershipTable, joiningMovesFewGroups)
{
    EntryCluster cluster(1, 3, 50);
    startAll(cluster, 7);
    std::vector<uint64_t> gainedBefore;
    for (size_t i = 0; i < 7; ++i)
        gainedBefore.push_back(cluster.run(i).gained);
    cluster.start(7);
    cluster.advance(absl::Seconds(10));
    CHECK(cluster.allOwned());
    CHECK(ownedBy(cluster.run(7)) >= 12);
    // What the others gained had to be moved for no reason.
    for (size_t i = 0; i < 7; ++i)
        LONGS_EQUAL(gainedBefore[i], cluster.run(i).gained);
}

TEST(OwnershipTable, aStoppingEntryHandsOverEverythingAndEndsItself)
{
    EntryCluster cluster(1, 3, 12);
    startAll(cluster, 4);
    EntryRun& leaving = cluster.run(2);
    CHECK(leaving.ownership.groupsToHandOver() > 0);
    leaving.ownership.leave();
    const auto took = cluster.advanceUntil([&] { return leaving.ownership.left(); }, absl::Seconds(3));
    CHECK(took.has_value());
    LONGS_EQUAL(0, leaving.ownership.groupsToHandOver());
    cluster.advance(absl::Milliseconds(50));
    CHECK(cluster.allOwned());
    CHECK(!leaving.authority.active());
    CHECK(cluster.violation().empty());
}

TEST(OwnershipTable, theLastEntryLeavesWithoutASuccessor)
{
    EntryCluster cluster(1, 1, 2);
    startAll(cluster, 1);
    cluster.run(0).ownership.leave();
    CHECK(cluster.advanceUntil([&] { return cluster.run(0).ownership.left(); }, absl::Seconds(3)).has_value());
}

TEST(OwnershipTable, epochsGrowWithEachChangeOfOwner)
{
    EntryCluster cluster(1, 1, 1);
    startAll(cluster, 3);
    const std::string group = cluster.executors[0].group();
    uint64_t epoch = 0;
    for (int change = 0; change < 3; ++change) {
        EntryRun* owner = cluster.ownerOf(group);
        CHECK(owner->ownership.term(group)->epoch > epoch);
        epoch = owner->ownership.term(group)->epoch;
        owner->ownership.leave();
        cluster.advance(absl::Seconds(3));
        for (size_t i = 0; i < 3; ++i) {
            if (&cluster.run(i) != owner)
                continue;
            cluster.kill(i);
            cluster.start(i);
        }
        cluster.advance(absl::Seconds(5));
    }
}

TEST(OwnershipTable, restCostsNextToNothing)
{
    constexpr int64_t seconds = 60;
    constexpr uint64_t bytesPerSecondLimit = 4096;
    EntryCluster cluster(1, 3, 50);
    startAll(cluster, 8);
    std::vector<PeerTraffic> trafficBefore;
    std::vector<StoreCallCounts> callsBefore;
    for (size_t i = 0; i < 8; ++i) {
        trafficBefore.push_back(cluster.run(i).node.traffic());
        callsBefore.push_back(cluster.run(i).node.counts());
    }
    cluster.advance(absl::Seconds(seconds));
    for (size_t i = 0; i < 8; ++i) {
        const Node& node = cluster.run(i).node;
        const uint64_t bytes = node.traffic().bytes - trafficBefore[i].bytes;
        const uint64_t messages = node.traffic().messages - trafficBefore[i].messages;
        UT_PRINT(absl::StrCat("entry-", i, " at rest for ", seconds, " s: ", bytes, " bytes in ", messages,
            " messages, ", node.counts().writes - callsBefore[i].writes, " writes and ",
            node.counts().reads - callsBefore[i].reads, " reads of the store")
                     .c_str());
        CHECK(bytes < seconds * bytesPerSecondLimit);
        LONGS_EQUAL(callsBefore[i].writes, node.counts().writes);
        LONGS_EQUAL(callsBefore[i].reads, node.counts().reads);
    }
}

TEST_GROUP(GuardianChoice) {};

TEST(GuardianChoice, prefersOtherDomainsAndAvoidsPairs)
{
    std::vector<Member> members(8);
    for (size_t i = 0; i < members.size(); ++i)
        members[i] = member(absl::StrCat("entry-", i), absl::StrCat("domain-", i % 3));
    for (const Member& holder : members) {
        const auto guardians = chooseGuardians(holder.name, members);
        LONGS_EQUAL(2, guardians.size());
        absl::btree_set<std::string> domains = { holder.failureDomain };
        for (const EntryId& guardian : guardians) {
            domains.insert(absl::StrCat("domain-", (guardian.name.back() - '0') % 3));
            for (const EntryId& back : chooseGuardians(guardian.name, members))
                CHECK(back.name != holder.name);
        }
        LONGS_EQUAL(3, domains.size());
    }
}

TEST(GuardianChoice, takesTheOwnDomainWhenThereIsNoOther)
{
    const std::vector<Member> members = { member("a", "x"), member("b", "x"), member("c", "y") };
    LONGS_EQUAL(2, chooseGuardians("a", members).size());
    LONGS_EQUAL(2, chooseGuardians("c", members).size());
    LONGS_EQUAL(0, chooseGuardians("a", { members.data(), 1 }).size());
}
