/** \file
 * What becomes of the list of executors when another program writes among their entries.
 */

#include "WorkerLink.h"
#include "WorldStore.h"

#include "absl/container/btree_map.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::test;

namespace {

constexpr absl::Duration replyDelay = absl::Milliseconds(4);

/** The world's store behind the interface, without faults. */
class SoundStore final : public TransactionalStore {
public:
    SoundStore(WorldStore& store, TimerQueue& timers)
        : m_store(store)
        , m_timers(timers)
    {
    }
    void transact(Transaction, absl::AnyInvocable<void(TransactionReply)>) override { }
    void listPage(
        const std::string& prefix, const std::string& afterKey, absl::AnyInvocable<void(StorePage)> callback) override
    {
        m_timers.after(replyDelay, [this, prefix, afterKey, callback = std::move(callback)]() mutable {
            callback(m_store.list(prefix, afterKey));
        });
    }
    void awaitChange(const std::string& prefix, uint64_t revision, absl::Duration,
        absl::AnyInvocable<void(WatchReply)> callback) override
    {
        m_timers.after(replyDelay, [this, prefix, revision, callback = std::move(callback)]() mutable {
            callback({ WatchStatus::Ok, *m_store.changesSince(prefix, revision), m_store.revision() });
        });
    }
    void grantLease(absl::Duration, absl::AnyInvocable<void(LeaseReply)>) override { }
    void keepLease(uint64_t, absl::AnyInvocable<void(LeaseStatus)>) override { }
    void endLease(uint64_t) override { }

private:
    WorldStore& m_store;
    TimerQueue& m_timers;
};

const std::string goodEntry
    = R"({"service":"service-a","address":"127.0.0.1:9","zone":"zone-a","state":"ready","coldRemainingMs":0,)"
      R"("sequence":4,"capacity":{"cpu":64000,"memMb":262144,"gpu":0},"labels":["a","rack-0"],"born":1700000000000})";

std::string with(const std::string& from, const std::string& to)
{
    return absl::StrReplaceAll(goodEntry, { { from, to } });
}

/** Entries that name no executor, by what is wrong with them. */
absl::btree_map<std::string, std::string> oddEntries()
{
    const std::string digits(400, '9');
    const std::string nested = std::string(100000, '[') + std::string(100000, ']');
    absl::btree_map<std::string, std::string> odd = { { "no bytes", "" }, { "cut short", goodEntry.substr(0, 60) },
        { "not an object", "[1]" }, { "not UTF-8", with("service-a", "\xff\xfe") },
        { "a NUL byte", std::string("{\0}", 3) },
        { "an unused number beyond a double", with("\":0,\"s", "\":1e999,\"s") },
        { "a number below a double", with("\":0,\"s", "\":-1e999,\"s") }, { "400 digits", with("64000", digits) },
        { "a start of 400 digits", with("1700000000000", digits) },
        { "a start of 2^63", with("1700000000000", "9223372036854775808") },
        { "a capacity of 2^64", with("64000", "18446744073709551616") },
        { "a negative capacity", with("262144", "-9223372036854775808") },
        { "an unused field nested deeply", with("\"sequence\":4", absl::StrCat("\"sequence\":", nested)) },
        { "nested deeply", nested }, { "deep and never closed", std::string(100000, '{') },
        { "a port of 0", with("127.0.0.1:9", "127.0.0.1:0") }, { "port 65536", with("127.0.0.1:9", "127.0.0.1:65536") },
        { "a negative port", with("127.0.0.1:9", "127.0.0.1:-1") },
        { "a port of 400 digits", with("127.0.0.1:9", absl::StrCat("127.0.0.1:", digits)) },
        { "no port", with("127.0.0.1:9", "127.0.0.1") }, { "a host name", with("127.0.0.1:9", "example.org:80") },
        { "a state that does not exist", with("\"ready\"", "\"asleep\"") },
        { "labels of another type", with("[\"a\",\"rack-0\"]", "[1,{}]") } };
    for (const char* field : { "service", "address", "state", "capacity", "labels" })
        odd[absl::StrCat("without ", field)] = with(absl::StrCat("\"", field, "\":"), "\"other\":");
    for (const char* field : { "service", "address", "zone", "state", "capacity", "labels", "born" })
        odd[absl::StrCat(field, " of another type")]
            = with(absl::StrCat("\"", field, "\":"), absl::StrCat("\"", field, "\":true,\"other\":"));
    return odd;
}

} // namespace

TEST_GROUP(WorkerEntries)
{
    ManualClock clock;
    TimerQueue timers { clock };
    EventLog log { "test", -1 };
    WorldStore world { timers };
    SoundStore store { world, timers };
    platform::StoreRoster roster { store, timers, log };
    absl::btree_map<std::string, ListedWorker> workers;

    void watch()
    {
        roster.watch(
            [this](const std::string& id, const ListedWorker* worker) {
                if (worker)
                    workers[id] = *worker;
                else
                    workers.erase(id);
            },
            [] {});
        pass(absl::Milliseconds(50));
    }
    void pass(absl::Duration duration)
    {
        for (const Instant until = clock.now() + duration; clock.now() < until;) {
            clock.advance(absl::Milliseconds(1));
            timers.runDue();
        }
    }
    void putOddEntries()
    {
        for (const auto& [what, bytes] : oddEntries())
            world.put(absl::StrCat("servers/odd-", what.size(), absl::StrReplaceAll(what, { { " ", "-" } })), bytes);
    }
    void expectOnly(std::vector<std::string> ids)
    {
        for (const auto& [id, worker] : workers)
            CHECK_TEXT(std::find(ids.begin(), ids.end(), id) != ids.end(), id.c_str());
        LONGS_EQUAL(ids.size(), workers.size());
    }
};

TEST(WorkerEntries, anEntryIsReadWhole)
{
    world.put("servers/i-1", goodEntry);
    watch();
    expectOnly({ "i-1" });
    STRCMP_EQUAL("rack-0", workers["i-1"].rack.c_str());
    CHECK_EQUAL(1700000000000, workers["i-1"].startedUnixMillis);
}

TEST(WorkerEntries, oddEntriesInTheListNameNoWorkerAndTheOthersHold)
{
    world.put("servers/i-1", goodEntry);
    putOddEntries();
    world.put("servers/z-2", goodEntry);
    watch();
    expectOnly({ "i-1", "z-2" });
}

TEST(WorkerEntries, oddEntriesInTheWatchNameNoWorkerAndChangesAreFollowed)
{
    world.put("servers/i-1", goodEntry);
    watch();
    putOddEntries();
    world.put("servers/z-2", goodEntry);
    world.remove("servers/i-1");
    pass(absl::Milliseconds(50));
    expectOnly({ "z-2" });
}

TEST(WorkerEntries, aWorkerWhoseEntryIsOverwrittenIsNotListedUntilItIsReadableAgain)
{
    world.put("servers/i-1", goodEntry);
    watch();
    for (const auto& [what, bytes] : oddEntries()) {
        world.put("servers/i-1", bytes);
        pass(absl::Milliseconds(10));
        CHECK_TEXT(workers.empty(), what.c_str());
        world.put("servers/i-1", goodEntry);
        pass(absl::Milliseconds(10));
        CHECK_TEXT(workers.size() == 1, what.c_str());
    }
}

TEST(WorkerEntries, aKeyThatIsNoIdNamesNoWorker)
{
    for (const char* id : { "", "a b", "a\r\nX: y", "\xc3\xa9" })
        world.put(absl::StrCat("servers/", id), goodEntry);
    world.put("servers/i-1", goodEntry);
    watch();
    expectOnly({ "i-1" });
}
