#pragma once

/** \file
 * Eight dispatchers in three regions with fifty executors, joined by FakeWorld: requests arrive, hold a slot for as
 * long as their run takes, and what became of each kind is counted. Only the decisions are real.
 */

#include "Dispatcher.h"
#include "support/FakeOwnership.h"
#include "support/FakeWorld.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace cicada::Testing {

/** One kind of work that arrives. */
struct Workload {
    Profile profile;
    /** Arrivals each second over all entries. */
    double rate = 0;
    absl::Duration minRun;
    absl::Duration maxRun;
    uint64_t bodyBytes = 0;
    /** Whether it belongs to the swing. */
    bool swings = false;
    bool isHeavy = false;
};

/** What is done to the load and to the links. */
struct Scenario {
    std::string name;
    /** The factor of the swing at its crest, which it reaches within two seconds. */
    double swing = 1;
    /** The same for heavy work. */
    double heavySwing = 1;
    /** The share of the swinging kinds' runs that take fifty times as long. */
    double stragglers = 0;
    /** By what factor short runs are declared too long and heavy ones too short. */
    double declaredError = 1;
    bool cutsRegion = false;
    /** The load of the first region, as a multiple of the others'. */
    double hotRegion = 1;
    bool withHeavy = true;
};

/** What became of one kind in the measured time. */
struct KindResult {
    std::string profile;
    uint64_t offered = 0;
    uint64_t refused = 0;
    /** Admitted, and not started within the wait bound. */
    uint64_t late = 0;
    uint64_t started = 0;
    std::vector<double> waitMillis;
    double waitQuantile(double q) const;
    /** Of those that were admitted, the part that started in time. */
    double inTime() const;
};

/** What became of one run of a scenario. */
struct PolicyResult {
    std::vector<KindResult> kinds;
    /** Busy slots over what the slots and the offered work allow, in the measured time. */
    double goodput = 0;
    double acrossRegions = 0;
    uint64_t bytesAcrossRegions = 0;
    /** Of one entry, load digests. */
    double digestBytesPerSecond = 0;
    /** Starts beyond an executor's slots; must be 0. */
    uint64_t overcommitted = 0;
    /** Grants that no run holds at the end; must be 0. */
    uint64_t leaked = 0;
};

/** Runs one scenario. */
class PolicyWorld {
public:
    PolicyWorld(std::vector<Workload> workloads, Scenario scenario, const PolicyOptions& policy, uint64_t seed);
    ~PolicyWorld();

    PolicyResult run();

    static constexpr int regions = 3;
    static constexpr int entries = 8;
    static constexpr int executors = 50;
    static constexpr uint32_t slotsEach = 8;
    static constexpr absl::Duration warmUp = absl::Seconds(6);
    static constexpr absl::Duration measured = absl::Seconds(14);
    static constexpr absl::Duration drain = absl::Seconds(3);

private:
    struct Entry;
    struct Event {
        absl::Duration at;
        uint64_t order;
        std::function<void()> effect;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void addEntries(const PolicyOptions& policy, uint64_t seed);
    void schedule(absl::Duration delay, std::function<void()> effect);
    void advanceTo(absl::Duration until);
    double factor(const Workload&) const;
    void arriveLater(size_t kind);
    void arrive(size_t kind, absl::Duration run);
    void prefill(size_t kind);
    absl::Duration runTime(const Workload&);
    Entry& anyEntry();
    void begin(size_t kind, Entry& entry, const StartGrant& grant, absl::Duration run, absl::Duration arrivedAt);
    void countBusy(absl::Duration from, absl::Duration to);
    bool isMeasured(absl::Duration at) const { return at >= warmUp && at < warmUp + measured; }
    void finishResult();

    std::vector<Workload> m_workloads;
    Scenario m_scenario;
    FakeWorld m_world;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    uint64_t m_order = 0;
    uint64_t m_nextRequest = 1;
    uint64_t m_running = 0;
    absl::Duration m_busy;
    absl::Duration m_offered;
    absl::flat_hash_map<std::string, uint32_t> m_inUse;
    PolicyResult m_result;
};

} // namespace cicada::Testing
