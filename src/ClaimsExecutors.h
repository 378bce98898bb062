#pragma once

/** \file
 * All executors on which an earlier attempt may have been started: those in the VM list now, and those that left it
 * lately. To say that a run never starts, every one of them must have confirmed it.
 */

#include "BackEnds.h"
#include "Clock.h"

#include "absl/container/flat_hash_map.h"

#include <string>
#include <vector>

namespace cicada {

/** Executors by service, also departed ones for a while. Used on the decision thread only. */
class ClaimsExecutors {
public:
    /** A departed executor is remembered for `retention`. The arguments must outlive this. */
    ClaimsExecutors(BackEnds&, const Clock&, absl::Duration retention);

    /** Addresses of all that run, or lately ran, the service. */
    std::vector<Endpoint> addressesOf(absl::string_view service) const;

private:
    struct KnownExecutor {
        std::string service;
        Endpoint address;
        Instant lastListedAt;
        bool listed = true;
    };

    void update();

    BackEnds& m_backEnds;
    const Clock& m_clock;
    const absl::Duration m_retention;
    /** By address: a name may come back on another VM. */
    absl::flat_hash_map<std::string, KnownExecutor> m_known;
};

} // namespace cicada
