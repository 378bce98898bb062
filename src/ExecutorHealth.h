#pragma once

/** \file
 * Health checks by the owner of an executor, before and while it assigns runs to it. The owner ensures that the
 * executor refuses starts from the previous owner, that the runs in progress are accounted for, that a slot whose run's
 * end was lost is freed only when the executor confirms it, and that an executor that fails all runs, can't be reached
 * or is leaving gets no runs.
 */

#include "ExecutorProbe.h"
#include "SlotLedger.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <functional>
#include <string>

namespace cicada {

/** The state of an executor as seen by its owner. */
enum class ExecutorPhase {
    /** Newly owned: the runs in progress are not known yet. */
    Recovering,
    Live,
    /** It does not reply to its owner. */
    Unreachable,
    /** It failed nearly all recent runs, and gets none until its set-aside period is over. */
    SetAside,
    /** After the set-aside period it gets one run at a time until one succeeds. */
    OnTrial,
};

/** The phase as shown to operators. */
absl::string_view executorPhaseName(ExecutorPhase);

/** Tracks the health of all executors that this entry owns. Used on the decision thread only. */
class ExecutorHealth final : public ExecutorAvailability {
public:
    struct Parts {
        BackEnds& backEnds;
        Ownership& ownership;
        SlotLedger& ledger;
        ExecutorProbe& probe;
        const Clock& clock;
        /** Whether an operator planned to stop the back end. */
        std::function<bool(const BackEnd&)> stopPlanned;
        /** Called when slots may have become free. */
        std::function<void()> slotsFreed;
    };

    /** Everything in `parts` must outlive this object. */
    explicit ExecutorHealth(Parts parts);

    uint32_t usableSlots(const BackEnd& executor) const override;
    void report(absl::string_view executor, const RunReport& report) override;
    /** The phase of an own executor, or nothing if this entry doesn't own it. */
    std::optional<ExecutorPhase> phase(absl::string_view executor) const;
    void tick(Instant now);

    static constexpr absl::Duration probeInterval = absl::Seconds(2);
    static constexpr absl::Duration probeIntervalWhileUnavailable = absl::Milliseconds(300);
    /** Consecutive probes without a reply before the executor counts as unreachable. */
    static constexpr int maxMissedProbes = 2;
    /** An executor is set aside when this many of its last `verdictWindow` runs failed. */
    static constexpr size_t failuresToSetAside = 8;
    static constexpr size_t verdictWindow = 10;
    static constexpr absl::Duration initialSetAsideDuration = absl::Seconds(2);
    static constexpr absl::Duration maxSetAsideDuration = absl::Seconds(60);
    /** How long after a grant's startBy an executor that does not run it is queried about it. */
    static constexpr absl::Duration lostStartDelay = absl::Seconds(1);

private:
    struct State {
        std::string group;
        uint64_t epoch = 0;
        ExecutorPhase phase = ExecutorPhase::Recovering;
        bool probeInFlight = false;
        Instant nextProbe = absl::ZeroDuration();
        int missedProbes = 0;
        /** The results of the last runs as bits, the newest in the lowest bit; 1 is a failure. */
        uint32_t failures = 0;
        absl::Duration setAsideDuration = initialSetAsideDuration;
        Instant setAsideUntil = absl::ZeroDuration();
    };

    void handleOwnership(absl::string_view group, uint64_t epoch, bool owned);
    void handleBackEnds();
    void addOwned(const BackEnd& executor, uint64_t epoch);
    void removeOwned(absl::string_view executor);
    void startProbe(const BackEnd& executor, State& state, Instant now);
    void handleProbe(const std::string& executor, uint64_t epoch, Instant sentAt, const ProbeReply& reply);
    void handleMissedProbe(State& state);
    void recover(const BackEnd& executor, State& state, const ProbeReply& reply);
    void reconcile(const BackEnd& executor, Instant sentAt, const ProbeReply& reply);
    void resolveGrant(const BackEnd& executor, const SlotGrant& grant);
    bool mayBeSetAside(absl::string_view executor) const;

    Parts m_parts;
    absl::flat_hash_map<std::string, State> m_states;
    absl::flat_hash_set<uint64_t> m_resolvingGrants;
};

} // namespace cicada
