#pragma once

/** \file
 * The demand for one service: its kinds of work with their wait bounds, which of them are long, and how many slots each
 * urgency class needs.
 */

#include "OfferedLoad.h"
#include "Profile.h"

#include "absl/container/btree_map.h"

#include <array>
#include <vector>

namespace cicada {

/** The demand for one service at this entry. Used on the decision thread only. */
class ServiceDemand {
public:
    /** Records a request of the profile, whose run takes about `typicalRun`. Returns true if it is long work: its run
     * takes longer than the minimum wait bound in use, so that any request waiting behind it would be late. Work that
     * may be preempted counts as long work. */
    bool recordRequest(const Profile& profile, absl::Duration typicalRun, Instant now);
    /** The minimum wait bound in use; runs that take longer are long work. */
    absl::Duration minWaitBound() const { return m_minWaitBound; }
    /** Counts an admitted request towards the load of its class. */
    void recordAdmitted(bool isLong, int urgency, absl::Duration run, Instant now);
    /** The slots needed by long or short work that is more urgent than `urgency`, or less urgent. */
    double loadAbove(bool isLong, int urgency, Instant now) const;
    double loadBelow(bool isLong, int urgency, Instant now) const;
    /** Removes the wait bounds of profiles that have not been used for `profileLifetime`. */
    void tick(Instant now);

    static constexpr absl::Duration profileLifetime = absl::Seconds(60);

private:
    static constexpr size_t urgencyClasses = 10;
    static constexpr absl::Duration loadWindow = absl::Seconds(1);
    struct Bound {
        absl::Duration maxWait;
        Instant lastUsed;
    };

    absl::btree_map<std::string, Bound> m_bounds;
    absl::Duration m_minWaitBound = absl::InfiniteDuration();
    Instant m_nextScan = absl::ZeroDuration();
    std::array<std::vector<OfferedLoad>, 2> m_loads { std::vector<OfferedLoad>(urgencyClasses, OfferedLoad(loadWindow)),
        std::vector<OfferedLoad>(urgencyClasses, OfferedLoad(loadWindow)) };
};

} // namespace cicada
