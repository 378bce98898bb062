#pragma once

/** \file
 * Quotas of teams: how much a team's tasks may take at once. The quotas are one value in the store; what teams use is
 * reported between entries, so a team may exceed its quota by what several entries grant within one exchange.
 */

#include "Clock.h"
#include "ConfigWatch.h"
#include "Job.h"
#include "JobMessages.h"

#include "absl/container/flat_hash_map.h"

#include <string>

namespace cicada {

/** Quotas and their use. Used on the decision thread only. */
class Quotas {
public:
    explicit Quotas(ConfigWatch& watch);

    /** Reads the stored value, {"team": {"cpuMillis": 1, "memoryMiB": 1, "accelerators": 0}}; on an error the
     * quotas known before stay in force. */
    Result<void> set(absl::string_view json);
    /** Refuses a job that its team's quota could never hold. */
    Result<void> checkEverFits(const JobSpec&) const;
    /** Whether the team may take `demand` on top of `usedHere` and of what the other entries told. */
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
