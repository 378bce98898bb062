/** \file
 * Clients choose the ids of their jobs, and clients of two queues may choose the same one.
 */

#include "CellWorld.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

TEST_GROUP(SharedJobIds)
{
    CellWorld world { 3, 8, 1 };
    const Submission first = makeJob("0000000000000001", 2, 500);

    void setup() override
    {
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
        world.run(absl::Seconds(1));
        world.submit(0, first);
        CHECK(world.runUntil([&] { return world.isAccepted(first.id); }, absl::Seconds(3)));
    }
    void teardown() override { STRCMP_EQUAL("", world.report().c_str()); }

    /** The answer to a hand-in to another queue under the first job's id. */
    GatewayReply submitToAnotherQueue(size_t entry)
    {
        Submission other = makeJob(first.id, 5, 500);
        other.payload = "another";
        QueuePolicy policy = world.policy();
        policy.queue = "reports";
        std::optional<GatewayReply> answer;
        world.gateway(entry).submit(
            other, policy, absl::Milliseconds(2800), [&answer](GatewayReply reply) { answer = reply; });
        CHECK(world.runUntil([&] { return answer.has_value(); }, absl::Seconds(3)));
        return *answer;
    }
    /** The answer to a request about the first job's id in another queue. */
    GatewayReply askInAnotherQueue(size_t entry, GatewayVerb verb)
    {
        std::optional<GatewayReply> answer;
        const auto keep = [&answer](GatewayReply reply) { answer = reply; };
        const JobAddress address { first.id, "reports" };
        JobGateway& gateway = world.gateway(entry);
        verb == GatewayVerb::Query ? gateway.query(address, absl::Milliseconds(2800), keep)
                                   : gateway.cancel(address, absl::Milliseconds(2800), keep);
        CHECK(world.runUntil([&] { return answer.has_value(); }, absl::Seconds(3)));
        return *answer;
    }
    void killOwner()
    {
        world.kill(*world.owner());
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
        world.run(absl::Seconds(1));
    }
};

TEST(SharedJobIds, aJobOfAnotherQueueUnderAnIdInUseIsNotTakenForAccepted)
{
    for (size_t entry = 0; entry < world.entryCount(); ++entry)
        CHECK(submitToAnotherQueue(entry).isRefusedFor(RefusalCode::IdInUse));
    CHECK(world.runUntil([&] { return world.ask(0, first.id) == JobPhase::Finished; }, absl::Seconds(5)));
    CHECK(submitToAnotherQueue(0).isRefusedFor(RefusalCode::IdInUse));
    LONGS_EQUAL(2, world.startsOf(first.id));
}

TEST(SharedJobIds, anIdInUseIsRefusedToAnotherQueueByANewOwner)
{
    CHECK(world.runUntil([&] { return world.ask(0, first.id) == JobPhase::Finished; }, absl::Seconds(5)));
    world.run(absl::Seconds(5));
    killOwner();
    CHECK(submitToAnotherQueue(*world.owner()).isRefusedFor(RefusalCode::IdInUse));
    CHECK(world.ask(*world.owner(), first.id) == JobPhase::Finished);
    CHECK(askInAnotherQueue(*world.owner(), GatewayVerb::Query).status == GatewayStatus::Gone);
}

TEST(SharedJobIds, anotherQueueIsNeitherToldOfTheJobNorCancelsIt)
{
    for (size_t entry = 0; entry < world.entryCount(); ++entry) {
        CHECK(askInAnotherQueue(entry, GatewayVerb::Query).status == GatewayStatus::Gone);
        CHECK(askInAnotherQueue(entry, GatewayVerb::Cancel).status == GatewayStatus::Gone);
    }
    CHECK(world.runUntil([&] { return world.ask(0, first.id) == JobPhase::Finished; }, absl::Seconds(5)));
    CHECK(askInAnotherQueue(0, GatewayVerb::Query).status == GatewayStatus::Gone);
}

TEST(SharedJobIds, aRepeatedHandInToTheSameQueueRemainsAccepted)
{
    CHECK(world.runUntil([&] { return world.ask(0, first.id) == JobPhase::Finished; }, absl::Seconds(5)));
    world.submitOnce(1, first);
    world.run(absl::Seconds(5));
    killOwner();
    world.submitOnce(*world.owner(), first);
    world.run(absl::Seconds(1));
    LONGS_EQUAL(3, world.answersTo(first.id).size());
    for (const GatewayStatus status : world.answersTo(first.id))
        CHECK(status == GatewayStatus::Accepted);
    LONGS_EQUAL(2, world.startsOf(first.id));
}

TEST(SharedJobIds, anOwnerOfAFormerBuildIsAskedWithoutTheQueue)
{
    const size_t owner = *world.owner();
    world.setReadsNoQueue(owner);
    const size_t entry = (owner + 1) % world.entryCount();
    CHECK(world.runUntil([&] { return world.ask(entry, first.id) == JobPhase::Finished; }, absl::Seconds(5)));
}
