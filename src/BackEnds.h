#pragma once

/** \file
 * The back ends known to this entry, from the platform's VM list. The list lags, so it is only a hint: it says where
 * back ends may be and which are leaving, and never that one is free or permanently gone.
 */

#include "Settings.h"

#include "absl/container/flat_hash_map.h"
#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cicada {

/** What a back end runs. */
enum class BackEndKind {
    /** Runs requests, each in one of its slots. */
    Executor,
    /** Runs tasks, each with its share of the processors, memory and accelerators. */
    Worker,
};

/** An amount of each resource of a worker. */
struct Resources {
    int64_t cpuMillis = 0;
    int64_t memoryMiB = 0;
    int64_t accelerators = 0;
};

/** One VM that takes work. */
struct BackEnd {
    std::string name;
    BackEndKind kind = BackEndKind::Executor;
    /** The service whose requests an executor runs; empty for a worker. */
    std::string service;
    Endpoint address;
    std::string region;
    std::string failureDomain;
    std::string rack;
    uint32_t slots = 0;
    Resources capacity;
    /** Leaving VMs get no new work. */
    bool leaving = false;

    /** The unit of ownership: a single executor, or all workers of a rack. */
    std::string group() const;
};

/** Parses the platform's VM list. Items that can't be parsed are left out and counted in `skipped`. */
Result<std::vector<BackEnd>> parseVmList(absl::string_view json, size_t& skipped);

/** All known back ends. Used on the decision thread only. */
class BackEnds {
public:
    /** Replaces the VM list, and notifies every observer if anything changed. */
    void update(std::vector<BackEnd> list);
    const BackEnd* find(absl::string_view name) const;
    absl::Span<const BackEnd> all() const { return m_list; }
    bool hasService(absl::string_view service) const;
    /** Incremented with each change of the list. */
    uint64_t version() const { return m_version; }
    void onChange(absl::AnyInvocable<void()> observer) { m_observers.push_back(std::move(observer)); }

private:
    std::vector<BackEnd> m_list;
    uint64_t m_version = 1;
    absl::flat_hash_map<std::string, size_t> m_byName;
    std::vector<absl::AnyInvocable<void()>> m_observers;
};

} // namespace cicada
