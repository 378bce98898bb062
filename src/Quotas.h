#pragma once

/** \file
 * Quotas limit the resources that a team's tasks may use at once. The quotas are one value in the store; the usage of
 * teams is reported between entries, so a team may exceed its quota by what several entries grant within one exchange.
 */

#include "Clock.h"
#include "ConfigWatch.h"
#include "Job.h"
#include "JobMessages.h"

#include "absl/container/flat_hash_map.h"

#include <string>

namespace cicada {

/** The quotas and their usage. Used on the decision thread only. */
class Quotas {
public:
    explicit Quotas(ConfigWatch& watch);

    /** Parses the stored value, {"team": {"cpuMillis": 1, "memoryMiB": 1, "accelerators": 0}}; on an error the
     * previous quotas remain in effect. */
    Result<void> set(absl::string_view json);
    /** Rejects a job that exceeds its team's quota even if nothing else runs. */
    Result<void> checkEverFits(const JobSpec&) const;
    /** Whether the team may use `demand` in addition to `usedHere` and to the usage that other entries reported. */
    bool allows(const std::string& team, const Resources& usedHere, const Resources& demand) const;
    /** Stores what another entry reported. */
    void recordPeerUsage(const std::string& entry, TeamDigest digest, Instant now);
    /** Drops reports that are older than digestLifetime. */
    void expire(Instant now);

    static constexpr absl::Duration digestLifetime = absl::Seconds(10);

private:
    struct PeerUsage {
        TeamDigest digest;
        Instant at;
    };
    absl::flat_hash_map<std::string, Resources> m_quotas;
    absl::flat_hash_map<std::string, PeerUsage> m_peerUsage;
};

} // namespace cicada
