/** \file
 * Whatever bytes arrive, each reader gives a value or a typed error, and keeps its invariants. The inputs are arbitrary
 * bytes and mutations of valid messages, from fixed seeds.
 */

#include "AuthorityMessages.h"
#include "BackEnds.h"
#include "Pack.h"
#include "PlacementMessages.h"
#include "PlannedStopRegistry.h"
#include "Profile.h"
#include "ProfileRegistry.h"
#include "Settings.h"
#include "Trace.h"
#include "Wire.h"
#include "support/FakeWorld.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace cicada;
using Testing::FakeWorld;

namespace {

constexpr uint64_t seed = 20261204;
constexpr int inputsPerReader = 4000;
constexpr size_t maxRandomBytes = 200;
/** Deep enough to exhaust a thread's stack where each level takes a call. */
constexpr size_t deepNesting = 200000;
/** Numbers that no type holds. */
const std::vector<std::string> hugeNumbers = { "1e999", "-1e999", std::string(400, '9'), "9223372036854775808",
    "-9223372036854775809", "18446744073709551616" };

/** Makes inputs out of valid ones. */
class Mutator {
public:
    explicit Mutator(uint64_t seed)
        : m_random(seed)
    {
    }

    std::string arbitrary()
    {
        std::string bytes(below(maxRandomBytes), '\0');
        for (char& byte : bytes)
            byte = static_cast<char>(m_random());
        return bytes;
    }

    /** One of `valid` with a few bytes changed, cut, repeated or put in; or arbitrary bytes. */
    std::string mutate(const std::vector<std::string>& valid)
    {
        if (below(8) == 0)
            return arbitrary();
        std::string bytes = valid[below(valid.size())];
        const size_t changes = below(4);
        for (size_t i = 0; i <= changes && !bytes.empty(); ++i)
            change(bytes);
        return bytes;
    }

    size_t below(size_t limit) { return m_random() % limit; }

private:
    void change(std::string& bytes)
    {
        const size_t at = below(bytes.size());
        switch (below(6)) {
        case 0:
            bytes.resize(at);
            return;
        case 1:
            bytes[at] = static_cast<char>(m_random());
            return;
        case 2:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(8)));
            return;
        case 3:
            bytes.insert(at, arbitrary().substr(0, 4));
            return;
        case 4:
            replaceNumber(bytes);
            return;
        default:
            bytes.insert(at, bytes.substr(at, below(40)));
            return;
        }
    }

    /** Puts a huge number in the place of one of the numbers. */
    void replaceNumber(std::string& bytes)
    {
        const size_t at = bytes.find_first_of("0123456789", below(bytes.size()));
        if (at == std::string::npos)
            return;
        const size_t end = std::min(bytes.size(), bytes.find_first_not_of("0123456789", at));
        bytes.replace(at, end - at, hugeNumbers[below(hugeNumbers.size())]);
    }

    std::mt19937_64 m_random;
};

void checkError(const Error& error, ErrorKind kind)
{
    CHECK(error.kind == kind);
    CHECK_FALSE(error.message.empty());
    CHECK_FALSE(error.remedy.empty());
}

/** Reads many mutations of `valid`; `read` returns a Result. Both ends must have been seen. */
template <typename Read> void fuzz(const std::vector<std::string>& valid, ErrorKind kind, Read read)
{
    Mutator mutator(seed);
    size_t errors = 0;
    for (const std::string& bytes : valid)
        CHECK(read(bytes).has_value());
    for (int i = 0; i < inputsPerReader; ++i) {
        const auto result = read(mutator.mutate(valid));
        if (result)
            continue;
        ++errors;
        checkError(result.error(), kind);
    }
    CHECK(errors > 0);
}

std::string nested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

const std::string goodSettings = R"({"name": "entry-1", "region": "khulna-a", "failureDomain": "khulna-a-1",
    "callers": "127.0.0.1:7100", "peers": "127.0.0.1:7200", "store": "127.0.0.1:7000", "vmList": "127.0.0.1:7000"})";
