#pragma once

/** \file
 * Entries that claim ids, and executors that run them, in a FakeWorld. It carries out the Settlement's steps over
 * messages that the world may lose, delay or hold, and judges: starts of each id, and what callers were told.
 */

#include "Settlement.h"
#include "support/FakeWorld.h"

#include "absl/container/flat_hash_map.h"

#include <functional>
#include <map>
#include <optional>

namespace cicada::Testing {

class ClaimsWorld;

/** Exact ownership under the test's control: what one entry loses, another gains in the same instant. */
class TableOwnership final : public Ownership {
public:
    TableOwnership(ClaimsWorld& world, std::string self, const Clock& clock)
        : m_world(world)
        , m_self(std::move(self))
        , m_clock(clock)
    {
    }
    std::optional<Term> term(absl::string_view group) const override;
    std::string owner(absl::string_view group) const override;
    void onChange(Observer observer) override { m_observers.push_back(std::move(observer)); }
    void tell(absl::string_view group, uint64_t epoch, bool owned);

private:
    ClaimsWorld& m_world;
    const std::string m_self;
    const Clock& m_clock;
    std::vector<Observer> m_observers;
};

/** One caller's request at one entry. */
struct ClaimedRequest {
    std::string id;
    uint64_t number = 0;
    std::string entry;
    absl::Duration beganAt;
    std::optional<Settlement> settlement;
    std::optional<SettlementResult> verdict;
    absl::Duration answeredAt;
};

/** One entry, as far as claims go. */
class ClaimsEntry {
public:
    ClaimsEntry(ClaimsWorld& world, const std::string& name, uint64_t incarnation, double rate);

    void begin(const std::shared_ptr<ClaimedRequest>& request, const Profile& profile);
    /** Only claims the id, and gives the claim up once it is granted; then `granted` is called. */
    void claimOnly(const std::string& id, std::function<void()> granted);
    Node& node() { return m_node; }
    ClaimsHome& home() { return m_home; }
    TableOwnership& ownership() { return m_ownership; }

    /** How long a request waits for a slot: this, and a random time up to the second. */
    absl::Duration queueing = absl::ZeroDuration();
    absl::Duration maxQueueing = absl::Milliseconds(100);
    /** The executors that this entry knows, by number. */
    std::vector<size_t> known;
    bool dead = false;

private:
    using RequestPtr = std::shared_ptr<ClaimedRequest>;
    using StateCallback = std::function<void(const std::string& state)>;

    void step(const RequestPtr& request);
    void claim(const RequestPtr& request);
    void place(const RequestPtr& request);
    void run(const RequestPtr& request);
    void follow(const RequestPtr& request, const std::string& executor, const std::string& runId, bool own,
        Instant since, bool stopUnstarted);
    void sweep(const RequestPtr& request);
    void ended(const RequestPtr& request, RunEnd end, bool own);
    void ask(const std::string& executor, const std::string& question, StateCallback callback);
    void later(absl::Duration delay, std::function<void()> task);
    void tick(Instant now);

    ClaimsWorld& m_world;
    Node& m_node;
    TableOwnership m_ownership;
    Journal m_journal;
    ClaimsHome m_home;
    ClaimsClient m_client;
    std::multimap<Instant, std::function<void()>> m_timers;
    std::map<uint64_t, StateCallback> m_asks;
    uint64_t m_nextAsk = 1;
};

/** An executor: runs by run id, and refuses ids that it knows. */
class ClaimsExecutor {
public:
    ClaimsExecutor(ClaimsWorld& world, const std::string& name);
    Node& node() { return m_node; }

private:
    void answer(absl::string_view from, absl::string_view bytes);

    ClaimsWorld& m_world;
    Node& m_node;
    struct Run {
        std::string state;
        absl::Duration until;
    };
    std::map<std::string, Run> m_runs;
};

/** All of it. */
class ClaimsWorld {
public:
    explicit ClaimsWorld(uint64_t seed, size_t entries = 3, size_t executors = 3);
    ~ClaimsWorld();

    /** Sends a request; its answer is in the result once there is one. */
    std::shared_ptr<ClaimedRequest> send(size_t entry, const std::string& id);
    /** Gives all claim partitions of `from` to `to`, as after its end; with `to` empty they have no owner. */
    void moveClaims(const std::string& from, const std::string& to);
    /** Ends an entry; its claims go to `successor` after `after`. */
    void killEntry(size_t entry, size_t successor, absl::Duration after = absl::Seconds(2));
    void run(absl::Duration by) { world.run(by); }
    /** What went wrong so far; empty when every promise held. */
    std::string violations() const;
    size_t starts(const std::string& id) const;
    size_t count(Outcome outcome) const;

    FakeWorld world;
    Profile profile;
    absl::Duration runTime = absl::Milliseconds(50);
    absl::Duration retention = absl::Seconds(60);
    std::vector<std::unique_ptr<ClaimsEntry>> entries;
    std::vector<std::unique_ptr<ClaimsExecutor>> executors;
    std::vector<std::shared_ptr<ClaimedRequest>> requests;

    // For the parts above.
    struct Owned {
        std::string owner;
        uint64_t epoch = 0;
    };
    struct Start {
        uint64_t request = 0;
        absl::Duration at;
    };
    std::map<std::string, Owned> table;
    std::map<std::string, std::vector<Start>> startsOfId;
    std::string nameOf(const Endpoint& address) const;

private:
    bool livedAt(const std::string& entry, absl::Duration at) const;

    uint64_t m_epoch = 1;
    std::map<std::string, absl::Duration> m_killedAt;
};

} // namespace cicada::Testing
