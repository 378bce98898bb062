#include "PolicyWorld.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace cicada::Testing {

namespace {

    constexpr absl::Duration betweenRegions = absl::Milliseconds(30);
    constexpr absl::Duration withinRegion = absl::Milliseconds(1);
    constexpr absl::Duration rampTime = absl::Seconds(2);
    constexpr absl::Duration crestStart = PolicyWorld::warmUp;
    constexpr absl::Duration cutStart = absl::Seconds(8);
    constexpr absl::Duration cutTime = absl::Seconds(6);
    constexpr double stragglerFactor = 50;
    constexpr size_t maxQueued = 20000;

    std::string regionName(int index) { return absl::StrCat("region-", index); }

    /** Links whose messages to another region take longer. */
    class RegionBus final : public PeerBus {
    public:
        using Schedule = std::function<void(absl::Duration, std::function<void()>)>;
        RegionBus(Node& node, int region, Schedule schedule)
            : m_node(node)
            , m_region(region)
            , m_schedule(std::move(schedule))
        {
        }
        void handle(absl::string_view service, Handler handler) override { m_node.handle(service, std::move(handler)); }
        bool send(absl::string_view peer, absl::string_view service, std::string bytes) override
        {
            // Entry names end in their number, and the number gives the region.
            if ((peer.back() - '0') % PolicyWorld::regions == m_region)
                return m_node.send(peer, service, std::move(bytes));
            m_schedule(betweenRegions,
                [this, peer = std::string(peer), service = std::string(service), bytes = std::move(bytes)] {
                    m_node.send(peer, service, bytes);
                });
            return true;
        }
        void setPeers(absl::Span<const PeerAddress> peers) override { m_node.setPeers(peers); }
        std::vector<std::string> peerNames() const override { return m_node.peerNames(); }
        PeerTraffic traffic() const override { return m_node.traffic(); }

    private:
        Node& m_node;
        int m_region;
        Schedule m_schedule;
    };

    std::vector<BackEnd> makeExecutors()
    {
        std::vector<BackEnd> list;
        for (int i = 0; i < PolicyWorld::executors; ++i) {
            BackEnd executor;
            executor.name = absl::StrCat("executor-", i);
            executor.service = "desk";
            executor.address = { "127.0.0.1", 1 };
            executor.region = regionName(i % PolicyWorld::regions);
            executor.slots = PolicyWorld::slotsEach;
            list.push_back(executor);
        }
        return list;
    }

} // namespace

double KindResult::waitQuantile(double q) const
{
    if (waitMillis.empty())
        return 0;
    std::vector<double> sorted = waitMillis;
    const auto at = std::min(sorted.size() - 1, static_cast<size_t>(q * static_cast<double>(sorted.size())));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(at), sorted.end());
    return sorted[at];
}

double KindResult::inTime() const
{
    const uint64_t admitted = started + late;
    return admitted == 0 ? 1 : static_cast<double>(started) / static_cast<double>(admitted);
}

struct PolicyWorld::Entry {
    Entry(Node& node, int regionIndex, RegionBus::Schedule schedule, const DispatcherOptions& options)
        : region(regionName(regionIndex))
        , bus(node, regionIndex, std::move(schedule))
        , ledger(backEnds, ownership, node.clock())
        , dispatcher(node.name(), backEnds, ledger, bus, node.clock(), maxQueued, options)
    {
        node.onTick([this](Instant now) { dispatcher.tick(now); });
    }
    std::string region;
    RegionBus bus;
    BackEnds backEnds;
    FakeOwnership ownership;
    SlotLedger ledger;
    Dispatcher dispatcher;
};

PolicyWorld::PolicyWorld(std::vector<Workload> workloads, Scenario scenario, const PolicyOptions& policy, uint64_t seed)
    : m_workloads(std::move(workloads))
    , m_scenario(std::move(scenario))
    , m_world(seed)
    , m_random(seed)
{
    m_world.setMaxDelay(withinRegion);
    for (Workload& workload : m_workloads) {
        m_result.kinds.emplace_back().profile = workload.profile.name;
        const double error = workload.isHeavy ? 1 / m_scenario.declaredError : m_scenario.declaredError;
        workload.profile.expectedRun *= error;
    }
    addEntries(policy, seed);
}

