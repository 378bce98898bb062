/** \file
 * Authority and ownership under failure: at no instant may two entries use one group, and once faults stop each group
 * is used again.
 */

#include "support/EntryCluster.h"

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

using namespace cicada;
using namespace cicada::Testing;

namespace {

constexpr absl::Duration settling = absl::Seconds(5);
constexpr absl::Duration takeoverLimit = absl::Seconds(5);

} // namespace

TEST_GROUP(Authority)
{
    uint64_t seed = 1;

    void holds(const EntryCluster& cluster) const
    {
        STRCMP_EQUAL_TEXT("", cluster.violation().c_str(), absl::StrCat("seed ", seed).c_str());
    }
    void ownedWithin(EntryCluster & cluster, absl::Duration limit) const
    {
        const auto took = cluster.advanceUntil([&] { return cluster.allOwned(); }, limit);
        holds(cluster);
        CHECK_TEXT(took.has_value(), absl::StrCat("groups without owner, seed ", seed).c_str());
    }
    void startAll(EntryCluster & cluster, size_t entries) const
    {
        for (size_t i = 0; i < entries; ++i)
            cluster.start(i);
        ownedWithin(cluster, settling);
        cluster.advance(settling);
    }
    /** Every entry keeps what it owns for `time`. */
    void nothingStops(EntryCluster & cluster, absl::Duration time) const
    {
        const absl::Duration until = cluster.world.now() + time;
        while (cluster.world.now() < until) {
            cluster.advance(absl::Milliseconds(50));
            holds(cluster);
            for (size_t i = 0; i < cluster.size(); ++i) {
                const EntryRun& run = cluster.run(i);
                CHECK_TEXT(run.dead || run.authority.active(), run.settings.name.c_str());
            }
        }
    }
};

TEST(Authority, allStartAtOnceAndOwnEverything)
{
    for (size_t entries : { 1, 2, 3, 8 }) {
        EntryCluster cluster(seed, 3, 6);
        startAll(cluster, entries);
        for (size_t i = 0; i < entries; ++i)
            LONGS_EQUAL(std::min<size_t>(entries - 1, 2), cluster.run(i).authority.guardians().size());
    }
}

TEST(Authority, groupsOfADeadEntryAreOwnedAgain)
{
    EntryCluster cluster(seed, 3, 6);
    startAll(cluster, 6);
    cluster.kill(1);
    CHECK(!cluster.allOwned());
    ownedWithin(cluster, takeoverLimit);
}
TEST(Authority, twoDeadAtOnceIncludingAGuardian)
{
    EntryCluster cluster(seed, 3, 6);
    startAll(cluster, 6);
    const std::string guardian = cluster.run(0).authority.guardians()[0].name;
    cluster.kill(0);
    for (size_t i = 1; i < 6; ++i) {
        if (cluster.run(i).settings.name == guardian)
            cluster.kill(i);
    }
    ownedWithin(cluster, takeoverLimit);
}

TEST(Authority, aStoreOutageStopsNothingNorWithOneDeadGuardian)
{
    EntryCluster cluster(seed, 3, 6);
    startAll(cluster, 6);
    cluster.world.setStoreDown(true);
    nothingStops(cluster, absl::Seconds(30));
    cluster.kill(2);
    nothingStops(cluster, absl::Seconds(30));
    cluster.world.setStoreDown(false);
    ownedWithin(cluster, takeoverLimit);
}

TEST(Authority, anEntryPausedForLongerThanAPromise)
{
    for (absl::Duration pause : { absl::Seconds(1.2), absl::Seconds(2), absl::Seconds(60) }) {
        EntryCluster cluster(seed, 3, 6);
        startAll(cluster, 5);
        for (int again = 0; again < 2; ++again) {
            cluster.pause(3);
            cluster.advance(pause);
            cluster.resume(3);
            ownedWithin(cluster, takeoverLimit);
            cluster.advance(settling);
            holds(cluster);
            CHECK(cluster.run(3).authority.active());
        }
    }
}

TEST(Authority, oneWayCuts)
{
    for (bool outward : { false, true }) {
        EntryCluster cluster(seed, 3, 6);
        startAll(cluster, 5);
        for (size_t other : { 0, 1, 3, 4 }) {
            const std::string name = cluster.run(other).settings.name;
            cluster.world.cut(outward ? "entry-2" : name, outward ? name : "entry-2", true);
        }
        nothingStops(cluster, absl::Seconds(20));
        ownedWithin(cluster, takeoverLimit);
    }
}

/** Two that can only talk to each other: the one may not keep the other alive once it has lost its own authority. */
TEST(Authority, twoCutOffFromAllOthersAndTheStore)
{
    for (size_t other : { 1, 2, 3, 4, 5 }) {
        EntryCluster cluster(seed, 3, 6);
        startAll(cluster, 6);
        cluster.cutOffPair(0, other);
        cluster.advance(absl::Seconds(10));
        holds(cluster);
        CHECK(!cluster.run(0).authority.active());
        CHECK(!cluster.run(other).authority.active());
        CHECK(cluster.allOwned());
    }
}

