/** \file
 * Owners that are slow, not failed: cells stay with them, and those that do move don't move back and forth.
 */

#include "CellFailureWorld.h"

using namespace cicada;
using namespace cicada::test;

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
