/** \file
 * Group writes whose replies are lost, late or refused.
 */

#include "DurableWriter.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

/** Keeps the transactions until the test answers them. */
class HeldStore final : public TransactionalStore {
public:
    void transact(Transaction transaction, absl::AnyInvocable<void(TransactionReply)> callback) override
    {
        sent.push_back(std::move(transaction));
        callbacks.push_back(std::move(callback));
    }
    void listPage(const std::string&, const std::string&, absl::AnyInvocable<void(StorePage)>) override { }
    void awaitChange(const std::string&, uint64_t, absl::Duration, absl::AnyInvocable<void(WatchReply)>) override { }
    void grantLease(absl::Duration, absl::AnyInvocable<void(LeaseReply)>) override { }
    void keepLease(uint64_t, absl::AnyInvocable<void(LeaseStatus)>) override { }
    void endLease(uint64_t) override { }

    std::vector<Transaction> sent;
    std::vector<absl::AnyInvocable<void(TransactionReply)>> callbacks;
};

} // namespace

TEST_GROUP(DurableWriting)
{
    ManualClock clock;
    TimerQueue timers { clock };
    EventLog log { "test", -1 };
    Metrics metrics;
    HeldStore store;
    std::string value = "v1";
    /** Values of single keys, instead of `value`. */
    absl::btree_map<std::string, std::string> values {};
    int done = 0;
    bool isLost = false;
    DurableWriter writer { { store, timers, log, metrics,
                               [this](const std::string& key) { return std::optional<std::string>(valueOf(key)); },
                               [this] { isLost = true; } },
        { "row", 5 } };

    std::string valueOf(const std::string& key) { return values.contains(key) ? values[key] : value; }
    void pass(absl::Duration duration)
    {
        const Instant until = clock.now() + duration;
        while (timers.nextDue() && *timers.nextDue() <= until) {
            if (*timers.nextDue() > clock.now())
                clock.advance(*timers.nextDue() - clock.now());
            timers.runDue();
        }
        clock.advance(until - clock.now());
    }
    void write(const std::string& key)
    {
        writer.write(key, [this] { ++done; });
        pass(absl::Milliseconds(30));
    }
    void answer(TransactionStatus status, uint64_t revision = 0, std::vector<StoreEntry> current = {})
    {
        TransactionReply reply;
        reply.status = status;
        reply.revision = revision;
        reply.current = std::move(current);
        auto callback = std::move(store.callbacks.back());
        store.callbacks.pop_back();
        callback(std::move(reply));
        pass(absl::Milliseconds(600));
    }
};

TEST(DurableWriting, eachWriteNamesTheRowAndTheRevisionThatItReplaces)
{
    write("a");
    LONGS_EQUAL(1, store.sent.size());
    LONGS_EQUAL(2, store.sent[0].conditions.size());
    STRCMP_EQUAL("row", store.sent[0].conditions[0].key.c_str());
    LONGS_EQUAL(5, store.sent[0].conditions[0].revision);
    LONGS_EQUAL(0, store.sent[0].conditions[1].revision);
    LONGS_EQUAL(0, done);
    answer(TransactionStatus::Applied, 9);
    LONGS_EQUAL(1, done);
    write("a");
    LONGS_EQUAL(9, store.sent[1].conditions[1].revision);
}

TEST(DurableWriting, aLostReplyIsSettledByTheRevision)
{
    write("a");
    value = "v2";
    answer(TransactionStatus::Unknown);
    LONGS_EQUAL(0, done);
    LONGS_EQUAL(2, store.sent.size());
    // The first attempt took effect after all, with the older value.
    answer(TransactionStatus::ConditionFailed, 0, { { "row", "", 5 }, { "a", "v1", 8 } });
    LONGS_EQUAL(0, done);
    LONGS_EQUAL(3, store.sent.size());
    LONGS_EQUAL(8, store.sent[2].conditions[1].revision);
    answer(TransactionStatus::Applied, 11);
    LONGS_EQUAL(1, done);
}

TEST(DurableWriting, theNewestValueIsWrittenAgain)
{
    write("a");
    value = "v2";
    answer(TransactionStatus::NotApplied);
    STRCMP_EQUAL("v2", store.sent[1].writes[0].value.c_str());
}

TEST(DurableWriting, aChangedRowEndsTheWriting)
{
    write("a");
    answer(TransactionStatus::ConditionFailed, 0, { { "row", "", 6 } });
    CHECK(isLost);
    LONGS_EQUAL(0, done);
    write("b");
    LONGS_EQUAL(1, store.sent.size());
}

TEST(DurableWriting, manyKeysGoInGroupsThatTheStoreTakes)
{
    for (int i = 0; i < 40; ++i)
        writer.write(absl::StrCat("k", i), [this] { ++done; });
    pass(absl::Milliseconds(30));
    CHECK(store.sent.size() >= 3);
    for (const Transaction& transaction : store.sent)
        CHECK(transaction.conditions.size() + transaction.writes.size() <= maxTransactionEntries);
}

TEST(DurableWriting, whatWaitsForAFailedGroupWaitsForAllOfIt)
{
    writer.write("a", [this] { ++done; });
    writer.write("b", [this] { ++done; });
    pass(absl::Milliseconds(30));
    LONGS_EQUAL(1, store.sent.size());
    answer(TransactionStatus::Unknown);
    LONGS_EQUAL(0, done);
    answer(TransactionStatus::Applied, 20);
    LONGS_EQUAL(2, done);
}

