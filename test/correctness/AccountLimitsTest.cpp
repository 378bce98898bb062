/** \file
 * The limit of an account that is split over several cells, without faults.
 */

#include "AccountLimitsWorld.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

namespace {

/** 4 KB a second for each entry, in reports every quarter of a second with the grants that answer them. */
constexpr size_t bytesPerInterval = 4096 / 4;

/** The bytes that a cell sends and gets in one interval in which all accounts with work want more. */
size_t bytesInInterval(size_t accounts, size_t withWork)
{
    std::vector<ClientAccount> configured;
    for (size_t i = 0; i < accounts; ++i)
        configured.push_back({ absl::StrCat("account-", i), 1, { 4'000'000, 8'000'000, 0 } });
    const auto lookup = [&](const std::string& name) -> const ClientAccount* {
        const auto found = std::find_if(
            configured.begin(), configured.end(), [&](const ClientAccount& account) { return account.name == name; });
        return found == configured.end() ? nullptr : &*found;
    };
    CellAccountLimits cell(0, 2, 100'000, lookup);
    AccountHolder holder(0, 2, 100'000, lookup);
    holder.setOwners({ { 100'000, 100'000 } });
    cell.setHolder(0, 100'000);
    const auto other = holder.handleReport({ 1, 100'000, 0, 100'000, 1, true, {} });
    CHECK(other.has_value());
    std::vector<AccountNeed> needs;
    for (size_t i = 0; i < withWork; ++i)
        needs.push_back({ configured[i].name, { 900'000, 1'000'000, 0 }, {}, false });
    // The first report names all accounts; what is measured are the ones after it.
    size_t bytes = 0;
    for (int interval = 0; interval < 3; ++interval) {
        bytes = 0;
        for (const AccountReport& report : cell.takeReports(needs, absl::Seconds(interval))) {
            const auto grant = holder.handleReport(report);
            bytes += encode(report).size() + encode(*grant).size();
            cell.handleGrant(*grant);
        }
        for (AccountNeed& need : needs)
            need.wanted = { 700'000 + 100'000 * interval, 900'000 + 100'000 * interval, 0 };
    }
    return bytes;
}

} // namespace

TEST_GROUP(AccountLimits) {};

TEST(AccountLimits, thePartsAddUpToTheLimit)
{
    const Resources limit { 10'001, 0, 3 };
    CHECK_EQUAL(1250, fixedPart(limit, 4).cpuMillis);
    CHECK_EQUAL(5001, poolOf(limit, 4).cpuMillis);
    CHECK_EQUAL(0, fixedPart(limit, 4).accelerators);
    CHECK_EQUAL(3, poolOf(limit, 4).accelerators);
    CHECK_EQUAL(10'001, fixedPart(limit, 1).cpuMillis);
}

TEST(AccountLimits, aSingleCellHasTheWholeLimitWithoutMessages)
{
    AccountLimitsWorld world(2, 1, 10);
    world.want(0, 20);
    world.run(absl::Seconds(1));
    CHECK_EQUAL(10, world.runs(0));
    CHECK_EQUAL(0u, world.messages());
}

TEST(AccountLimits, nothingIsSentWhileNoAccountHasWork)
{
    AccountLimitsWorld world(3, 3, 12);
    world.run(absl::Seconds(5));
    CHECK_EQUAL(0u, world.messages());
}

TEST(AccountLimits, betweenCellsOfOneEntryNoMessageLeavesTheProcess)
{
    AccountLimitsWorld world(1, 3, 12);
    world.want(0, 20);
    world.run(absl::Seconds(1));
    CHECK_EQUAL(8, world.runs(0));
    CHECK_EQUAL(0u, world.messages());
}

TEST(AccountLimits, thePoolFollowsTheDemandWithinASecond)
{
    AccountLimitsWorld world(3, 3, 12);
    for (const uint32_t cell : { 0u, 1u, 2u, 0u }) {
        for (uint32_t other = 0; other < 3; ++other)
            world.want(other, other == cell ? 20 : 0);
        world.run(absl::Seconds(1));
        CHECK_EQUAL(8, world.runs(cell));
    }
    CHECK_EQUAL(0, world.excessStarts());
}

TEST(AccountLimits, gangsThatEachHoldAPartOfThePoolDontBlockEachOther)
{
    AccountLimitsWorld world(3, 3, 12);
    world.want(0, 5);
    world.want(1, 5);
    world.run(absl::Seconds(1));
    world.setGang(0, true);
    world.setGang(1, true);
    world.want(0, 8);
    world.want(1, 8);
    world.run(absl::Seconds(1));
    world.want(0, 0);
    world.run(absl::Seconds(2));
    CHECK_EQUAL(8, world.runs(1));
    CHECK_EQUAL(0, world.excessStarts());
}

TEST(AccountLimits, aLoweredLimitHoldsAtOnceAndARaisedOneIsUsed)
{
    AccountLimitsWorld world(3, 3, 24);
    world.want(0, 30);
    world.run(absl::Seconds(1));
    CHECK_EQUAL(16, world.runs(0));
    world.setLimits(12);
    world.want(0, 3);
    world.want(1, 30);
    world.run(absl::Seconds(1));
    CHECK_EQUAL(12 - 2, world.allRuns());
    world.setLimits(24);
    world.run(absl::Seconds(1));
    CHECK_EQUAL(16, world.runs(1));
    CHECK_EQUAL(0, world.excessStarts());
}

TEST(AccountLimits, reportsStayWithinTheirCost)
{
    CHECK(bytesInInterval(20, 20) <= bytesPerInterval);
    CHECK(bytesInInterval(410, 410) <= bytesPerInterval);
    CHECK(bytesInInterval(410, 20) <= bytesPerInterval);
    CHECK_EQUAL(0u, bytesInInterval(410, 0));
}

TEST(AccountLimits, messagesThatAreMalformedOrNegativeAreRefused)
{
    AccountReport report { 1, 2, 3, 4, 5, true, { { "a", 6, { 1, 2, 3 }, {}, { 4, 5, 6 }, true } } };
    CHECK_EQUAL(5, decodeAccountReport(encode(report)).value().accounts[0].wanted.memoryMiB);
    CHECK(decodeAccountReport("report").has_error());
    report.accounts[0].held.cpuMillis = -1;
    CHECK(decodeAccountReport(encode(report)).has_error());
    AccountGrant grant { 1, 2, 3, 4, 5, { { "a", { 1, 2, int64_t { 1 } << 62 } } } };
    CHECK(decodeAccountGrant(encode(grant)).has_error());
}
