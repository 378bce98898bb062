/** \file
 * A change of a profile is accepted only when stored, reaches every entry also through a store outage right after the
 * acceptance, never goes back, and two operators that race see each other's change.
 */

#include "ProfileRegistry.h"
#include "Pack.h"
#include "support/FakeWorld.h"

#include "absl/strings/match.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using Testing::FakeWorld;

namespace {

const char* const waitLong = R"({"maxWaitMs": 9000, "mayRunTwice": false, "whenShort": "wait"})";
const char* const waitShort = R"({"maxWaitMs": 100, "mayRunTwice": true, "whenShort": "shed"})";

/** One entry, as far as profiles go. */
struct RegistryNode {
    RegistryNode(FakeWorld& world, const std::string& name)
        : node(world.addNode(name))
        , watch(node)
        , registry(node, node, watch, node.clock())
    {
        node.onTick([this](Instant now) { registry.tick(now); });
        watch.start();
    }
    Testing::Node& node;
    ConfigWatch watch;
    ProfileRegistry registry;
};

} // namespace

TEST_GROUP(ProfileRegistry)
{
    FakeWorld world { 1 };
    std::vector<std::unique_ptr<RegistryNode>> nodes;

    void setup() override
    {
        std::vector<PeerAddress> peers;
        for (const char* name : { "a", "b", "c" }) {
            nodes.push_back(std::make_unique<RegistryNode>(world, name));
            peers.push_back({ name, "", "r" });
        }
        for (auto& node : nodes)
            node->node.setPeers(peers);
    }

    Result<uint64_t> change(size_t node, ProfileChange change, absl::Duration timeout = absl::Seconds(10))
    {
        Result<uint64_t> result = Error { ErrorKind::Internal, "no answer", "" };
        nodes[node]->registry.change(std::move(change), [&result](Result<uint64_t> r) { result = std::move(r); });
        world.run(timeout);
        return result;
    }
};

TEST(ProfileRegistry, aChangeHoldsEverywhereAlthoughTheStoreGoesDownRightAfterIt)
{
    bool accepted = false;
    nodes[0]->registry.change({ "check", waitLong, std::nullopt, "c1" }, [&](const Result<uint64_t>& result) {
        accepted = result.has_value();
        world.setStoreDown(true);
    });
    world.run(absl::Seconds(2));
    CHECK(accepted);
    for (auto& node : nodes)
        CHECK(node->registry.find("check") != nullptr);
}

TEST(ProfileRegistry, anEntryThatWasCutOffCatchesUpDuringAnOutage)
{
    world.cutBoth("a", "c", true);
    world.cutBoth("b", "c", true);
    nodes[0]->registry.change(
        { "check", waitLong, std::nullopt, "c1" }, [&](const Result<uint64_t>&) { world.setStoreDown(true); });
    world.run(absl::Seconds(2));
    world.cutBoth("b", "c", false);
    world.run(absl::Seconds(2));
    CHECK(nodes[2]->registry.find("check") != nullptr);
}

TEST(ProfileRegistry, aLostReplyIsSettledByReadingBack)
{
    world.setLostReplies(1.0);
    auto result = change(0, { "check", waitLong, std::nullopt, "c1" });
    CHECK(result.has_value());
    LONGS_EQUAL(1, nodes[0]->registry.version());
}

TEST(ProfileRegistry, racingOperatorsSeeBothSides)
{
    CHECK(change(0, { "check", waitLong, 0, "c1" }).has_value());
    auto second = change(1, { "check", waitShort, 0, "c2" });
    CHECK(second.error().kind == ErrorKind::Conflict);
    CHECK(absl::StrContains(second.error().message, "9000"));
    CHECK(absl::StrContains(second.error().message, "100"));
}

TEST(ProfileRegistry, anOutageIsReportedAndNothingIsInForce)
{
    world.setStoreDown(true);
    CHECK(change(0, { "check", waitLong, std::nullopt, "c1" }).error().kind == ErrorKind::StoreUnavailable);
    CHECK(nodes[0]->registry.find("check") == nullptr);
}

TEST(ProfileRegistry, theVersionNeverGoesBack)
{
    CHECK(change(0, { "check", waitLong, std::nullopt, "c1" }).has_value());
    const std::string old = world.stored().begin()->second.value;
    CHECK(change(1, { "check", waitShort, std::nullopt, "c2" }).has_value());
    const std::string frame = Internal::packFields(uint64_t { 1 }, old);
    nodes[1]->node.send("a", "config-profiles", frame);
    world.run(absl::Seconds(1));
    LONGS_EQUAL(2, nodes[0]->registry.version());
}
