/** \file
 * Owners that are slow, not failed: cells stay with them, and those that do move don't move back and forth.
 */

#include "CellFailureWorld.h"

using namespace cicada;
using namespace cicada::test;

namespace {

/** Makes entry 0 the owner, near the store, and all others far from it. */
void ownNear(CellWorld& world)
{
    for (size_t i = 1; i < world.entryCount(); ++i) {
        world.kill(i);
        world.setFar(i);
        world.start(i);
    }
    CHECK(world.runUntil([&] { return world.owner() == std::optional<size_t>(0); }, absl::Seconds(5)));
    world.run(absl::Seconds(3));
}

/** Whether the cell gets to entry 0, or to another one, within the limit. */
bool moves(CellWorld& world, bool isToNear, absl::Duration limit)
{
    return world.runUntil([&] { return world.owner().has_value() && (*world.owner() == 0) == isToNear; }, limit);
}

/** Lets entry 0, alone, become the owner of all cells; then the others start. */
void ownAll(CellWorld& world, uint32_t cells)
{
    for (size_t i = 1; i < world.entryCount(); ++i)
        world.kill(i);
    const auto ownsAll = [&] {
        for (uint32_t cell = 0; cell < cells; ++cell) {
            if (world.ownerOf(cell) != std::optional<size_t>(0))
                return false;
        }
        return true;
    };
    CHECK(world.runUntil(ownsAll, absl::Seconds(10)));
    for (size_t i = 1; i < world.entryCount(); ++i)
        world.start(i);
}

/** The entries that own a cell. */
absl::btree_set<size_t> owners(const CellWorld& world, uint32_t cells)
{
    absl::btree_set<size_t> found;
    for (uint32_t cell = 0; cell < cells; ++cell) {
        if (const auto owner = world.ownerOf(cell))
            found.insert(*owner);
    }
    return found;
}

} // namespace

TEST_GROUP_BASE(CellOwnerLoad, CellFailureWorld) {};

TEST(CellOwnerLoad, anOwnerWhoseRenewalsAreLateButWhoseWritesAreAnsweredKeepsItsCells)
{
    const size_t first = owner();
    world.setStore(first, StoreMood::LosesLeaseReplies);
    for (int i = 0; i < 8; ++i) {
        submitSome(3, other());
        world.run(absl::Seconds(1));
        CHECK(world.owner() == std::optional<size_t>(first));
    }
    expectAllEnd();
    CHECK(world.owner() == std::optional<size_t>(first));
    world.setStore(first, StoreMood::Well);
}

TEST(CellOwnerLoad, anOwnerThatOnlyTheStoresRefusalsReachOffersItsCells)
{
    const size_t first = owner();
    world.setStore(first, StoreMood::LosesLeaseReplies);
    world.run(absl::Seconds(4));
    CHECK(world.owner() == std::optional<size_t>(first));
    world.setStore(first, StoreMood::Busy);
    CHECK(world.runUntil([&] { return world.owner().has_value() && owner() != first; }, absl::Milliseconds(2500)));
    world.setStore(first, StoreMood::Well);
}

TEST(CellOwnerLoad, aCellDoesNotMoveBackToABetterEntryThatHasJustGivenItUp)
{
    CellWorld wide { 4, 12, 7 };
    ownNear(wide);
    wide.setStore(0, StoreMood::Silent);
    CHECK(moves(wide, false, absl::Seconds(6)));
    wide.setStore(0, StoreMood::Well);
    CHECK(!moves(wide, true, absl::Seconds(10)));
    CHECK(moves(wide, true, absl::Seconds(60)));
    STRCMP_EQUAL("", wide.report().c_str());
}

TEST(CellOwnerLoad, aCellThatChangesOwnersOftenStaysLongerEachTime)
{
    CellWorld wide { 4, 12, 7 };
    ownNear(wide);
    absl::Duration last;
    for (int round = 0; round < 3; ++round) {
        wide.kill(0);
        CHECK(moves(wide, false, absl::Milliseconds(2500)));
        wide.start(0);
        const Instant since = wide.now();
        CHECK(moves(wide, true, absl::Seconds(60)));
        const absl::Duration stay = wide.now() - since;
        CHECK(stay > last * 2);
        last = stay;
    }
    STRCMP_EQUAL("", wide.report().c_str());
}

TEST(CellOwnerLoad, theCellsOfOneOwnerAreOfferedToDifferentEntries)
{
    CellWorld wide { 4, 12, 7 };
    wide.setCells(2);
    ownAll(wide, 2);
    wide.run(absl::Seconds(1));
    wide.setStore(0, StoreMood::Silent);
    const auto areTaken = [&] {
        const auto a = wide.ownerOf(0);
        const auto b = wide.ownerOf(1);
        return a && b && *a != 0 && *b != 0;
    };
    CHECK(wide.runUntil(areTaken, absl::Seconds(6)));
    CHECK(*wide.ownerOf(0) != *wide.ownerOf(1));
    STRCMP_EQUAL("", wide.report().c_str());
}

TEST(CellOwnerLoad, anEntryThatOwnsSeveralCellsGivesOneToAFreeEntry)
{
    CellWorld wide { 4, 12, 7 };
    wide.setCells(2);
    ownAll(wide, 2);
    const auto areApart = [&] {
        const auto a = wide.ownerOf(0);
        const auto b = wide.ownerOf(1);
        return a && b && *a != *b;
    };
    CHECK(wide.runUntil(areApart, absl::Seconds(10)));
    wide.run(absl::Seconds(10));
    CHECK(areApart());
    STRCMP_EQUAL("", wide.report().c_str());
}

TEST(CellOwnerLoad, anEntryWhoseFirstCallWasSlowIsNotTakenForFarFromTheStore)
{
    CellWorld wide { 4, 12, 7 };
    for (size_t i = 1; i < wide.entryCount(); ++i) {
        wide.kill(i);
        wide.setFar(i);
        wide.start(i);
        wide.setNear(i);
    }
    wide.run(absl::Seconds(4));
    wide.kill(0);
    CHECK(moves(wide, false, absl::Milliseconds(2500)));
    wide.start(0);
    CHECK(!moves(wide, true, absl::Seconds(20)));
    STRCMP_EQUAL("", wide.report().c_str());
}

TEST(CellOwnerLoad, anEntryThatLetsACellGoDoesNotClaimItBackAtOnce)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        CellWorld wide { 4, 12, seed };
        ownNear(wide);
        wide.kill(0);
        CHECK(moves(wide, false, absl::Milliseconds(2500)));
        wide.start(0);
        CHECK(wide.runUntil([&] { return !wide.owner().has_value(); }, absl::Seconds(6)));
        for (int i = 0; i < 2000 && !wide.owner(); ++i)
            wide.run(absl::Milliseconds(1));
        CHECK(wide.owner() == std::optional<size_t>(0));
    }
}

TEST(CellOwnerLoad, cellsWithoutOwnersAreNotAllClaimedByOneEntry)
{
    CellWorld wide { 4, 12, 7 };
    wide.setCells(3);
    ownAll(wide, 3);
    wide.run(absl::Seconds(1));
    wide.kill(0);
    CHECK(wide.runUntil([&] { return owners(wide, 3).size() == 3; }, absl::Milliseconds(2500)));
    STRCMP_EQUAL("", wide.report().c_str());
}
