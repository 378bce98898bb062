/** \file
 * The limit of an account that is split over several cells, with owners that fail and messages that are lost, late or
 * out of order.
 */

#include "AccountLimitsWorld.h"
#include "CellWorld.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

namespace {

constexpr uint32_t cellCount = 3;
constexpr int64_t limit = 12;
/** What one cell can use: its fixed part and the pool. */
constexpr int64_t mostInACell = 8;

size_t pick(AccountLimitsWorld& world, size_t count)
{
    return std::uniform_int_distribution<size_t>(0, count - 1)(world.random());
}

void injectFault(AccountLimitsWorld& world)
{
    const auto cell = static_cast<uint32_t>(pick(world, cellCount));
    const size_t entry = pick(world, cellCount);
    const bool isOn = pick(world, 2) == 0;
    switch (pick(world, 8)) {
    case 0:
        return world.setPaused(entry, isOn);
    case 1:
        return world.setCut(entry, isOn);
    case 2:
        return world.setStale(entry, isOn);
    case 3:
        return world.take(cell, pick(world, 4) == 0 ? std::nullopt : std::optional<size_t>(entry));
    case 4:
        return world.take(world.holderCell(), entry);
    case 5:
        return world.setLimit(entry, 6 + static_cast<int64_t>(pick(world, 3)) * 6);
    case 6:
        return world.setGang(cell, isOn);
    default:
        return world.want(cell, static_cast<int64_t>(pick(world, 15)));
    }
}

void mend(AccountLimitsWorld& world)
{
    world.setFaults(0, absl::Milliseconds(2));
    world.setLimits(limit);
    for (size_t entry = 0; entry < cellCount; ++entry) {
        world.setPaused(entry, false);
        world.setCut(entry, false);
        world.setStale(entry, false);
    }
    for (uint32_t cell = 0; cell < cellCount; ++cell) {
        world.setGang(cell, false);
        if (!world.ownerOf(cell))
            world.take(cell, cell);
    }
}

/** Stops all work, then demands everything in one cell. */
void moveDemandTo(AccountLimitsWorld& world, uint32_t cell)
{
    for (uint32_t other = 0; other < cellCount; ++other)
        world.want(other, 0);
    world.run(absl::Milliseconds(5));
    world.want(cell, limit * 2);
}

/** A cell that isn't the holder's. */
uint32_t otherCell(const AccountLimitsWorld& world) { return (world.holderCell() + 1) % cellCount; }

} // namespace

TEST_GROUP(AccountLimits) {};

TEST(AccountLimits, overlappingFaultsNeverExceedTheLimitAndThePoolIsUsedAfterThem)
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        AccountLimitsWorld world(cellCount, cellCount, limit, seed);
        world.setFaults(0.15, absl::Milliseconds(pick(world, 2) == 0 ? 30 : 700));
        for (int i = 0; i < 150; ++i) {
            injectFault(world);
            world.run(absl::Milliseconds(5 + pick(world, 200)));
        }
        mend(world);
        moveDemandTo(world, static_cast<uint32_t>(seed % cellCount));
        world.run(absl::Seconds(3));
        CHECK_EQUAL_TEXT(0, world.excessStarts(), absl::StrCat("seed ", seed).c_str());
        CHECK_EQUAL_TEXT(
            mostInACell, world.runs(static_cast<uint32_t>(seed % cellCount)), absl::StrCat("seed ", seed).c_str());
    }
}

TEST(AccountLimits, aHolderThatIsKilledIsReplacedAndCellsKeepWhatTheyHold)
{
    AccountLimitsWorld world(cellCount, cellCount, limit);
    const uint32_t cell = otherCell(world);
    moveDemandTo(world, cell);
    world.run(absl::Seconds(1));
    world.setPaused(world.holderCell(), true);
    world.run(absl::Seconds(1));
    CHECK_EQUAL(mostInACell, world.runs(cell));
    world.take(world.holderCell(), cell);
    moveDemandTo(world, (cell + 1) % cellCount);
    world.run(absl::Seconds(2));
    CHECK_EQUAL(mostInACell, world.runs((cell + 1) % cellCount));
    CHECK_EQUAL(0, world.excessStarts());
}

TEST(AccountLimits, aPausedHolderThatGoesOnLendsNothingThatItsSuccessorLends)
{
    AccountLimitsWorld world(cellCount, cellCount, limit);
    const uint32_t holder = world.holderCell();
    const uint32_t cell = otherCell(world);
    world.run(absl::Seconds(1));
    moveDemandTo(world, cell);
    world.setPaused(holder, true);
    world.run(absl::Milliseconds(400));
    world.take(holder, cell);
    world.run(absl::Seconds(1));
    world.setStale(holder, true);
    world.setPaused(holder, false);
    world.want((cell + 1) % cellCount, limit);
    world.want(holder, limit);
    world.run(absl::Seconds(2));
    CHECK_EQUAL(limit, world.allRuns());
    CHECK_EQUAL(0, world.excessStarts());
}

