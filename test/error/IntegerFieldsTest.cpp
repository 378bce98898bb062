/** \file
 * Integers in JSON that their type can't hold. Converted all the same they become the smallest number on one kind of
 * machine and the largest on another, so a worker would seem full to one entry and empty to the next.
 */

#include "BackEnds.h"
#include "Membership.h"
#include "WorkerMessages.h"

#include "CppUTest/TestHarness.h"

#include "absl/strings/str_replace.h"

using namespace cicada;

namespace {

constexpr absl::string_view demand = R"({"cpuMillis":500,"memoryMiB":256,"accelerators":0})";

/** A message in which N stands for the number under test. */
struct Message {
    std::string text;
    bool (*isDecoded)(absl::string_view);
};

bool isVmDecoded(absl::string_view list)
{
    size_t skipped = 0;
    const auto parsed = parseVmList(list, skipped);
    return parsed && parsed.value().size() == 1 && skipped == 0;
}

std::vector<Message> messages()
{
    const std::string run = absl::StrCat(R"({"id":"j/0/1","state":"running","demand":{"cpuMillis":N,"memoryMiB":256,)",
        R"("accelerators":0},"urgency":0,"preemptible":false,"checkpoint":""})");
    const auto view = [](absl::string_view text) { return decodeWorkerView(text).has_value(); };
    const auto sync = [](absl::string_view text) { return decodeWorkerSync(text).has_value(); };
    const auto start = [](absl::string_view text) { return decodeWorkerStart(text).has_value(); };
    const auto stop = [](absl::string_view text) { return decodeWorkerStop(text).has_value(); };
    const auto member = [](absl::string_view text) { return decodeMember(text).has_value(); };
    return {
        { absl::StrCat(R"({"accepted":true,"ticket":"t","runs":[],"usage":{"cpuMillis":1,"memoryMiB":N,)",
              R"("accelerators":0}})"),
            view },
        { absl::StrCat(R"({"accepted":true,"ticket":"t","runs":[)", run, R"(],"usage":)", demand, "}"), view },
        { R"({"epoch":N,"ticket":"t","leaseMs":1,"renew":[],"forget":[]})", sync },
        { R"({"epoch":1,"ticket":"t","leaseMs":N,"renew":[],"forget":[]})", sync },
        { absl::StrCat(R"({"epoch":1,"ticket":"t","leaseMs":N,"id":"j/0/1","demand":)", demand,
              R"(,"urgency":0,"preemptible":false,"command":"c","checkpoint":""})"),
            start },
        { R"({"epoch":N,"id":"j/0/1","checkpoint":false})", stop },
        { R"([{"name":"w","kind":"worker","rack":"r","address":"127.0.0.1:1","cpuMillis":N,"memoryMiB":1}])",
            isVmDecoded },
        { R"([{"name":"e","kind":"executor","service":"s","address":"127.0.0.1:1","slots":N}])", isVmDecoded },
        { absl::StrCat(R"({"name":"m","incarnation":N,"version":1,"state":"live","guardians":[],"lapses":[],)",
              R"("address":"a","region":"r","failureDomain":"f"})"),
            member },
    };
}

} // namespace

TEST_GROUP(IntegerFields) {};

TEST(IntegerFields, anIntegerThatItsTypeCanNotHoldIsAnError)
{
    for (const Message& message : messages()) {
        CHECK_TEXT(message.isDecoded(absl::StrReplaceAll(message.text, { { "N", "7" } })), message.text.c_str());
        for (const char* number : { "1e300", "-1e300", "1e20", "18446744073709551616" }) {
            const std::string text = absl::StrReplaceAll(message.text, { { "N", number } });
            CHECK_TEXT(!message.isDecoded(text), text.c_str());
        }
    }
}