PolicyWorld::~PolicyWorld() = default;

void PolicyWorld::addEntries(const PolicyOptions& policy, uint64_t seed)
{
    std::vector<PeerAddress> peers;
    peers.reserve(entries);
    for (int i = 0; i < entries; ++i)
        peers.push_back({ absl::StrCat("entry-", i), "", regionName(i % regions) });
    const std::vector<BackEnd> list = makeExecutors();
    for (int i = 0; i < entries; ++i) {
        Node& node = m_world.addNode(peers[i].name);
        const int region = i % regions;
        auto later = [this](absl::Duration delay, std::function<void()> effect) { schedule(delay, std::move(effect)); };
        DispatcherOptions options { regionName(region), policy, seed + static_cast<uint64_t>(i) };
        m_entries.push_back(std::make_unique<Entry>(node, region, later, options));
        node.setPeers(peers);
        m_entries.back()->backEnds.update(list);
    }
    // The executors of a region are dealt out among its entries.
    for (int i = 0; i < executors; ++i) {
        const int region = i % regions;
        const int entriesThere = (entries - region + regions - 1) / regions;
        const int owner = region + regions * ((i / regions) % entriesThere);
        m_entries[owner]->ownership.gain(list[i].group(), 1);
    }
}

void PolicyWorld::schedule(absl::Duration delay, std::function<void()> effect)
{
    m_events.push({ m_world.now() + delay, m_order++, std::move(effect) });
}

void PolicyWorld::advanceTo(absl::Duration until)
{
    while (m_world.now() < until) {
        const absl::Duration next = m_events.empty() ? until : std::min(until, m_events.top().at);
        m_world.run(next - m_world.now());
        while (!m_events.empty() && m_events.top().at <= m_world.now()) {
            const std::function<void()> effect = m_events.top().effect;
            m_events.pop();
            effect();
        }
    }
}

double PolicyWorld::factor(const Workload& workload) const
{
    const absl::Duration since = m_world.now() - crestStart;
    if (since < absl::ZeroDuration() || (!workload.swings && !workload.isHeavy))
        return 1;
    const double ramp = std::min(1.0, absl::FDivDuration(since, rampTime));
    const double crest = workload.isHeavy ? m_scenario.heavySwing : m_scenario.swing;
    return 1 + (crest - 1) * ramp;
}

absl::Duration PolicyWorld::runTime(const Workload& workload)
{
    std::uniform_real_distribution<double> between(0, 1);
    const absl::Duration run = workload.minRun + (workload.maxRun - workload.minRun) * between(m_random);
    const bool straggles = workload.swings && between(m_random) < m_scenario.stragglers;
    return straggles ? run * stragglerFactor : run;
}

PolicyWorld::Entry& PolicyWorld::anyEntry()
{
    std::discrete_distribution<int> anyRegion({ m_scenario.hotRegion, 1.0, 1.0 });
    const int region = anyRegion(m_random);
    const int entriesThere = (entries - region + regions - 1) / regions;
    const int place = std::uniform_int_distribution<int>(0, entriesThere - 1)(m_random);
    return *m_entries[region + regions * place];
}

void PolicyWorld::arriveLater(size_t kind)
{
    const Workload& workload = m_workloads[kind];
    std::exponential_distribution<double> gap(workload.rate * factor(workload));
    schedule(absl::Seconds(gap(m_random)), [this, kind] {
        if (m_world.now() >= warmUp + measured)
            return;
        arrive(kind, runTime(m_workloads[kind]));
        arriveLater(kind);
    });
}

/** The runs that a long-lived system would hold already, each with a part of its run left. */
void PolicyWorld::prefill(size_t kind)
{
    const Workload& workload = m_workloads[kind];
    const double mean = absl::ToDoubleSeconds(workload.minRun + workload.maxRun) / 2;
    const int held = static_cast<int>(workload.rate * mean);
    std::uniform_real_distribution<double> left(0, 1);
    for (int i = 0; i < held; ++i)
        arrive(kind, runTime(workload) * left(m_random));
}

