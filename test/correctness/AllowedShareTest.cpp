#include "AllowedShare.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

TEST_GROUP(AllowedShare) {};

TEST(AllowedShare, isAHalfBeforeTheFirstReply) { DOUBLES_EQUAL(0.5, AllowedShare().estimate(), 1e-9); }

TEST(AllowedShare, followsTheRepliesAfterAFewRequests)
{
    AllowedShare share;
    for (int i = 0; i < 5; ++i)
        share.add(100, 35);
    DOUBLES_EQUAL(0.35, share.estimate(), 0.02);
}

TEST(AllowedShare, aReplyThatTellsOfNoNewWorkerChangesNothing)
{
    AllowedShare share;
    share.add(100, 35);
    const double before = share.estimate();
    share.add(0, 0);
    DOUBLES_EQUAL(before, share.estimate(), 1e-9);
}

TEST(AllowedShare, isNeverZero)
{
    AllowedShare share;
    for (int i = 0; i < 100; ++i)
        share.add(100, 0);
    CHECK(share.estimate() > 0);
}