/** The new owners act at once; the old one can't know whether they may, and must not use its groups again. */
TEST(Authority, aHandoverTakesEffectUnseenByTheOwner)
{
    EntryCluster cluster(seed, 3, 6);
    startAll(cluster, 6);
    EntryRun& leaving = cluster.run(2);
    leaving.ownership.leave();
    const std::string table = absl::StrCat(configPrefix, "owners");
    const uint64_t before = cluster.world.stored()[table].index;
    while (cluster.world.stored()[table].index == before)
        cluster.advance(absl::Milliseconds(1));
    cluster.world.cutStore(leaving.node, true);
    cluster.advance(absl::Seconds(10));
    holds(cluster);
    CHECK(cluster.allOwned());
    CHECK(leaving.authority.active());
    cluster.world.cutStore(leaving.node, false);
    CHECK(cluster.advanceUntil([&] { return leaving.ownership.left(); }, takeoverLimit).has_value());
}

/** A holder that doesn't know that it has changed its guardians may not count on one that it had before. */
TEST(Authority, aChangeOfGuardiansTakesEffectUnseenByTheHolder)
{
    EntryCluster cluster(seed, 3, 6);
    startAll(cluster, 5);
    cluster.start(5);
    EntryRun* holder = nullptr;
    std::string dropped;
    while (!holder) {
        cluster.advance(absl::Milliseconds(1));
        for (size_t i = 0; i < 5 && !holder; ++i) {
            const auto stored = decodeMember(cluster.world.stored()[memberKey(cluster.run(i).settings.name)].value);
            for (const EntryId& guardian : cluster.run(i).authority.guardians()) {
                if (absl::c_linear_search(stored->guardians, guardian))
                    continue;
                holder = &cluster.run(i);
                dropped = guardian.name;
            }
        }
    }
    cluster.world.cutStore(holder->node, true);
    for (size_t i = 0; i < 6; ++i) {
        if (cluster.run(i).settings.name == dropped)
            cluster.world.cutStore(cluster.run(i).node, true);
        else
            cluster.world.cutBoth(holder->settings.name, cluster.run(i).settings.name, true);
    }
    cluster.advance(absl::Seconds(10));
    holds(cluster);
    CHECK(!holder->authority.active());
    for (size_t i = 0; i < 6; ++i)
        cluster.world.cutStore(cluster.run(i).node, false);
    ownedWithin(cluster, takeoverLimit);
}

/** An entry lives by its own writes, whose replies are late; then it loses the store as well. */
TEST(Authority, lateRepliesGiveNoMoreTime)
{
    for (seed = 1; seed <= 5; ++seed) {
        EntryCluster cluster(seed, 3, 6);
        startAll(cluster, 4);
        EntryRun& slow = cluster.run(0);
        for (size_t other : { 1, 2, 3 })
            cluster.world.cutBoth("entry-0", cluster.run(other).settings.name, true);
        cluster.world.setWatchStale(slow.node, true);
        cluster.world.setMaxStoreDelay(absl::Milliseconds(700));
        cluster.advance(absl::Seconds(1));
        const Instant before = slow.authority.until();
        cluster.advanceUntil([&] { return slow.authority.until() > before; }, absl::Seconds(10));
        cluster.world.cutStore(slow.node, true);
        cluster.world.setMaxStoreDelay(absl::Milliseconds(5));
        ownedWithin(cluster, takeoverLimit);
    }
}

TEST(Authority, allLoseEachOtherAndTheStoreThenComeBack)
{
    EntryCluster cluster(seed, 3, 6);
    startAll(cluster, 6);
    cluster.world.setStoreDown(true);
    cluster.world.setLoss(1);
    cluster.advance(absl::Seconds(20));
    for (size_t i = 0; i < 6; ++i)
        CHECK(!cluster.run(i).authority.active());
    cluster.world.setLoss(0);
    cluster.advance(settling);
    cluster.world.setStoreDown(false);
    ownedWithin(cluster, takeoverLimit);
}

TEST(Authority, repliesOfTheStoreAreLost)
{
    EntryCluster cluster(seed, 3, 6);
    cluster.world.setLostReplies(0.5);
    startAll(cluster, 6);
    cluster.kill(1);
    ownedWithin(cluster, 2 * takeoverLimit);
}

TEST(Authority, aKilledEntryComesBackUnderItsName)
{
    EntryCluster cluster(seed, 3, 6);
    startAll(cluster, 3);
    for (int again = 0; again < 3; ++again) {
        const uint64_t before = cluster.run(1).authority.self().incarnation;
        cluster.kill(1);
        cluster.advance(absl::Milliseconds(300));
        cluster.start(1);
        ownedWithin(cluster, takeoverLimit);
        cluster.advance(settling);
        CHECK(cluster.run(1).authority.self().incarnation != before);
        CHECK(cluster.run(1).authority.active());
    }
}

