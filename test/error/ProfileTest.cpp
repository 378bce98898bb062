/** \file
 * Wrong and contradictory profiles are refused with a message that names the field and a remedy; a good one can be
 * written, read back and explained.
 */

#include "ProfileExplain.h"
#include "Settings.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

std::string with(const std::string& fields)
{
    return absl::StrCat(R"({"maxWaitMs": 800, "mayRunTwice": true, "whenShort": "shed")", fields, "}");
}

void checkRefused(const std::string& json, const std::string& named)
{
    auto profile = parseProfile("check", json);
    CHECK_FALSE(profile.has_value());
    CHECK(profile.error().kind == ErrorKind::InvalidProfile);
    CHECK_FALSE(profile.error().remedy.empty());
    CHECK_TEXT(absl::StrContains(profile.error().message, named), profile.error().message.c_str());
}

} // namespace

TEST_GROUP(Profile) {};

TEST(Profile, aGoodProfileIsTheSameAfterWritingAndReading)
{
    const std::string json = with(R"(, "urgency": 8, "share": 3, "expectedRunMs": 20, "maxRunMs": 5000)");
    const Profile profile = parseProfile("check", json).value();
    LONGS_EQUAL(8, profile.urgency);
    LONGS_EQUAL(3, profile.share);
    CHECK(profile.maxWait == absl::Milliseconds(800));
    CHECK(profile.expectedRun == absl::Milliseconds(20));
    CHECK(profile.maxRun == absl::Seconds(5));
    CHECK(profile.whenShort == ShortageAction::Shed);
    STRCMP_EQUAL(
        profileToJson(profile).c_str(), profileToJson(parseProfile("check", profileToJson(profile)).value()).c_str());
}

TEST(Profile, wrongFieldsAreNamed)
{
    checkRefused(with(R"(, "colour": 1)"), "colour");
    checkRefused(with(R"(, "urgency": 10)"), "urgency");
    checkRefused(with(R"(, "share": 0)"), "share");
    checkRefused(with(R"(, "expectedRunMs": "long")"), "expectedRunMs");
    checkRefused(R"({"maxWaitMs": 800, "mayRunTwice": true})", "whenShort");
    checkRefused("{", "JSON");
}

TEST(Profile, contradictionsAreRefusedWithTheirRemedy)
{
    checkRefused(with(R"(, "expectedRunMs": 100, "maxRunMs": 50)"), "maxRunMs");
    checkRefused(R"({"maxWaitMs": 800, "mayRunTwice": true, "whenShort": "preempt", "urgency": 9})", "urgent");
}

TEST(Profile, theExplanationTellsTheCasesApart)
{
    Profile profile = parseProfile("check", with(R"(, "urgency": 8, "share": 3)")).value();
    const std::string shed = explainProfile(profile, {});
    CHECK(absl::StrContains(shed, "800ms"));
    CHECK(absl::StrContains(shed, "refused at once"));
    CHECK(absl::StrContains(shed, "560ms"));
    CHECK(absl::StrContains(shed, "urgency 8"));
    profile.whenShort = ShortageAction::Wait;
    profile.mayRunTwice = false;
    const std::string wait = explainProfile(profile,
        { ObservedRuns { "desk", { absl::Milliseconds(21), absl::Milliseconds(29), absl::Milliseconds(58), 9 } } });
    CHECK_FALSE(absl::StrContains(wait, "refused at once"));
    CHECK(absl::StrContains(wait, "Idempotency-Key"));
    CHECK(absl::StrContains(wait, "about 21ms"));
}

TEST(Profile, anUnknownPolicyInTheSettingsIsNamed)
{
    auto settings = parseSettings(R"({"name": "entry-1", "region": "khulna-a", "failureDomain": "khulna-a-1",
        "callers": "127.0.0.1:7100", "peers": "127.0.0.1:7200", "store": "127.0.0.1:7000",
        "vmList": "127.0.0.1:7000", "policy": "guess"})");
    CHECK_FALSE(settings.has_value());
    CHECK_TEXT(absl::StrContains(settings.error().message, "policy"), settings.error().message.c_str());
}
