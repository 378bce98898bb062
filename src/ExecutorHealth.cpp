#include "ExecutorHealth.h"

#include "absl/numeric/bits.h"

#include <glog/logging.h>

namespace cicada {

absl::string_view executorPhaseName(ExecutorPhase phase)
{
    switch (phase) {
    case ExecutorPhase::Recovering:
        return "recovering";
    case ExecutorPhase::Live:
        return "live";
    case ExecutorPhase::Unreachable:
        return "unreachable";
    case ExecutorPhase::SetAside:
        return "set aside";
    case ExecutorPhase::OnTrial:
        return "on trial";
    }
    return "live";
}

ExecutorHealth::ExecutorHealth(Parts parts)
    : m_parts(std::move(parts))
{
    m_parts.ownership.onChange(
        [this](absl::string_view group, uint64_t epoch, bool owned) { handleOwnership(group, epoch, owned); });
    m_parts.backEnds.onChange([this] { handleBackEnds(); });
    m_parts.ledger.setAvailability(*this);
}

uint32_t ExecutorHealth::usableSlots(const BackEnd& executor) const
{
    auto it = m_states.find(executor.name);
    if (it == m_states.end() || m_parts.stopPlanned(executor))
        return 0;
    if (it->second.phase == ExecutorPhase::Live)
        return executor.slots;
    return it->second.phase == ExecutorPhase::OnTrial ? 1 : 0;
}

std::optional<ExecutorPhase> ExecutorHealth::phase(absl::string_view executor) const
{
    auto it = m_states.find(executor);
    if (it == m_states.end())
        return std::nullopt;
    return it->second.phase;
}

void ExecutorHealth::handleOwnership(absl::string_view group, uint64_t epoch, bool owned)
{
    for (const BackEnd& backEnd : m_parts.backEnds.all()) {
        if (backEnd.kind != BackEndKind::Executor || backEnd.group() != group)
            continue;
        if (owned)
            addOwned(backEnd, epoch);
        else
            removeOwned(backEnd.name);
    }
}

/** The VM list may contain an executor before or after this entry owns it, and may drop one and list it again. */
void ExecutorHealth::handleBackEnds()
{
    std::vector<std::string> gone;
    for (const auto& [name, state] : m_states) {
        if (!m_parts.backEnds.find(name))
            gone.push_back(name);
    }
    for (const std::string& name : gone)
        removeOwned(name);
    for (const BackEnd& backEnd : m_parts.backEnds.all()) {
        if (backEnd.kind != BackEndKind::Executor || m_states.contains(backEnd.name))
            continue;
        if (const auto term = m_parts.ownership.term(backEnd.group()))
            addOwned(backEnd, term->epoch);
    }
}

void ExecutorHealth::addOwned(const BackEnd& executor, uint64_t epoch)
{
    State& state = m_states[executor.name];
    if (state.epoch == epoch && !state.group.empty())
        return;
    // State from an earlier ownership may be stale: another entry may have owned the executor in between.
    m_parts.ledger.forget(executor.name);
    state = State {};
    state.group = executor.group();
    state.epoch = epoch;
}

void ExecutorHealth::removeOwned(absl::string_view executor)
{
    m_states.erase(executor);
    m_parts.ledger.forget(executor);
}

void ExecutorHealth::tick(Instant now)
{
    // Ownership may be found before it is told of, when both come from one update.
    for (const BackEnd& backEnd : m_parts.backEnds.all()) {
        auto it = m_states.find(backEnd.name);
        if (it == m_states.end())
            continue;
        State& state = it->second;
        if (state.phase == ExecutorPhase::SetAside && now >= state.setAsideUntil)
            state.phase = ExecutorPhase::OnTrial;
        if (!state.probeInFlight && now >= state.nextProbe)
            startProbe(backEnd, state, now);
    }
}

void ExecutorHealth::startProbe(const BackEnd& executor, State& state, Instant now)
{
    if (!m_parts.ownership.term(state.group))
        return;
    state.probeInFlight = true;
    m_parts.probe.probe(
        executor, state.epoch, [this, name = executor.name, epoch = state.epoch, now](const ProbeReply& reply) {
            handleProbe(name, epoch, now, reply);
        });
}

void ExecutorHealth::handleProbe(const std::string& executor, uint64_t epoch, Instant sentAt, const ProbeReply& reply)
{
    auto it = m_states.find(executor);
    const BackEnd* backEnd = m_parts.backEnds.find(executor);
    if (it == m_states.end() || !backEnd || it->second.epoch != epoch)
        return;
    State& state = it->second;
    state.probeInFlight = false;
    if (!reply.reached || !reply.fenced) {
        handleMissedProbe(state);
    } else {
        state.missedProbes = 0;
        if (state.phase == ExecutorPhase::Recovering || state.phase == ExecutorPhase::Unreachable)
            recover(*backEnd, state, reply);
        reconcile(*backEnd, sentAt, reply);
    }
    const bool isUsable = state.phase == ExecutorPhase::Live || state.phase == ExecutorPhase::OnTrial;
    state.nextProbe = m_parts.clock.now() + (isUsable ? probeInterval : probeIntervalWhileUnavailable);
}

void ExecutorHealth::handleMissedProbe(State& state)
{
    if (++state.missedProbes >= maxMissedProbes && state.phase != ExecutorPhase::Recovering)
        state.phase = ExecutorPhase::Unreachable;
}

void ExecutorHealth::recover(const BackEnd& executor, State& state, const ProbeReply& reply)
{
    for (const std::string& requestId : reply.running)
        m_parts.ledger.adopt(executor, requestId);
    LOG(INFO) << "executor " << executor.name << " is live under epoch " << state.epoch << " with "
              << reply.running.size() << " runs";
    state.phase = ExecutorPhase::Live;
    m_parts.slotsFreed();
}

/** Frees the slots of runs that the executor no longer has, and queries it about starts that seem lost. */
void ExecutorHealth::reconcile(const BackEnd& executor, Instant sentAt, const ProbeReply& reply)
{
    const absl::flat_hash_set<std::string> running(reply.running.begin(), reply.running.end());
    std::vector<uint64_t> ended;
    std::vector<SlotGrant> lost;
    for (const auto& [id, grant] : m_parts.ledger.grants()) {
        if (grant.executor != executor.name || running.contains(grant.requestId))
            continue;
        // A run found at the take-over was started under an epoch that the executor refuses by now, so it can't start
        // again.
        if (grant.entry.empty())
            ended.push_back(id);
        else if (grant.startBy + lostStartDelay < sentAt)
            lost.push_back(grant);
    }
    for (const uint64_t id : ended)
        m_parts.ledger.release(id);
    for (const SlotGrant& grant : lost)
        resolveGrant(executor, grant);
    if (!ended.empty())
        m_parts.slotsFreed();
}

void ExecutorHealth::resolveGrant(const BackEnd& executor, const SlotGrant& grant)
{
    if (!m_resolvingGrants.insert(grant.id).second)
        return;
    m_parts.probe.stopUnstarted(executor, grant.requestId, [this, id = grant.id](StopReply reply) {
        m_resolvingGrants.erase(id);
        if (reply != StopReply::Stopped && reply != StopReply::Done)
            return;
        if (m_parts.ledger.release(id))
            m_parts.slotsFreed();
    });
}

void ExecutorHealth::report(absl::string_view executor, const RunReport& report)
{
    auto it = m_states.find(executor);
    if (it == m_states.end())
        return;
    State& state = it->second;
    const bool failed = report.verdict != RunVerdict::Succeeded;
    constexpr uint32_t windowMask = (1U << verdictWindow) - 1;
    state.failures = (state.failures << 1 | (failed ? 1U : 0U)) & windowMask;
    if (!failed && state.phase == ExecutorPhase::OnTrial) {
        state.phase = ExecutorPhase::Live;
        state.failures = 0;
        state.setAsideDuration = initialSetAsideDuration;
        return;
    }
    const bool onTrial = state.phase == ExecutorPhase::OnTrial;
    const bool failsNearlyAll = absl::popcount(state.failures) >= static_cast<int>(failuresToSetAside);
    if (!failed || (!onTrial && (!failsNearlyAll || !mayBeSetAside(executor))))
        return;
    if (onTrial)
        state.setAsideDuration = std::min(state.setAsideDuration * 2, maxSetAsideDuration);
    state.phase = ExecutorPhase::SetAside;
    state.setAsideUntil = m_parts.clock.now() + state.setAsideDuration;
    LOG(WARNING) << "executor " << executor << " is set aside for " << absl::FormatDuration(state.setAsideDuration);
}

/** At most half of the own executors of a service are set aside at once: if all of them fail, the cause is not the
 * executor. */
bool ExecutorHealth::mayBeSetAside(absl::string_view executor) const
{
    const BackEnd* self = m_parts.backEnds.find(executor);
    if (!self)
        return false;
    size_t owned = 0;
    size_t aside = 0;
    for (const auto& [name, state] : m_states) {
        const BackEnd* other = m_parts.backEnds.find(name);
        if (!other || other->service != self->service)
            continue;
        ++owned;
        aside += state.phase == ExecutorPhase::SetAside || state.phase == ExecutorPhase::OnTrial;
    }
    return (aside + 1) * 2 <= owned;
}

} // namespace cicada
