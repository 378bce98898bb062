#pragma once

/** \file
 * Counts the own slots that long runs hold. A run may be known to be long when it starts; otherwise it is recognised as
 * long only while it runs, once it takes longer than is usual for its kind.
 */

#include "Clock.h"
#include "SlotLedger.h"

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include <string>

namespace cicada {

/** Tracks the runs on own slots. Used on the decision thread only. */
class LongRunTracker {
public:
    /** Records the start of a run. Unless `isLong`, it is suspected to be long from `suspectAt` on. */
    void begin(uint64_t grantId, absl::string_view service, bool isLong, Instant suspectAt);
    void end(uint64_t grantId);
    /** Slots held by runs known or suspected to be long. */
    uint32_t longRuns(absl::string_view service) const;
    void tick(Instant now);
    /** Removes the runs whose slots the ledger has freed already. */
    void reconcile(const SlotLedger& ledger);

private:
    struct Run {
        std::string service;
        bool isLong = false;
        Instant suspectAt;
    };

    absl::flat_hash_map<uint64_t, Run> m_runs;
    absl::btree_set<std::pair<Instant, uint64_t>> m_suspects;
    absl::flat_hash_map<std::string, uint32_t> m_longRuns;
};

} // namespace cicada
