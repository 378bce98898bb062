/** \file
 * Wrong settings are refused with a message that names the field.
 */

#include "Settings.h"

#include "absl/strings/match.h"
#include "absl/strings/str_replace.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

const std::string good = R"({"name": "entry-1", "region": "khulna-a", "failureDomain": "khulna-a-1",
    "callers": "127.0.0.1:7100", "peers": "127.0.0.1:7200", "store": "127.0.0.1:7000", "vmList": "127.0.0.1:7000"})";

void checkRefused(const std::string& json, const std::string& field)
{
    auto settings = parseSettings(json);
    CHECK_FALSE(settings.has_value());
    CHECK(settings.error().kind == ErrorKind::InvalidSettings);
    CHECK_FALSE(settings.error().remedy.empty());
    CHECK_TEXT(absl::StrContains(settings.error().message, field), settings.error().message.c_str());
}

} // namespace

TEST_GROUP(Settings) {};

TEST(Settings, goodSettingsAreTaken)
{
    auto settings = parseSettings(good);
    CHECK(settings.has_value());
    LONGS_EQUAL(7100, settings.value().callers.port);
}

TEST(Settings, aWrongTypeNamesItsField) { checkRefused(absl::StrReplaceAll(good, { { "\"entry-1\"", "7" } }), "name"); }

TEST(Settings, anUnknownKeyIsNamed)
{
    checkRefused(absl::StrReplaceAll(good, { { "\"region\"", "\"colour\": 1, \"region\"" } }), "colour");
}

TEST(Settings, aMissingFieldIsNamed)
{
    checkRefused(absl::StrReplaceAll(good, { { "\"region\": \"khulna-a\",", "" } }), "region");
}

TEST(Settings, aHostNameInPlaceOfAnIpNumberIsRefused)
{
    checkRefused(absl::StrReplaceAll(good, { { "127.0.0.1:7100", "localhost:7100" } }), "callers");
}

TEST(Settings, aPortOutOfRangeIsRefused)
{
    checkRefused(absl::StrReplaceAll(good, { { "127.0.0.1:7200", "127.0.0.1:72000" } }), "peers");
}

TEST(Settings, brokenJsonIsRefused) { checkRefused("{", "JSON"); }
