#pragma once

/** \file
 * All executors on which an earlier attempt may have been started: those in the current VM list, and those that left it
 * recently. A run is known never to start only when every one of them has confirmed it.
 */

#include "BackEnds.h"
#include "Clock.h"

#include "absl/container/flat_hash_map.h"

#include <string>
#include <vector>

namespace cicada {

/** Executors by service, including recently departed ones. Used on the decision thread only. */
class ClaimsExecutors {
public:
    /** A departed executor is kept for `retention`. The other arguments must outlive this object. */
    ClaimsExecutors(BackEnds&, const Clock&, absl::Duration retention);

    /** Addresses of all executors that run, or recently ran, the service. */
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
    /** Keyed by address, because a name may reappear on another VM. */
    absl::flat_hash_map<std::string, KnownExecutor> m_known;
};

} // namespace cicada
