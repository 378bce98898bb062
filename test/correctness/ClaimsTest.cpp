/** \file
 * Ids that must not run twice, without faults: one run, its answer to every repetition, groups in the store.
 */

#include "RetryBudget.h"
#include "support/ClaimsWorld.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using Testing::ClaimsWorld;

TEST_GROUP(Claims) { ClaimsWorld all { 1 }; };

TEST(Claims, runsOnceAndAnswersEveryRepetition)
{
    auto first = all.send(0, "a");
    auto second = all.send(1, "a");
    all.run(absl::Seconds(2));
    auto third = all.send(2, "a");
    all.run(absl::Seconds(2));
    for (const auto& request : { first, second, third })
        CHECK(request->verdict && request->verdict->outcome == Outcome::Ran);
    LONGS_EQUAL(1, all.starts("a"));
    STRCMP_EQUAL("", all.violations().c_str());
}

TEST(Claims, anIdleHomeWritesAtOnce)
{
    all.run(absl::Seconds(1));
    all.entries[0]->maxQueueing = absl::ZeroDuration();
    auto request = all.send(0, "a");
    all.run(absl::Milliseconds(40));
    LONGS_EQUAL(1, all.starts("a"));
}

TEST(Claims, manyClaimsShareOneWrite)
{
    for (int i = 0; i < 2000; ++i)
        all.send(i % 3, absl::StrCat("id-", i));
    all.run(absl::Seconds(2));
    LONGS_EQUAL(2000, all.count(Outcome::Ran));
    uint64_t writes = 0;
    for (auto& entry : all.entries)
        writes += entry->node().counts().writes;
    CHECK(writes < 30);
    STRCMP_EQUAL("", all.violations().c_str());
}

TEST(Claims, anotherRequestUnderTheSameIdIsRefused)
{
    all.send(0, "a");
    all.run(absl::Seconds(1));
    std::optional<ClaimReply> reply;
    ClaimsWorld& world = all;
    auto& home = *world.entries[claimPartition("a") % 3];
    home.home().onReply([&](const std::string&, const ClaimReply& r) { reply = r; });
    home.home().handleRequest("e9", { "a", 99, 8, 1000, 0, 0 });
    CHECK(reply && reply->status == ClaimStatus::Mismatch);
}

TEST(Claims, messagesThatDoNotFitAreTypedErrors)
{
    CHECK(decodeClaimRequest("x").error().kind == ErrorKind::MalformedMessage);
    CHECK(decodeClaimReply(encode(ClaimRequest {})).error().kind == ErrorKind::MalformedMessage);
    CHECK(decodeLocateReply("").error().kind == ErrorKind::MalformedMessage);
    CHECK(decodeClaims("\x93\x01").error().kind == ErrorKind::MalformedMessage);
    ClaimReply reply;
    reply.status = ClaimStatus::Held;
    reply.holder = "e1";
    CHECK(decodeClaimReply(encode(reply)).value().holder == "e1");
}

TEST(Claims, retriesAreBoundedByTheBudget)
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordFirstAttempt(absl::ZeroDuration());
        retries += budget.takeRetry(absl::ZeroDuration()) ? 1 : 0;
    }
    CHECK(retries >= 100 && retries <= 110);
}
