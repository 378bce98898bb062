#include "AccountMetrics.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace cicada {

namespace {

    const std::string sharedLabel = "other";

    std::string escaped(const std::string& name)
    {
        return absl::StrReplaceAll(name, { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } });
    }

} // namespace

const std::string& AccountMetrics::labelOf(const std::string& account)
{
    const auto found = m_labels.find(account);
    if (found != m_labels.end())
        return found->second;
    if (m_labels.size() >= maxNames)
        return sharedLabel;
    return m_labels[account] = escaped(account);
}

void AccountMetrics::publish(absl::Span<const AccountUsage* const> cells)
{
    absl::btree_map<std::string, int64_t> cpuMillis;
    for (const AccountUsage* cell : cells) {
        for (const auto& [account, total] : cell->totals())
            cpuMillis[labelOf(account)] += total.allocated.cpuMillis;
    }
    for (const auto& [account, label] : m_labels)
        cpuMillis.try_emplace(label, 0);
    if (m_labels.size() >= maxNames)
        cpuMillis.try_emplace(sharedLabel, 0);
    for (const auto& [label, millis] : cpuMillis)
        m_metrics.gauge(
            absl::StrCat("cicada_account_allocated_millis{account=\"", label, "\"}"), static_cast<double>(millis));
}

} // namespace cicada