TEST(AccountLimits, aCutOffCellGoesOnWithWhatItHolds)
{
    AccountLimitsWorld world(cellCount, cellCount, limit);
    const uint32_t cell = otherCell(world);
    moveDemandTo(world, cell);
    world.run(absl::Seconds(1));
    world.setCut(world.holderCell(), true);
    world.want(cell, 3);
    world.run(absl::Milliseconds(100));
    world.want(world.holderCell(), limit);
    world.run(absl::Seconds(2));
    CHECK_EQUAL(2, world.runs(world.holderCell()));
    world.setCut(world.holderCell(), false);
    world.run(absl::Seconds(1));
    CHECK_EQUAL(limit - 2, world.allRuns());
    CHECK_EQUAL(0, world.excessStarts());
}

TEST(AccountLimits, aCellWithoutAnOwnerBlocksLendingOnlyUntilItsNextOwnerReports)
{
    AccountLimitsWorld world(cellCount, cellCount, limit);
    const uint32_t cell = otherCell(world);
    const uint32_t vacant = (cell + 1) % cellCount;
    world.take(vacant, std::nullopt);
    moveDemandTo(world, cell);
    world.run(absl::Seconds(2));
    CHECK_EQUAL(2, world.runs(cell));
    world.take(vacant, vacant);
    world.run(absl::Milliseconds(600));
    CHECK_EQUAL(mostInACell, world.runs(cell));
}

TEST(AccountLimits, whatACellHeldStaysCountedUntilItsNextOwnerReports)
{
    AccountLimitsWorld world(cellCount, cellCount, limit);
    const uint32_t cell = otherCell(world);
    const uint32_t other = (cell + 1) % cellCount;
    moveDemandTo(world, cell);
    world.run(absl::Seconds(1));
    world.take(cell, std::nullopt);
    world.want(cell, 4);
    world.want(other, limit);
    world.run(absl::Seconds(2));
    CHECK_EQUAL(2, world.runs(other));
    world.take(cell, other);
    world.run(absl::Seconds(1));
    CHECK_EQUAL(mostInACell - 2, world.runs(other));
}

