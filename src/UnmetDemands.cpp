#include "UnmetDemands.h"

#include "Job.h"

#include <algorithm>

namespace cicada {

void UnmetDemands::add(absl::string_view service, absl::string_view label, const Resources& demand)
{
    std::vector<Resources>& demands = m_demands[{ std::string(service), std::string(label) }];
    demands.erase(
        std::remove_if(demands.begin(), demands.end(), [&](const Resources& larger) { return fits(demand, larger); }),
        demands.end());
    demands.push_back(demand);
}

bool UnmetDemands::includes(absl::string_view service, absl::string_view label, const Resources& demand) const
{
    const auto found = m_demands.find(std::make_pair(std::string(service), std::string(label)));
    return found != m_demands.end()
        && std::any_of(
            found->second.begin(), found->second.end(), [&](const Resources& unmet) { return fits(unmet, demand); });
}

} // namespace cicada