const std::string goodProfile = R"({"maxWaitMs": 9000, "mayRunTwice": false, "whenShort": "wait", "urgency": 3})";
const std::string goodVmList = R"({"vms": [{"name": "x1", "kind": "executor", "service": "order-desk",
    "address": "127.0.0.1:7301", "region": "khulna-a", "failureDomain": "khulna-a", "rack": "r1", "slots": 8,
    "state": "live"}]})";

} // namespace

TEST_GROUP(Fuzz) {};

TEST(Fuzz, frames)
{
    const std::vector<std::string> valid
        = { encodeFrame({ "a", "load", "payload" }), encodeFrame({ "b", "place-ask", "" }) };
    Mutator mutator(seed);
    size_t errors = 0;
    size_t frames = 0;
    for (int i = 0; i < inputsPerReader; ++i) {
        const std::string stream = valid[0] + mutator.mutate(valid) + valid[1];
        FrameDecoder decoder;
        size_t taken = 0;
        for (size_t at = 0; at < stream.size();) {
            const size_t part = 1 + mutator.below(stream.size() - at);
            decoder.append(absl::string_view(stream).substr(at, part));
            at += part;
            auto frame = decoder.next();
            while (frame && frame.value()) {
                ++taken;
                frame = decoder.next();
            }
            if (frame)
                continue;
            ++errors;
            checkError(frame.error(), ErrorKind::MalformedMessage);
            break;
        }
        CHECK(taken >= 1);
        frames += taken;
    }
    CHECK(errors > 0);
    CHECK(frames > inputsPerReader);
}

TEST(Fuzz, placementMessages)
{
    fuzz({ encode(PlaceRequest { 7, "id", "order-desk", "stock-check", true, 20000 }) }, ErrorKind::MalformedMessage,
        decodePlaceRequest);
    fuzz({ encode(PlaceReply { 7, true, 9, "x1", "127.0.0.1:7301", 3, 250000, 4, 2 }) }, ErrorKind::MalformedMessage,
        decodePlaceReply);
    fuzz({ encode(PlaceDone { 9, { RunVerdict::Failed, absl::Milliseconds(3) } }) }, ErrorKind::MalformedMessage,
        decodePlaceDone);
    fuzz({ encode(LoadDigest { "khulna-a", false, { { "order-desk", 8, 4, 2 }, { "design", 0, 0, 90 } } }),
             encode(LoadDigest {}) },
        ErrorKind::MalformedMessage, decodeLoadDigest);
}

TEST(Fuzz, authorityMessages)
{
    fuzz({ encode(Renewal { 1, 2, 3, 4 }) }, ErrorKind::MalformedMessage, decodeRenewal);
    fuzz({ encode(Promise { 1, 2, true, 4, 3 }) }, ErrorKind::MalformedMessage, decodePromise);
}

TEST(Fuzz, settings) { fuzz({ goodSettings }, ErrorKind::InvalidSettings, parseSettings); }

TEST(Fuzz, profiles)
{
    fuzz({ goodProfile }, ErrorKind::InvalidProfile, [](absl::string_view json) {
        auto profile = parseProfile("stock-check", json);
        // What was accepted is accepted again as it is written.
        if (profile)
            CHECK(parseProfile("stock-check", profileToJson(profile.value())).has_value());
        return profile;
    });
}

TEST(Fuzz, vmLists)
{
    Mutator mutator(seed);
    size_t refused = 0;
    for (int i = 0; i < inputsPerReader; ++i) {
        size_t skipped = 0;
        const auto list = parseVmList(mutator.mutate({ goodVmList }), skipped);
        if (list)
            continue;
        ++refused;
        CHECK_FALSE(list.error().message.empty());
        CHECK_FALSE(list.error().remedy.empty());
    }
    CHECK(refused > 0);
}

TEST(Fuzz, traceparents)
{
    const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    Mutator mutator(seed);
    for (int i = 0; i < inputsPerReader; ++i) {
        const TraceContext context = parseTraceparent(mutator.mutate({ valid }));
        LONGS_EQUAL(32, context.traceId.size());
        // A fresh trace has no parent span.
        CHECK(context.spanId.empty() || context.spanId.size() == 16);
        for (const char c : absl::StrCat(context.traceId, context.spanId))
            CHECK(absl::ascii_isdigit(c) || (c >= 'a' && c <= 'f'));
    }
}