/** Two that guard each other die at once, which only their return can settle. */
TEST(Authority, allOfThreeDieAndComeBack)
{
    EntryCluster cluster(seed, 3, 6);
    startAll(cluster, 3);
    for (size_t i = 0; i < 3; ++i)
        cluster.kill(i);
    cluster.advance(absl::Seconds(3));
    for (size_t i = 0; i < 3; ++i)
        cluster.start(i);
    ownedWithin(cluster, 2 * takeoverLimit);
}

namespace {

/** Faults of which each schedule mixes two at a time. */
enum class Fault {
    Kill,
    Restart,
    Leave,
    Pause,
    CutOneWay,
    CutOff,
    CutOffFromStore,
    CutOffPair,
    StoreOutage,
    SlowStore,
    StaleWatch,
    LostReplies,
    Loss,
    SlowLinks,
    Count,
};

/** A seeded schedule: pairs of faults that overlap, then quiet. */
class Schedule {
public:
    Schedule(EntryCluster& cluster, uint64_t seed)
        : m_cluster(cluster)
        , m_random(seed)
    {
    }

    void play()
    {
        for (int round = 0; round < 3; ++round) {
            begin();
            m_cluster.advance(upTo(absl::Seconds(2)));
            begin();
            m_cluster.advance(upTo(absl::Seconds(4)));
            endAll();
            m_cluster.advance(upTo(absl::Seconds(2)));
        }
    }

private:
    size_t pick(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(m_random); }
    absl::Duration upTo(absl::Duration most) { return most * (0.001 * static_cast<double>(pick(1000))); }

    void begin()
    {
        const size_t target = pick(m_cluster.size());
        const std::string name = m_cluster.run(target).settings.name;
        const std::string other = m_cluster.run(pick(m_cluster.size())).settings.name;
        FakeWorld& world = m_cluster.world;
        switch (static_cast<Fault>(pick(static_cast<size_t>(Fault::Count)))) {
        case Fault::Kill:
            m_cluster.kill(target);
            break;
        case Fault::Restart:
            m_cluster.kill(target);
            m_cluster.start(target);
            break;
        case Fault::Leave:
            m_cluster.run(target).ownership.leave();
            break;
        case Fault::Pause:
            m_cluster.pause(target);
            break;
        case Fault::CutOneWay:
            world.cut(name, other, true);
            break;
        case Fault::CutOff:
            for (size_t i = 0; i < m_cluster.size(); ++i)
                world.cutBoth(name, m_cluster.run(i).settings.name, true);
            break;
        case Fault::CutOffFromStore:
            world.cutStore(m_cluster.run(target).node, true);
            break;
        case Fault::CutOffPair:
            m_cluster.cutOffPair(target, pick(m_cluster.size()));
            break;
        case Fault::StoreOutage:
            world.setStoreDown(true);
            break;
        case Fault::SlowStore:
            world.setMaxStoreDelay(absl::Seconds(1));
            break;
        case Fault::StaleWatch:
            world.setWatchStale(m_cluster.run(target).node, true);
            break;
        case Fault::LostReplies:
            world.setLostReplies(0.7);
            break;
        case Fault::Loss:
            world.setLoss(0.6);
            break;
        case Fault::SlowLinks:
            world.setMaxDelay(absl::Milliseconds(1200));
            break;
        case Fault::Count:
            break;
        }
    }

    void endAll()
    {
        FakeWorld& world = m_cluster.world;
        world.setStoreDown(false);
        world.setLostReplies(0);
        world.setMaxStoreDelay(absl::Milliseconds(5));
        world.setLoss(0);
        world.setMaxDelay(absl::Milliseconds(2));
        for (size_t i = 0; i < m_cluster.size(); ++i) {
            for (size_t j = 0; j < m_cluster.size(); ++j)
                world.cut(m_cluster.run(i).settings.name, m_cluster.run(j).settings.name, false);
            world.cutStore(m_cluster.run(i).node, false);
            world.setWatchStale(m_cluster.run(i).node, false);
            if (m_cluster.run(i).paused)
                m_cluster.resume(i);
            if (m_cluster.run(i).ownership.left())
                m_cluster.kill(i);
            if (m_cluster.run(i).dead && pick(2) == 0)
                m_cluster.start(i);
        }
    }

    EntryCluster& m_cluster;
    std::mt19937_64 m_random;
};

} // namespace

TEST(Authority, mixedDoubleFaults)
{
    constexpr uint64_t schedules = 500;
    for (seed = 1; seed <= schedules; ++seed) {
        EntryCluster cluster(seed, 1 + seed % 3, 4);
        cluster.driftBound = seed % 2 == 0 ? 0.01 : 0.1;
        for (size_t i = 0; i < 5 + seed % 2; ++i)
            cluster.start(i);
        cluster.advance(absl::Milliseconds(static_cast<int64_t>(seed % 3) * 1500));
        Schedule(cluster, seed).play();
        ownedWithin(cluster, 3 * takeoverLimit);
    }
}
