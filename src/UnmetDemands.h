#pragma once

/** \file
 * What no worker has room for at the moment. A task that demands at least as much as one that found no room need not be
 * tried on the workers, which keeps a round of placement short when much more waits than fits.
 */

#include "Workload.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

#include <string>
#include <utility>
#include <vector>

namespace cicada {

/** The least demands that found no room, for each service and required label. Not thread-safe. */
class UnmetDemands {
public:
    /** No usable worker of the service with the label, which may be empty, has room for this. */
    void add(absl::string_view service, absl::string_view label, const Resources& demand);
    /** Whether the demand, or one that is no larger in any resource, was added. */
    bool includes(absl::string_view service, absl::string_view label, const Resources& demand) const;
    void clear() { m_demands.clear(); }

private:
    absl::flat_hash_map<std::pair<std::string, std::string>, std::vector<Resources>> m_demands;
};

} // namespace cicada