void PolicyWorld::arrive(size_t kind, absl::Duration run)
{
    const Workload& workload = m_workloads[kind];
    Entry& entry = anyEntry();
    const absl::Duration arrivedAt = m_world.now();
    if (isMeasured(arrivedAt)) {
        ++m_result.kinds[kind].offered;
        m_offered += run;
    }
    WorkItem item { absl::StrCat(m_nextRequest++), "desk", workload.profile, workload.bodyBytes, {} };
    entry.dispatcher.submit(std::move(item), [this, kind, &entry, run, arrivedAt](const Result<StartGrant>& grant) {
        if (grant)
            return begin(kind, entry, grant.value(), run, arrivedAt);
        if (!isMeasured(arrivedAt))
            return;
        KindResult& result = m_result.kinds[kind];
        ++(grant.error().kind == ErrorKind::TooBusy ? result.refused : result.late);
    });
}

void PolicyWorld::begin(
    size_t kind, Entry& entry, const StartGrant& grant, absl::Duration run, absl::Duration arrivedAt)
{
    const bool crosses = entry.backEnds.find(grant.executor)->region != entry.region;
    KindResult& result = m_result.kinds[kind];
    if (isMeasured(arrivedAt)) {
        ++result.started;
        const absl::Duration way = crosses ? betweenRegions : absl::ZeroDuration();
        result.waitMillis.push_back(absl::ToDoubleMilliseconds(m_world.now() + way - arrivedAt));
    }
    uint32_t& inUse = m_inUse[grant.executor];
    m_result.overcommitted += ++inUse > slotsEach;
    ++m_running;
    const absl::Duration startedAt = m_world.now();
    schedule(run + (crosses ? betweenRegions : absl::ZeroDuration()), [this, &entry, grant, run, startedAt] {
        --m_running;
        --m_inUse[grant.executor];
        countBusy(startedAt, m_world.now());
        entry.dispatcher.finished(grant, { RunVerdict::Succeeded, run });
    });
}

void PolicyWorld::countBusy(absl::Duration from, absl::Duration to)
{
    const absl::Duration start = std::max(from, warmUp);
    const absl::Duration end = std::min(to, warmUp + measured);
    m_busy += std::max(absl::ZeroDuration(), end - start);
}

PolicyResult PolicyWorld::run()
{
    advanceTo(absl::Seconds(1) / 2);
    for (size_t kind = 0; kind < m_workloads.size(); ++kind) {
        if (m_workloads[kind].isHeavy && !m_scenario.withHeavy)
            continue;
        if (m_workloads[kind].isHeavy)
            prefill(kind);
        arriveLater(kind);
    }
    if (m_scenario.cutsRegion) {
        for (const bool isCut : { true, false }) {
            schedule(cutStart + (isCut ? absl::ZeroDuration() : cutTime), [this, isCut] {
                for (int i = 0; i < entries; ++i) {
                    for (int j = 0; j < entries; ++j) {
                        if ((i % regions == 0) != (j % regions == 0))
                            m_world.cut(absl::StrCat("entry-", i), absl::StrCat("entry-", j), isCut);
                    }
                }
            });
        }
    }
    advanceTo(warmUp + measured + drain);
    finishResult();
    return std::move(m_result);
}

void PolicyWorld::finishResult()
{
    // Runs that go on beyond the measured time are ended here, so that their slots count as busy and come back.
    while (m_running > 0)
        advanceTo(m_world.now() + absl::Seconds(5));
    advanceTo(m_world.now() + absl::Seconds(1));
    const absl::Duration capacity = measured * (int64_t { executors } * slotsEach);
    m_result.goodput = absl::FDivDuration(m_busy, std::min(capacity, m_offered));
    uint64_t started = 0;
    uint64_t across = 0;
    uint64_t digestBytes = 0;
    for (const auto& entry : m_entries) {
        const PlacementCounts& counts = entry->dispatcher.counts();
        started += counts.started;
        across += counts.acrossRegions;
        m_result.bytesAcrossRegions += counts.bytesAcrossRegions;
        digestBytes += entry->dispatcher.digestBytes();
        m_result.leaked += entry->ledger.grants().size();
    }
    m_result.acrossRegions = started ? static_cast<double>(across) / static_cast<double>(started) : 0;
    m_result.digestBytesPerSecond = static_cast<double>(digestBytes) / entries / absl::ToDoubleSeconds(m_world.now());
}

} // namespace cicada::Testing
