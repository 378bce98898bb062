/** \file
 * Owners that are slow, not failed: cells stay with them, and those that do move don't move back and forth.
 */

#include "CellFailureWorld.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP_BASE(CellOwnerLoad, CellFailureWorld) {
    /** A world whose entry 0 is near the store and the owner; all others are far from it. */
    void ownNear(CellWorld & wide) { for (size_t i = 1; i < wide.entryCount(); ++i) { wide.kill(i);
wide.setFar(i);
wide.start(i);
}
CHECK(wide.runUntil([&] { return wide.owner() == std::optional<size_t>(0); }, absl::Seconds(5)));
wide.run(absl::Seconds(3));
}
/** Entry 0 alone is left, and owns all cells. */
void ownAll(CellWorld& wide, uint32_t cells)
{
    for (size_t i = 1; i < wide.entryCount(); ++i)
        wide.kill(i);
    const auto ownsAll = [&] {
        for (uint32_t cell = 0; cell < cells; ++cell) {
            if (wide.ownerOf(cell) != std::optional<size_t>(0))
                return false;
        }
        return true;
    };
    CHECK(wide.runUntil(ownsAll, absl::Seconds(10)));
}
/** The entries that own a cell. */
absl::btree_set<size_t> owners(const CellWorld& wide, uint32_t cells)
{
    absl::btree_set<size_t> found;
    for (uint32_t cell = 0; cell < cells; ++cell) {
        if (const auto owner = wide.ownerOf(cell))
            found.insert(*owner);
    }
    return found;
}
bool moves(CellWorld& wide, bool isToNear, absl::Duration limit)
{
    return wide.runUntil([&] { return wide.owner().has_value() && (*wide.owner() == 0) == isToNear; }, limit);
}
}
;

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
    for (size_t i = 1; i < wide.entryCount(); ++i)
        wide.kill(i);
    const auto ownsBoth
        = [&] { return wide.ownerOf(0) == std::optional<size_t>(0) && wide.ownerOf(1) == std::optional<size_t>(0); };
    CHECK(wide.runUntil(ownsBoth, absl::Seconds(8)));
    // The cells stay, since the others are far from the store.
    for (size_t i = 1; i < wide.entryCount(); ++i) {
        wide.setFar(i);
        wide.start(i);
    }
    wide.run(absl::Seconds(3));
    CHECK(ownsBoth());
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
    for (size_t i = 1; i < wide.entryCount(); ++i)
        wide.start(i);
    wide.run(absl::Seconds(1));
    wide.kill(0);
    CHECK(wide.runUntil([&] { return owners(wide, 3).size() == 3; }, absl::Milliseconds(2500)));
    STRCMP_EQUAL("", wide.report().c_str());
}

TEST(CellOwnerLoad, anOwnerOfTwoCellsGivesOneToAnEntryThatHasNone)
{
    CellWorld wide { 4, 12, 7 };
    wide.setCells(2);
    ownAll(wide, 2);
    for (size_t i = 1; i < wide.entryCount(); ++i)
        wide.start(i);
    CHECK(wide.runUntil([&] { return owners(wide, 2).size() == 2; }, absl::Seconds(8)));
    const auto settled = owners(wide, 2);
    for (int i = 0; i < 200; ++i) {
        wide.run(absl::Milliseconds(100));
        CHECK(owners(wide, 2) == settled);
    }
    STRCMP_EQUAL("", wide.report().c_str());
}