TEST(Fuzz, deepNestingIsRefused)
{
    const std::string deep = nested(deepNesting);
    CHECK_FALSE(parseSettings(deep).has_value());
    CHECK_FALSE(parseProfile("p", deep).has_value());
    CHECK_FALSE(parseProfile("p", absl::StrCat(R"({"maxWaitMs": )", deep, "}")).has_value());
    size_t skipped = 0;
    CHECK_FALSE(parseVmList(deep, skipped).has_value());
    CHECK_FALSE(decodeLoadDigest(std::string(deepNesting, '\x91')).has_value());
}

/** A profile registry with one profile, and a peer that may send it anything. */
TEST_GROUP(FuzzedProfileRegistry)
{
    FakeWorld world { seed };
    Testing::Node& node = world.addNode("a");
    Testing::Node& peer = world.addNode("b");
    ConfigWatch watch { node };
    ProfileRegistry registry { node, node, watch, node.clock() };

    void setup() override
    {
        node.onTick([this](Instant now) { registry.tick(now); });
        node.setPeers({ { "b", "", "r" } });
        peer.setPeers({ { "a", "", "r" } });
        watch.start();
        registry.change({ "check", goodProfile, std::nullopt, "c1" }, [](const Result<uint64_t>&) {});
        world.run(absl::Seconds(2));
        LONGS_EQUAL(1, registry.version());
    }

    void sendText(uint64_t version, const std::string& body)
    {
        peer.send("a", "config-profiles",
            Internal::packFields(
                version, absl::StrCat(R"({"version": )", version, R"(, "recentChanges": [], "body": )", body, "}")));
        world.run(absl::Seconds(1));
    }
};

TEST(FuzzedProfileRegistry, mutatedMessagesNeverTakeTheVersionBack)
{
    const std::string stored = world.stored().begin()->second.value;
    const std::vector<std::string> valid
        = { Internal::packFields(uint64_t { 1 }, stored), Internal::packFields(uint64_t { 9 }, std::string()) };
    Mutator mutator(seed);
    uint64_t version = registry.version();
    for (int i = 0; i < inputsPerReader; ++i) {
        peer.send("a", "config-profiles", mutator.mutate(valid));
        if (i % 100 == 0)
            world.run(absl::Milliseconds(10));
        CHECK(registry.version() >= version);
        version = registry.version();
    }
}

TEST(FuzzedProfileRegistry, aBodyOfAnotherShapeIsNotTaken)
{
    uint64_t version = 100;
    for (const char* body : { "7", "null", "[]", "[1]", "\"x\"", R"({"p": 7})", R"({"p": null})", R"({"p": {}})",
             R"({"p": {"profile": 7}})", R"({"p": {"profile": {}, "version": "x"}})" })
        sendText(++version, body);
    CHECK(registry.find("p") == nullptr);
}

TEST(FuzzedProfileRegistry, aDeeplyNestedBodyIsNotTaken)
{
    sendText(1000, nested(deepNesting));
    CHECK(registry.find("check") != nullptr);
}

TEST(Fuzz, plannedStopsOfAnotherShapeAreNotTaken)
{
    FakeWorld world(seed);
    Testing::Node& node = world.addNode("a");
    Testing::Node& peer = world.addNode("b");
    peer.setPeers({ { "a", "", "r" } });
    ConfigWatch watch(node);
    const Settings settings = parseSettings(goodSettings).value();
    const BackEnds backEnds;
    PlannedStopRegistry stops({ settings, node, node, watch, backEnds, node.clock(),
        [](const PlannedStop&) { return std::optional<uint64_t>(); }, [] {} });
    peer.send("a", "config-stops",
        Internal::packFields(uint64_t { 5 }, std::string(R"({"version": 5, "recentChanges": [], "body":
            {"s": {"kind": 7, "target": "x"}, "t": {"kind": "rack"}, "u": {"kind": "rack", "target": "r1"}}})")));
    world.run(absl::Seconds(1));
    LONGS_EQUAL(1, stops.all().size());
    CHECK(stops.all().contains("u"));
}
