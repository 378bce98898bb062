#include "Quotas.h"

#include "Json.h"

#include "absl/strings/str_cat.h"

#include <glog/logging.h>

#include <limits>

namespace cicada {

namespace {

    constexpr int64_t unlimited = std::numeric_limits<int64_t>::max();

    std::string describe(const Resources& r)
    {
        return absl::StrCat(
            r.cpuMillis, " cpuMillis, ", r.memoryMiB, " memoryMiB and ", r.accelerators, " accelerators");
    }

} // namespace

Quotas::Quotas(ConfigWatch& watch)
{
    watch.subscribe("quotas", [this](absl::Span<const StoreEntry> entries) {
        auto result = set(entries.empty() ? "{}" : absl::string_view(entries[0].value));
        if (!result)
            LOG(WARNING) << cicada::describe(result.error());
    });
}

Result<void> Quotas::set(absl::string_view json)
{
    const Error error { ErrorKind::InvalidSettings,
        "The stored quotas cannot be parsed; the previous quotas remain in effect.",
        "Store an object of teams, each with cpuMillis, memoryMiB and accelerators." };
    absl::flat_hash_map<std::string, Resources> quotas;
    try {
        const auto document = Internal::Json::parse(json.begin(), json.end());
        for (const auto& [team, limit] : document.items())
            quotas[team] = { limit.value("cpuMillis", unlimited), limit.value("memoryMiB", unlimited),
                limit.value("accelerators", unlimited) };
    } catch (const Internal::Json::exception&) {
        return error;
    }
    m_quotas = std::move(quotas);
    return success();
}

Result<void> Quotas::checkEverFits(const JobSpec& spec) const
{
    auto quota = m_quotas.find(spec.team);
    if (quota == m_quotas.end())
        return success();
    Resources total;
    for (const TaskSpec& task : spec.tasks) {
        total = spec.gang ? total + task.demand : task.demand;
        if (!fits(total, quota->second))
            return Error { ErrorKind::InvalidRequest,
                absl::StrCat("The job exceeds the quota of team '", spec.team, "'."),
                absl::StrCat("The quota is ", describe(quota->second), "; request less, or have the quota raised.") };
    }
    return success();
}

bool Quotas::allows(const std::string& team, const Resources& usedHere, const Resources& demand) const
{
    auto quota = m_quotas.find(team);
    if (quota == m_quotas.end())
        return true;
    Resources used = usedHere + demand;
    for (const auto& [entry, peerUsage] : m_peerUsage) {
        for (const TeamUsage& usage : peerUsage.digest.teams) {
            if (usage.team == team)
                used = used + usage.used;
        }
    }
    return fits(used, quota->second);
}

void Quotas::recordPeerUsage(const std::string& entry, TeamDigest digest, Instant now)
{
    m_peerUsage[entry] = { std::move(digest), now };
}

void Quotas::expire(Instant now)
{
    absl::erase_if(m_peerUsage, [now](const auto& item) { return now - item.second.at > digestLifetime; });
}

} // namespace cicada
