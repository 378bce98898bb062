/** \file
 * What an entry writes is read by entries on other kinds of machine: the bytes of records and messages, and the hashes
 * that all entries must compute alike, are the same everywhere.
 */

#include "AccountLimitMessages.h"
#include "CellDirectory.h"
#include "CellJob.h"
#include "EntryRecord.h"
#include "JobAdmission.h"
#include "Wire.h"

#include "CppUTest/TestHarness.h"

#include "absl/strings/escaping.h"

#include <limits>

using namespace cicada;

namespace {

/** All byte values from 0 to 255. As characters, the upper half is negative on some machines. */
std::string allBytes()
{
    std::string bytes;
    for (int value = 0; value < 256; ++value)
        bytes.push_back(static_cast<char>(value));
    return bytes;
}

void checkBytes(const std::string& expectedHex, const std::string& bytes)
{
    STRCMP_EQUAL(expectedHex.c_str(), absl::BytesToHexString(bytes).c_str());
}

/** A job with fractions, negative numbers and the largest ones. */
std::unique_ptr<CellJob> sampleJob()
{
    Submission spec;
    spec.id = "0123456789abcdef";
    spec.account = "\xc3\xa9t\xc3\xa9";
    spec.payload = "\x7f\x80\xff";
    StepSpec step;
    step.taskCount = 2;
    step.demand = { 500, std::numeric_limits<int64_t>::max(), 0 };
    step.estimate = absl::Milliseconds(-1);
    spec.steps = { step };
    QueuePolicy policy;
    policy.queue = "q";
    policy.stretch = 0.1;
    policy.advice.perCall = absl::Microseconds(-1500);
    return makeCellJob(std::move(spec), std::move(policy), std::numeric_limits<int64_t>::min());
}

} // namespace

TEST_GROUP(PortableFormats) {};

TEST(PortableFormats, aFrameHasTheSameBytes)
{
    checkBytes("0000000a"
               "93a1ffa173a47f808101",
        encodeFrame({ "\xff", "s", "\x7f\x80\x81\x01" }));
    FrameDecoder decoder;
    decoder.append(encodeFrame({ "a", "s", allBytes() }));
    CHECK(decoder.next().value()->payload == allBytes());
}

TEST(PortableFormats, theRecordOfAnEntryHasTheSameBytes)
{
    EntryRecord entry { "e", "i", "a", "r", 0.1, true };
    checkBytes("96a165a169a161a172cb3fb999999999999ac3", encodeEntry(entry));
    entry.processors = -2;
    checkBytes("96a165a169a161a172fec3", encodeEntry(entry));
    DOUBLES_EQUAL(-2, decodeEntry(encodeEntry(entry))->processors, 0);
}

TEST(PortableFormats, theRecordOfAJobHasTheSameBytes)
{
    const auto job = sampleJob();
    const std::string bytes = encodeJobRecord(*job);
    checkBytes(
        "93d38000000000000000d95598b030313233343536373839616263646566a37f80ff919d02cd01f4cf7fffffffffffffff00ff9000a0"
        "a000a000000000009ba171a00001cb3fb999999999999a0000c2cbbff80000000000000000a5c3a974c3a9c2",
        bytes);
    const auto decoded = std::move(decodeJobRecord(job->spec.id, bytes).value());
    LONGS_EQUAL(std::numeric_limits<int64_t>::min(), decoded->acceptedUnixMillis);
    STRCMP_EQUAL("\x7f\x80\xff", decoded->spec.payload.c_str());
    CHECK(decoded->spec.steps[0].estimate == absl::Milliseconds(-1));
    DOUBLES_EQUAL(0.1, decoded->policy.stretch, 0);
}

TEST(PortableFormats, theReportOnAnAccountHasTheSameBytes)
{
    AccountReport report { 1, std::numeric_limits<uint64_t>::max(), 2, 3, 4, true, {} };
    report.accounts.push_back({ "a", 0xfedcba98, { 1, 0, 0 }, { 0, 1LL << 32, 0 }, { 0, 0, 1LL << 50 }, false });
    checkBytes(
        "9701cfffffffffffffffff020304c39196a161cefedcba98930100009300cf000000010000000000930000cf0004000000000000c2",
        encode(report));
}

TEST(PortableFormats, allEntriesAssignKeysAlike)
{
    LONGS_EQUAL(3441, cellOfKey(allBytes(), 4096));
    LONGS_EQUAL(301, cellOfKey("0123456789abcdef", 4096));
    LONGS_EQUAL(1218, cellOfKey("", 4096));
}

TEST(PortableFormats, allEntriesSendTheSameRetryAfter)
{
    LONGS_EQUAL(4, retryAfterSeconds(absl::Milliseconds(2500), 1));
    LONGS_EQUAL(5, retryAfterSeconds(absl::InfiniteDuration(), 0));
    LONGS_EQUAL(1, retryAfterSeconds(-absl::InfiniteDuration(), 0));
}