namespace {

/** Applies every transaction, and answers some time later. */
class SlowStore final : public TransactionalStore {
public:
    SlowStore(TimerQueue& timers, absl::Duration delay)
        : m_timers(timers)
        , m_delay(delay)
    {
    }
    void transact(Transaction, absl::AnyInvocable<void(TransactionReply)> callback) override
    {
        m_timers.after(m_delay, [this, callback = std::move(callback)]() mutable {
            TransactionReply reply;
            reply.status = TransactionStatus::Applied;
            reply.revision = ++m_revision;
            callback(std::move(reply));
        });
    }
    void listPage(const std::string&, const std::string&, absl::AnyInvocable<void(StorePage)>) override { }
    void awaitChange(const std::string&, uint64_t, absl::Duration, absl::AnyInvocable<void(WatchReply)>) override { }
    void grantLease(absl::Duration, absl::AnyInvocable<void(LeaseReply)>) override { }
    void keepLease(uint64_t, absl::AnyInvocable<void(LeaseStatus)>) override { }
    void endLease(uint64_t) override { }

private:
    TimerQueue& m_timers;
    const absl::Duration m_delay;
    uint64_t m_revision = 0;
};

} // namespace

TEST(DurableWriting, aSlowStoreDelaysWritesAndDoesNotPileThemUp)
{
    // Answers take 60 times as long as usual, and 250 jobs a second write four times each.
    SlowStore slow(timers, absl::Milliseconds(250));
    DurableWriter patient { { slow, timers, log, metrics,
                                [this](const std::string&) { return std::optional<std::string>(value); }, [] {} },
        { "row", 5 } };
    int written = 0;
    for (int round = 0; round < 300; ++round) {
        for (int i = 0; i < 10; ++i)
            patient.write(absl::StrCat(round, "/", i), [&written] { ++written; });
        pass(absl::Milliseconds(10));
    }
    pass(absl::Milliseconds(400));
    CHECK_EQUAL(3000, written);
}

TEST(DurableWriting, repliesAreWaitedForAsLongAsTheyHaveTaken)
{
    write("a");
    CHECK(store.sent.back().replyTimeout >= absl::Seconds(1));
    for (uint64_t i = 1; i <= 5; ++i) {
        answer(TransactionStatus::Applied, i);
        write("a");
    }
    // Replies take some 30 ms: one that is lost is not waited for like one of a store that answers after a second.
    CHECK(store.sent.back().replyTimeout <= absl::Milliseconds(500));
    const absl::Duration before = store.sent.back().replyTimeout;
    answer(TransactionStatus::Unknown);
    answer(TransactionStatus::Unknown);
    answer(TransactionStatus::Unknown);
    CHECK(store.sent.back().replyTimeout > before);
}

TEST(DurableWriting, aLostReplyOfAWriteThatTookEffectIsSettledByItsRepetition)
{
    write("a");
    answer(TransactionStatus::Unknown);
    CHECK_EQUAL(2, store.sent.size());
    answer(TransactionStatus::ConditionFailed, 0, { { "row", "", 5 }, { "a", "v1", 9 } });
    CHECK_EQUAL(1, done);
    CHECK_EQUAL(2, store.sent.size());
    write("a");
    CHECK_EQUAL(9, store.sent.back().conditions[1].revision);
}

TEST(DurableWriting, oneLostReplyDoesNotHoldUpTheOthers)
{
    write("a");
    write("b");
    // The later call is answered first, so the store is well.
    answer(TransactionStatus::Applied, 6);
    answer(TransactionStatus::Unknown);
    const size_t before = store.sent.size();
    for (const char* key : { "c", "d", "e" })
        write(key);
    CHECK_EQUAL(before + 3, store.sent.size());
}

TEST(DurableWriting, aValueThatTheStoreRejectsHoldsUpNoOtherKey)
{
    values["long"] = std::string(2000, 'x');
    absl::btree_set<std::string> durable;
    // Answers what has been sent; long values are rejected.
    const auto answerAll = [&] {
        auto callbacks = std::exchange(store.callbacks, {});
        const size_t first = store.sent.size() - callbacks.size();
        for (size_t i = 0; i < callbacks.size(); ++i) {
            const std::vector<StoreWrite>& writes = store.sent[first + i].writes;
            TransactionReply reply;
            const bool isTooLong = std::any_of(
                writes.begin(), writes.end(), [](const StoreWrite& write) { return write.value.size() > 1000; });
            reply.status = isTooLong ? TransactionStatus::Rejected : TransactionStatus::Applied;
            reply.revision = 10 + first + i;
            callbacks[i](reply);
        }
        pass(absl::Milliseconds(20));
    };
    for (const char* key : { "a", "long", "b" })
        writer.write(key, [&durable, key] { durable.insert(key); });
    pass(absl::Milliseconds(30));
    for (int i = 0; i < 4; ++i)
        answerAll();
    CHECK((absl::btree_set<std::string> { "a", "b" }) == durable);
    const size_t before = store.sent.size();
    for (int i = 0; i < 20; ++i) {
        const std::string key = absl::StrCat("later", i);
        writer.write(key, [&durable, key] { durable.insert(key); });
        pass(absl::Milliseconds(100));
        answerAll();
        CHECK(durable.contains(key));
    }
    // It is not sent again with each of the others.
    CHECK(store.sent.size() - before < 40);
    values["long"] = "short";
    for (int i = 0; i < 4; ++i) {
        pass(absl::Milliseconds(600));
        answerAll();
    }
    CHECK(durable.contains("long"));
}
