#include "support/EntryCluster.h"

#include "absl/strings/str_cat.h"

namespace cicada::Testing {

namespace {

    constexpr uint16_t firstPeerPort = 7200;
    /** All groups are checked once in so many ticks, some at every tick. */
    constexpr size_t ticksPerFullCheck = 20;
    /** Two clocks differ by a little less than the bound. */
    constexpr double driftShare = 0.48;
    constexpr uint32_t claimsCheckedOften = 3;

} // namespace

EntryRun::EntryRun(Settings given, Node& at, uint64_t& incarnations, absl::Span<const BackEnd> list)
    : settings(std::move(given))
    , node(at)
    , watch(node)
    , membership(node, watch)
    , authority(settings, node, node, membership, watch, node.clock(), [&incarnations] { return ++incarnations; })
    , guardianship(settings, node, node, membership, watch, node.clock(), authority)
    , ownership(settings, node, membership, watch, backEnds, node.clock(), authority)
{
    ownership.onChange([this](absl::string_view, uint64_t, bool owned) { ++(owned ? gained : lost); });
    backEnds.update({ list.begin(), list.end() });
    node.onTick([this](Instant now) {
        authority.tick(now);
        guardianship.tick(now);
        ownership.tick(now);
    });
    watch.start();
}

EntryCluster::EntryCluster(uint64_t seed, size_t domains, size_t executorCount)
    : world(seed)
    , m_domains(domains)
{
    for (size_t i = 0; i < executorCount; ++i) {
        BackEnd backEnd;
        backEnd.name = absl::StrCat("desk-", i);
        backEnd.region = absl::StrCat("region-", i % domains);
        executors.push_back(backEnd);
        m_checkedOften.push_back(backEnd.group());
        m_allGroups.push_back(backEnd.group());
    }
    for (uint32_t partition = 0; partition < claimPartitions; ++partition) {
        m_allGroups.push_back(claimGroup(partition));
        if (partition < claimsCheckedOften)
            m_checkedOften.push_back(claimGroup(partition));
    }
}

EntryRun& EntryCluster::start(size_t index)
{
    const double clockRate = 1 + (m_runs.size() % 2 == 0 ? driftShare : -driftShare) * driftBound;
    Settings settings;
    settings.name = absl::StrCat("entry-", index);
    settings.region = absl::StrCat("region-", index % m_domains);
    settings.failureDomain = settings.region;
    settings.peers = { "127.0.0.1", static_cast<uint16_t>(firstPeerPort + index) };
    settings.promiseTime = promiseTime;
    settings.clockDriftBound = driftBound;
    Node& node = world.addNode(settings.name, clockRate);
    m_runs.push_back(std::make_unique<EntryRun>(settings, node, m_incarnations, executors));
    m_latest.resize(std::max(m_latest.size(), index + 1));
    m_latest[index] = m_runs.back().get();
    return *m_latest[index];
}

void EntryCluster::kill(size_t index)
{
    run(index).dead = true;
    world.kill(run(index).node);
}

void EntryCluster::pause(size_t index)
{
    run(index).paused = true;
    world.pause(run(index).node);
}

void EntryCluster::resume(size_t index)
{
    run(index).paused = false;
    world.resume(run(index).node);
}

void EntryCluster::cutOffPair(size_t a, size_t b)
{
    for (size_t inner : { a, b }) {
        world.cutStore(run(inner).node, true);
        for (size_t outer = 0; outer < size(); ++outer) {
            if (outer != a && outer != b)
                world.cutBoth(run(inner).settings.name, run(outer).settings.name, true);
        }
    }
}

void EntryCluster::advance(absl::Duration by)
{
    const absl::Duration until = world.now() + by;
    while (world.now() < until && m_violation.empty()) {
        world.run(std::min(FakeWorld::tickInterval, until - world.now()));
        check();
    }
}

std::optional<absl::Duration> EntryCluster::advanceUntil(const std::function<bool()>& done, absl::Duration atMost)
{
    const absl::Duration start = world.now();
    while (!done()) {
        if (world.now() - start >= atMost || !m_violation.empty())
            return std::nullopt;
        advance(FakeWorld::tickInterval);
    }
    return world.now() - start;
}

bool EntryCluster::allOwned() const
{
    return std::all_of(m_allGroups.begin(), m_allGroups.end(), [this](const auto& group) { return ownerOf(group); });
}

EntryRun* EntryCluster::ownerOf(absl::string_view group) const
{
    for (const auto& run : m_runs) {
        if (!run->dead && !run->paused && run->ownership.term(group))
            return run.get();
    }
    return nullptr;
}

void EntryCluster::check()
{
    std::vector<const EntryRun*> active;
    for (const auto& run : m_runs) {
        if (!run->authority.active())
            continue;
        checkEnded(*run);
        active.push_back(run.get());
    }
    const bool full = m_ticks++ % ticksPerFullCheck == 0;
    for (const std::string& group : full ? m_allGroups : m_checkedOften)
        checkGroup(group, active);
}

void EntryCluster::checkGroup(const std::string& group, absl::Span<const EntryRun* const> active)
{
    const EntryRun* holder = nullptr;
    for (const EntryRun* run : active) {
        if (!run->ownership.term(group))
            continue;
        if (holder && m_violation.empty())
            m_violation = absl::StrCat(group, " is held by ", holder->settings.name, " and ", run->settings.name,
                " at ", absl::FormatDuration(world.now()));
        holder = run;
    }
}

/** A run that the store says has ended must not be active any more. */
void EntryCluster::checkEnded(const EntryRun& run)
{
    auto stored = world.stored().find(memberKey(run.settings.name));
    if (stored == world.stored().end())
        return;
    uint64_t& seen = m_endedIndexes[run.settings.name];
    if (seen != stored->second.index) {
        seen = stored->second.index;
        const auto member = decodeMember(stored->second.value);
        if (member && member->state == MemberState::Ended)
            m_endedRuns.insert(member->id());
    }
    if (m_endedRuns.contains(run.authority.self()) && m_violation.empty())
        m_violation
            = absl::StrCat(run.settings.name, " acts after it was ended, at ", absl::FormatDuration(world.now()));
}

} // namespace cicada::Testing