TEST(AccountLimits, aNewOwnerUsesNothingThatTheFormerOwnerMayStillGiveBack)
{
    const ClientAccount account { "large", 1, { 12'000, 0, 0 } };
    CellAccountLimits cell(1, cellCount, 7, [&](const std::string&) { return &account; });
    const uint32_t holderCell = holderCellOf(account.name, cellCount);
    cell.setHolder(holderCell, 8);
    const std::vector<AccountNeed> needs { { account.name, { 5000, 0, 0 }, { 1000, 0, 0 }, false } };
    const auto reports = cell.takeReports(needs, absl::Seconds(1));
    CHECK_EQUAL(3000, reports.at(0).accounts.at(0).excess.cpuMillis);
    CHECK_FALSE(cell.handleGrant({ 1, 7, holderCell, 8, reports[0].number, {} }));
    CHECK_EQUAL(2000, cell.limitHere(account).cpuMillis);
    const auto again = cell.takeReports(needs, absl::Seconds(2));
    CHECK(cell.handleGrant({ 1, 7, holderCell, 8, again.at(0).number, { { account.name, { 3000, 0, 0 } } } }));
    CHECK_EQUAL(5000, cell.limitHere(account).cpuMillis);
}

TEST(AccountLimits, aHolderIgnoresReplacedOwnersAndReportsThatAreLate)
{
    AccountHolder holder(0, 2, 7, [](const std::string&) { return nullptr; });
    const AccountReport report { 1, 9, 0, 7, 2, true, {} };
    CHECK_FALSE(holder.handleReport(report).has_value());
    holder.setOwners({ { 7, 9 } });
    CHECK_FALSE(holder.handleReport({ 1, 8, 0, 7, 3, true, {} }).has_value());
    CHECK(holder.handleReport(report).has_value());
    CHECK_FALSE(holder.handleReport(report).has_value());
    CHECK_FALSE(holder.handleReport({ 1, 9, 0, 7, 1, true, {} }).has_value());
    CHECK(holder.handleReport({ 1, 12, 0, 7, 1, true, {} }).has_value());
}

TEST(AccountLimits, aCellTakesOnlyGrantsOfItsNewestHolderForItsNewestReport)
{
    const ClientAccount account { "large", 1, { 12'000, 0, 0 } };
    CellAccountLimits cell(1, cellCount, 7, [&](const std::string&) { return &account; });
    const uint32_t holderCell = holderCellOf(account.name, cellCount);
    const std::vector<AccountLoan> loans { { account.name, { 1000, 0, 0 } } };
    const std::vector<AccountNeed> needs { { account.name, {}, { 3000, 0, 0 }, false } };
    cell.setHolder(holderCell, 8);
    const uint64_t first = cell.takeReports(needs, absl::Seconds(1)).at(0).number;
    cell.setHolder(holderCell, 9);
    cell.setHolder(holderCell, 8);
    const auto reports = cell.takeReports(needs, absl::Seconds(2));
    CHECK_EQUAL(9u, reports.at(0).holderToken);
    CHECK_FALSE(cell.handleGrant({ 1, 7, holderCell, 8, first, loans }));
    CHECK_FALSE(cell.handleGrant({ 1, 7, holderCell, 8, reports[0].number, loans }));
    CHECK(cell.handleGrant({ 1, 7, holderCell, 9, reports[0].number, loans }));
    CHECK_FALSE(cell.handleGrant({ 1, 7, holderCell, 9, reports[0].number, loans }));
    CHECK_EQUAL(3000, cell.limitHere(account).cpuMillis);
}

TEST(AccountLimits, aNewOwnerThatKnowsOldRowsBorrowsFromNoFormerHolder)
{
    AccountLimitsWorld world(4, cellCount, limit);
    const uint32_t cell = otherCell(world);
    moveDemandTo(world, cell);
    world.run(absl::Seconds(1));
    world.want(cell, 0);
    world.run(absl::Seconds(1));
    world.setStale(world.holderCell(), true);
    world.setStale(3, true);
    world.take(world.holderCell(), (cell + 1) % cellCount);
    world.take(cell, 3);
    moveDemandTo(world, cell);
    world.run(absl::Seconds(2));
    CHECK_EQUAL(2, world.runs(cell));
    world.setStale(3, false);
    world.run(absl::Seconds(1));
    CHECK_EQUAL(mostInACell, world.runs(cell));
}

TEST(AccountLimits, aHolderWithAnotherLimitThanTheCellsLendsNothing)
{
    const ClientAccount lowered { "large", 1, { 12'000, 0, 0 } };
    ClientAccount former { "large", 1, { 24'000, 0, 0 } };
    CellAccountLimits cell(1, 2, 7, [&](const std::string&) { return &lowered; });
    const uint32_t holderCell = holderCellOf(lowered.name, 2);
    AccountHolder holder(holderCell, 2, 8, [&](const std::string&) { return &former; });
    holder.setOwners({ { 8, 7 } });
    holder.handleReport({ 0, 8, holderCell, 8, 1, true, {} });
    cell.setHolder(holderCell, 8);
    const std::vector<AccountNeed> needs { { lowered.name, {}, { 20'000, 0, 0 }, false } };
    CHECK(holder.handleReport(cell.takeReports(needs, absl::Seconds(1)).at(0))->loans.empty());
    former.limit = lowered.limit;
    CHECK_EQUAL(
        6000, holder.handleReport(cell.takeReports(needs, absl::Seconds(2)).at(0))->loans.at(0).amount.cpuMillis);
}

TEST(AccountLimits, hostsLendAgainAfterTheOwnerOfTheHoldersCellWasKilled)
{
    const ClientAccount account { "large", 1, { 12'000, 0, 0 } };
    CellWorld world(5, 16, 1);
    world.setCells(2);
    world.setAccount(account);
    CHECK(
        world.runUntil([&] { return world.ownerOf(0).has_value() && world.ownerOf(1).has_value(); }, absl::Seconds(8)));
    const auto submitTo = [&](uint32_t cell) {
        Submission job = makeJob(CellWorld::jobIn(cell, 2, 1), 20, 1000, absl::Seconds(2));
        job.account = account.name;
        world.submit(*world.ownerOf(1 - holderCellOf(account.name, 2)), job);
    };
    const auto hasThePool = [&](uint32_t cell) {
        const auto quota = world.quotaOf(cell);
        return quota && quota->limitHere(account).cpuMillis == 9000;
    };
    const uint32_t holderCell = holderCellOf(account.name, 2);
    submitTo(1 - holderCell);
    CHECK(world.runUntil([&] { return hasThePool(1 - holderCell); }, absl::Seconds(8)));
    world.kill(*world.ownerOf(holderCell));
    submitTo(holderCell);
    // The tasks of the first job take three times 2 s.
    CHECK(world.runUntil([&] { return hasThePool(holderCell); }, absl::Seconds(14)));
    CHECK_FALSE(hasThePool(1 - holderCell));
    STRCMP_EQUAL("", world.report().c_str());
}
