#pragma once

/** \file
 * How much work waits in a cell for room, as sums that are kept up to date while steps come and go: admission control
 * asks at each arrival, also at a load peak with thousands of waiting steps.
 */

#include "StepOrder.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

#include <string>
#include <utility>

namespace cicada {

/** A step's tasks that were tried and for which there was no room. */
struct WaitingItem {
    StepKey key;
    std::string service;
    /** Empty for none; such work together counts as one account. */
    std::string account;
    double weight = 1;
    /** Processors in thousandths of a core times the estimated run time in milliseconds, of all waiting tasks. */
    double work = 0;
};

/** Used on the decision thread only. */
class WaitingWork {
public:
    void add(const WaitingItem&);
    /** Removes an item as it was added. */
    void remove(const WaitingItem&);
    /** Whether owed work of the service waits for room. */
    bool hasOwed(absl::string_view service) const;
    /** The work that gets capacity before the item would, which does not wait yet: a lower bound, as work that arrives
     * later may go before it, too. */
    double aheadOf(const WaitingItem& item) const;

private:
    /** The work of one account at one urgency and priority, by latest start in whole intervals. */
    struct Flow {
        double weight = 1;
        double total = 0;
        absl::btree_map<int64_t, std::pair<double, size_t>> byLatestStart;

        double before(Instant latestStart) const;
    };
    using Level = absl::flat_hash_map<std::string, Flow>;
    using Levels = absl::btree_map<std::pair<StepUrgency, uint32_t>, Level>;

    static int64_t intervalOf(Instant latestStart);
    static double totalOf(const Level& level);
    /** What goes before the item at its own urgency and priority. */
    static double aheadInLevel(const Level& level, const WaitingItem& item);

    absl::flat_hash_map<std::string, Levels> m_services;
};

} // namespace cicada
