#pragma once

/** \file
 * Counters, gauges and distributions of this process, published in the text format that scrapers read.
 */

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <memory>
#include <string>

namespace cicada {

/** All metrics of a process. A series is named with its labels, as in `cicada_requests{outcome="ran"}`. Thread-safe. */
class Metrics {
public:
    Metrics();
    ~Metrics();

    /** Adds to a counter. */
    void count(absl::string_view series, uint64_t by = 1);
    /** Sets a gauge. */
    void gauge(absl::string_view series, double value);
    /** Adds one value to a distribution; its count, sum, median and 99th percentile are published. */
    void observe(absl::string_view series, double value);
    /** The current value of a counter; 0 if it was never incremented. */
    uint64_t counter(absl::string_view series) const;
    /** All series as text, one per line, sorted. */
    std::string text() const;

private:
    struct Distribution;

    mutable absl::Mutex m_mutex;
    absl::flat_hash_map<std::string, uint64_t> m_counters ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<std::string, double> m_gauges ABSL_GUARDED_BY(m_mutex);
    absl::flat_hash_map<std::string, std::unique_ptr<Distribution>> m_distributions ABSL_GUARDED_BY(m_mutex);
};

} // namespace cicada
