/** \file
 * What the adapter makes of wrong input: callers' bodies, settings, configurations and values of other writers.
 */

#include "Catalog.h"
#include "JobApi.h"
#include "JsonBody.h"
#include "NodeSettings.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include <random>

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::platform;

namespace {

constexpr const char* goodJob = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900},)"
                                R"({"count":2,"cpu":2000,"memMb":1024,"estimateMs":7000,"after":[0],"gang":true}]})";

constexpr const char* goodSettings = R"({"name":"e1","region":"r","failureDomain":"z","callers":"10.1.0.1:80",)"
                                     R"("readiness":"10.1.0.1:81","peers":"10.1.0.1:82","metrics":"10.1.0.1:83",)"
                                     R"("store":"10.2.0.1:80","processorShare":0.25,"processorSpeed":1,)"
                                     R"("bounds":{"maxLeaseMs":6000,"endedRetentionS":120,)"
                                     R"("plannedStopS":6}})";

std::string with(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(Adapter) {
    void refused(const std::string& body, const char* word) { auto job = readSubmission("0123456789abcdef", body);
CHECK(!job);
CHECK(job.error().kind == ErrorKind::InvalidRequest);
CHECK(!job.error().remedy.empty());
CHECK_TEXT(absl::StrContains(job.error().message, word), job.error().message.c_str());
}
}
;

TEST(Adapter, aJobIsReadWhole)
{
    auto job = readSubmission("0123456789abcdef", goodJob);
    CHECK(job.has_value());
    LONGS_EQUAL(2, job.value().steps.size());
    LONGS_EQUAL(4, job.value().steps[0].taskCount);
    LONGS_EQUAL(500, job.value().steps[0].demand.cpuMillis);
    CHECK(job.value().steps[1].isGang);
    LONGS_EQUAL(0, job.value().steps[1].after[0]);
    CHECK(job.value().steps[0].estimate == absl::Milliseconds(900));
}

TEST(Adapter, unknownFieldsAreBorne)
{
    CHECK(readSubmission("0123456789abcdef", with(goodJob, "\"spec\"", "\"colour\":[1,{}],\"spec\"")).has_value());
}

TEST(Adapter, wrongBodiesAreRefusedWithTheField)
{
    refused("", "JSON");
    refused("{", "JSON");
    refused("[]", "JSON");
    refused("{}", "steps");
    refused(R"({"steps":[]})", "0 steps");
    refused(R"({"steps":{"count":1}})", "steps");
    refused(R"({"steps":[7]})", "Step 0");
    refused(R"({"steps":[{"count":"4"}]})", "count");
    refused(R"({"steps":[{"count":-1}]})", "count");
    refused(R"({"steps":[{"count":0}]})", "0 tasks");
    refused(R"({"steps":[{"count":99999999999}]})", "count");
    refused(R"({"steps":[{"count":1,"cpu":-5}]})", "negative");
    refused(R"({"steps":[{"count":1,"gang":1}]})", "gang");
    refused(R"({"spec":7,"steps":[{"count":1}]})", "spec");
    refused(absl::StrCat(R"({"spec":")", std::string(5000, 'x'), R"(","steps":[{"count":1}]})"), "payload");
}

TEST(Adapter, aNumberBeyondADoubleIsAnErrorAndNeverAnException)
{
    for (const std::string& number : { std::string("1e999"), std::string("-1e999"), std::string(400, '9') }) {
        refused(with(goodJob, "900", number), "JSON");
        refused(with(goodJob, "\"spec\"", absl::StrCat("\"unused\":", number, ",\"spec\"")), "JSON");
        CHECK(!parseNodeSettings(with(goodSettings, "6000", number)).has_value());
        size_t skipped = 0;
        CHECK(!readConfiguration(absl::StrCat(R"({"version":3,"routes":[],"x":)", number, "}"), skipped));
    }
}

TEST(Adapter, anIntegerJustBeyondItsTypeIsNotTakenForAnother)
{
    const Json object = Json::parse(R"({"int64":9223372036854775808,"uint32":4294967296,"real":9223372036854775808.0,
        "negative":-1,"largest":9223372036854775807,"whole":900.0})");
    int64_t signedNumber = 0;
    uint32_t unsignedNumber = 0;
    CHECK(!readField(object, "int64", signedNumber));
    CHECK(!readField(object, "real", signedNumber));
    CHECK(!readField(object, "uint32", unsignedNumber));
    CHECK(!readField(object, "negative", unsignedNumber));
    CHECK(readField(object, "largest", signedNumber));
    CHECK_EQUAL(std::numeric_limits<int64_t>::max(), signedNumber);
    CHECK(readField(object, "whole", unsignedNumber));
    CHECK_EQUAL(900, unsignedNumber);
    refused(R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}]})", "after");
}

TEST(Adapter, textThatIsNotUtf8IsWrittenWithoutAnException)
{
    STRCMP_EQUAL("{\"spec\":\"a\xef\xbf\xbd\"}", bodyText({ { "spec", "a\xff" } }).c_str());
}

TEST(Adapter, stepsWaitForEarlierStepsOnly)
{
    refused(R"({"steps":[{"count":1,"after":[0]}]})", "does not come before");
    refused(R"({"steps":[{"count":1,"after":[1]},{"count":1,"after":[0]}]})", "does not come before");
    refused(R"({"steps":[{"count":1},{"count":1,"after":[-1]}]})", "after");
    refused(R"({"steps":[{"count":1},{"count":1,"after":0}]})", "after");
}

