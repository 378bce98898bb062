/** \file
 * Which room a wide gang keeps while it waits.
 */

#include "GangReservation.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

const AdvicePolicy advice { true, absl::Seconds(0.4), absl::Milliseconds(6), absl::Seconds(2.5) };

} // namespace

TEST_GROUP(GangReservation)
{
    GangState state { 8, absl::Seconds(100), {}, 0, 0, 0.5, advice, absl::Seconds(0.3) };
    GangReservation reservation;

    void addWorkers(size_t count, absl::Duration freeIn, absl::Duration ticket = absl::ZeroDuration())
    {
        for (size_t i = 0; i < count; ++i)
            state.allowed.push_back({ { { state.now + freeIn, 2 } }, state.now + ticket });
    }
};

TEST(GangReservation, theWorkersThatAreFreeFirstAreKept)
{
    addWorkers(3, absl::Seconds(5));
    addWorkers(2, absl::Seconds(2));
    addWorkers(2, absl::ZeroDuration());
    const GangDecision decision = reservation.decide(state);
    CHECK(decision.beginsAt == state.now + absl::Seconds(2));
    LONGS_EQUAL(4, decision.hold.size());
    for (const auto& [index, tasks] : decision.hold)
        CHECK(index >= 3 && tasks == 2);
}

TEST(GangReservation, ticketsAreRequestedWhenTheReplyFindsTheRoomFree)
{
    addWorkers(4, absl::Seconds(2));
    CHECK_FALSE(reservation.decide(state).needsTickets);
    state.now += absl::Seconds(1.6);
    CHECK(reservation.decide(state).needsTickets);
    for (GangWorker& worker : state.allowed)
        worker.ticketUntil = state.now + absl::Seconds(2);
    CHECK_FALSE(reservation.decide(state).needsTickets);
}

TEST(GangReservation, workersWithTicketsThatExpireBeforeTheirRoomIsFreeAreNotWaitedFor)
{
    addWorkers(4, absl::Seconds(0.4), absl::Seconds(0.5));
    addWorkers(4, absl::Seconds(0.1));
    const GangDecision decision = reservation.decide(state);
    CHECK(decision.beginsAt == state.now + absl::Seconds(0.1));
    CHECK(decision.needsTickets);
}

TEST(GangReservation, whileKnownWorkersAreNotFreeUnknownOnesWithRoomAreAskedAbout)
{
    addWorkers(10, absl::Seconds(3));
    state.unknownFree = 5;
    DOUBLES_EQUAL(8 * 1.6, reservation.decide(state).unknownFreeWanted, 0.01);
    addWorkers(4, absl::ZeroDuration());
    DOUBLES_EQUAL(0, reservation.decide(state).unknownFreeWanted, 0.01);
}

TEST(GangReservation, workWithWrongEstimatesDoesNotPutOffTheEndOfBackfilling)
{
    addWorkers(4, absl::Seconds(1));
    const Instant begin = state.now + absl::Seconds(1);
    CHECK(reservation.decide(state).backfillUntil == begin);
    state.allowed.front().rooms.front().from = state.now + absl::Seconds(2);
    const GangDecision decision = reservation.decide(state);
    CHECK(decision.backfillUntil == begin);
    CHECK_FALSE(decision.mayTransfer);
    state.now = begin + absl::Seconds(3.5);
    CHECK(reservation.decide(state).mayTransfer);
}

TEST(GangReservation, aGangWithoutRoomToSpareKeepsNothingFromOthers)
{
    addWorkers(5, absl::ZeroDuration());
    CHECK_FALSE(GangReservation::hasSpareRoom(state));
    state.unknownInTime = 6;
    CHECK(GangReservation::hasSpareRoom(state));
    state.allowed.front().rooms.front().from = state.now + absl::Minutes(1);
    CHECK_FALSE(GangReservation::hasSpareRoom(state));
}
