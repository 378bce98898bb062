#pragma once

/** \file
 * The metrics of client accounts. Their number of series is bounded: the first accounts seen have a series of their
 * own, all others share one.
 */

#include "AccountUsage.h"
#include "Metrics.h"

#include "absl/container/btree_map.h"

namespace cicada {

/** Publishes what the accounts have allocated through this entry's cells. Not thread-safe. */
class AccountMetrics {
public:
    explicit AccountMetrics(Metrics& metrics)
        : m_metrics(metrics)
    {
    }
    /** Sets the gauges to the sums over these cells; accounts without allocations have 0. */
    void publish(absl::Span<const AccountUsage* const> cells);

    static constexpr size_t maxNames = 50;

private:
    const std::string& labelOf(const std::string& account);

    Metrics& m_metrics;
    /** The label of each account with a series of its own. */
    absl::flat_hash_map<std::string, std::string> m_labels;
};

} // namespace cicada
