/** \file
 * Failures while a wide gang keeps room beside narrow work.
 */

#include "CellWorld.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

/** A gang needs 63 of the cell's workers, of which narrow work keeps nearly all busy. */
TEST_GROUP(GangReservationFailures)
{
    static constexpr uint32_t width = 126;
    CellWorld world { 3, 200, 1 };
    int lastNarrow = 0;

    void setup() override
    {
        world.setCells(1);
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
        world.run(absl::Seconds(1));
        QueuePolicy policy = world.policy();
        policy.advice = { true, absl::Seconds(0.44), absl::Milliseconds(6.2), absl::Seconds(2.5) };
        policy.latencyTarget = absl::Seconds(30);
        world.setQueueOf("gang", policy);
        world.setAdviceDelay(absl::Seconds(1.06));
        world.setTicketValidity(policy.advice.validity);
        runBeside(absl::Seconds(2));
        Submission gang = makeJob("gang", width, 2000);
        gang.steps[0].isGang = true;
        world.submit(*world.owner(), gang);
    }
    void teardown() override { STRCMP_EQUAL("", world.report().c_str()); }

    bool hasStarted() { return world.startsOf("gang") == width; }
    /** Lets time pass beside narrow work until the gang has started; false when it hasn't within this time. */
    bool runBeside(absl::Duration duration)
    {
        for (const Instant end = world.now() + duration; world.now() < end && !hasStarted();) {
            world.submitOnce(world.owner().value_or(0), makeJob(absl::StrCat("narrow", ++lastNarrow), 120));
            world.run(absl::Milliseconds(100));
        }
        return hasStarted();
    }
};

TEST(GangReservationFailures, aNewOwnerKeepsRoomAnew)
{
    CHECK_FALSE(runBeside(absl::Milliseconds(1500)));
    world.kill(*world.owner());
    CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
    CHECK(runBeside(absl::Seconds(4)));
}

TEST(GangReservationFailures, roomIsNotKeptFromNarrowWorkWhileThePolicyServiceIsSilent)
{
    // Tickets that come with the first replies end before narrow work does.
    world.setTicketValidity(absl::Milliseconds(500));
    CHECK_FALSE(runBeside(absl::Milliseconds(1200)));
    world.setPolicySilent(true);
    const int before = lastNarrow;
    CHECK_FALSE(runBeside(absl::Seconds(12)));
    for (int i = before; i < lastNarrow - 20; ++i)
        LONGS_EQUAL(120, world.startsOf(absl::StrCat("narrow", i + 1)));
    world.setTicketValidity(absl::Seconds(2.5));
    world.setPolicySilent(false);
    CHECK(runBeside(absl::Seconds(5)));
}