TEST(Adapter, tooManyTasksAreRefused)
{
    refused(R"({"steps":[{"count":10001}]})", "10001 tasks");
    refused(R"({"repeats":9999,"startMs":1,"intervalMs":1,"steps":[{"count":9}]})", "too many tasks");
}

TEST(Adapter, settingsAreChecked)
{
    CHECK(parseNodeSettings(goodSettings).has_value());
    for (const char* field : { "name", "callers", "store", "bounds", "processorShare" })
        CHECK(!parseNodeSettings(with(goodSettings, absl::StrCat("\"", field, "\":"), "\"other\":")).has_value());
    CHECK(!parseNodeSettings(with(goodSettings, "10.2.0.1:80", "10.2.0.1")).has_value());
    CHECK(!parseNodeSettings(with(goodSettings, "10.2.0.1:80", "10.2.0.1:99999")).has_value());
    CHECK(!parseNodeSettings(with(goodSettings, "6000", "\"6000\"")).has_value());
    CHECK(!parseNodeSettings("{").has_value());
    LONGS_EQUAL(3, parseNodeSettings(goodSettings).value().bounds.crashes.maxCrashes);
    const auto withMaxCrashes = [](const char* value) {
        return parseNodeSettings(
            with(goodSettings, "\"plannedStopS\"", absl::StrCat("\"maxCrashes\":", value, ",\"plannedStopS\"")));
    };
    LONGS_EQUAL(2, withMaxCrashes("2").value().bounds.crashes.maxCrashes);
    for (const char* value : { "1", "11", "2.5", "\"2\"" })
        CHECK(!withMaxCrashes(value).has_value());
}

TEST(Adapter, aConfigurationIsTranslated)
{
    size_t skipped = 0;
    const auto read = readConfiguration(R"({"version":7,"routes":[{"name":"q","hostname":"h.example","prefix":"/p/",
        "service":"s","priority":1,"maxAttempts":4,"stretch":2.2,"targetLatencyMs":1200,"timeoutMs":3000,
        "advice":{"decideMs":410.0,"perItemMs":5.9,"validityMs":2500}},{"name":8},"x"]})",
        skipped);
    CHECK(read.has_value());
    LONGS_EQUAL(7, read->version);
    LONGS_EQUAL(1, read->routes.size());
    LONGS_EQUAL(2, skipped);
    const QueuePolicy& policy = read->routes[0].policy;
    STRCMP_EQUAL("q", policy.queue.c_str());
    LONGS_EQUAL(4, policy.maxAttempts);
    CHECK(policy.advice.isNeeded);
    CHECK(policy.advice.perCall == absl::Milliseconds(410));
}

TEST(Adapter, clientAccountsAreTranslated)
{
    size_t skipped = 0;
    const auto read = readConfiguration(R"({"version":7,"routes":[{"name":"q","prefix":"/p/","public":true}],"tenants":[
        {"name":"a","apiKeys":["k1","k2"],"priority":1,"weight":70,"maxCount":{"cpu":3000,"memMb":4000,"gpu":0}},
        {"name":"b","apiKeys":[7,"","k3"]},{"name":"c"},{"apiKeys":[]},9]})",
        skipped);
    CHECK(read.has_value());
    LONGS_EQUAL(3, skipped);
    CHECK(read->routes[0].isPublic);
    LONGS_EQUAL(2, read->accounts.size());
    LONGS_EQUAL(3, read->accountByKey.size());
    const ClientAccount& account = read->accounts[read->accountByKey.at("k2")];
    STRCMP_EQUAL("a", account.name.c_str());
    DOUBLES_EQUAL(70, account.weight, 0);
    LONGS_EQUAL(3000, account.limit.cpuMillis);
    CHECK(account.isLimited());
    CHECK(!read->accounts[read->accountByKey.at("k3")].isLimited());
}

TEST(Adapter, unreadableClientAccountsDoNotOpenTheQueues)
{
    size_t skipped = 0;
    const auto read = readConfiguration(R"({"version":7,"routes":[],"tenants":[{"name":1}]})", skipped);
    CHECK(read->hasAccounts);
    CHECK(read->accounts.empty());
    CHECK(!readConfiguration(R"({"version":7,"routes":[],"tenants":[]})", skipped)->hasAccounts);
}

TEST(Adapter, brokenConfigurationsAreNone)
{
    size_t skipped = 0;
    for (const char* text : { "", "{", "[]", "{}", R"({"version":"7","routes":[]})", R"({"version":0,"routes":[]})",
             R"({"version":3})", R"({"version":3,"routes":{}})" })
        CHECK(!readConfiguration(text, skipped).has_value());
}

TEST(Adapter, arbitraryBytesNeverEndTheProcess)
{
    std::mt19937_64 random(20261204);
    const std::string seeds[] = { goodJob, goodSettings };
    for (int round = 0; round < 4000; ++round) {
        std::string text = seeds[round % 2];
        const size_t changes = 1 + random() % 6;
        for (size_t i = 0; i < changes; ++i) {
            const size_t at = random() % text.size();
            if (random() % 3 == 0)
                text.erase(at, 1 + random() % 5);
            else
                text[at] = static_cast<char>(random() % 256);
            if (text.empty())
                text = "{";
        }
        size_t skipped = 0;
        readSubmission("0123456789abcdef", text).has_value();
        parseNodeSettings(text).has_value();
        readConfiguration(text, skipped).has_value();
    }
}
