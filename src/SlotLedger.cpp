#include "SlotLedger.h"

#include "absl/random/random.h"

namespace cicada {

SlotLedger::SlotLedger(const BackEnds& backEnds, const Ownership& ownership, const Clock& clock)
    : m_backEnds(backEnds)
    , m_ownership(ownership)
    , m_clock(clock)
{
    // Random, so that reports about grants of this entry's previous incarnation free no slots.
    absl::BitGen generator;
    m_nextId = absl::Uniform<uint64_t>(generator) >> 1;
}

uint32_t SlotLedger::freeOn(const BackEnd& backEnd) const
{
    if (backEnd.leaving || !m_ownership.term(backEnd.group()))
        return 0;
    const uint32_t usable = m_availability ? m_availability->usableSlots(backEnd) : backEnd.slots;
    const uint32_t used = inUse(backEnd.name);
    return used < usable ? usable - used : 0;
}

std::optional<SlotGrant> SlotLedger::take(
    absl::string_view service, absl::string_view requestId, absl::string_view entry)
{
    refreshIndex();
    auto index = m_index.find(service);
    if (index == m_index.end())
        return std::nullopt;
    const BackEnd* best = nullptr;
    const auto& byFree = index->second.byFree;
    for (auto it = byFree.rbegin(); it != byFree.rend() && it->first > 0 && !best; ++it) {
        const BackEnd& backEnd = m_backEnds.all()[it->second];
        if (freeOn(backEnd) > 0)
            best = &backEnd;
    }
    if (!best)
        return std::nullopt;
    const Term term = *m_ownership.term(best->group());
    SlotGrant grant;
    grant.id = m_nextId++;
    grant.requestId = std::string(requestId);
    grant.entry = std::string(entry);
    grant.executor = best->name;
    grant.address = best->address;
    grant.epoch = term.epoch;
    grant.grantedAt = m_clock.now();
    grant.startBy = std::min(grant.grantedAt + startValidity, term.until);
    ++m_inUse[best->name];
    reindex(best->name);
    m_grants[grant.id] = grant;
    return grant;
}

void SlotLedger::finish(uint64_t grantId, const RunReport& report)
{
    auto it = m_grants.find(grantId);
    if (it == m_grants.end())
        return;
    if (m_availability && report.verdict != RunVerdict::Unused)
        m_availability->report(it->second.executor, report);
    if (report.verdict != RunVerdict::Unsettled)
        release(grantId);
}

void SlotLedger::adopt(const BackEnd& executor, absl::string_view requestId)
{
    for (const auto& [id, grant] : m_grants) {
        if (grant.executor == executor.name && grant.requestId == requestId)
            return;
    }
    SlotGrant grant;
    grant.id = m_nextId++;
    grant.requestId = std::string(requestId);
    grant.executor = executor.name;
    grant.address = executor.address;
    grant.grantedAt = m_clock.now();
    grant.startBy = grant.grantedAt;
    ++m_inUse[executor.name];
    m_grants[grant.id] = grant;
    reindex(executor.name);
}

void SlotLedger::forget(absl::string_view executor)
{
    absl::erase_if(m_grants, [executor](const auto& item) { return item.second.executor == executor; });
    m_inUse.erase(executor);
    invalidateIndex();
}

bool SlotLedger::release(uint64_t grantId)
{
    auto it = m_grants.find(grantId);
    if (it == m_grants.end())
        return false;
    const std::string executor = std::move(it->second.executor);
    m_grants.erase(it);
    --m_inUse[executor];
    reindex(executor);
    return true;
}

void SlotLedger::refreshIndex() const
{
    const Instant now = m_clock.now();
    const auto lifetime
        = std::max(indexLifetime, indexLifetimePerBackEnd * static_cast<double>(m_backEnds.all().size()));
    if (m_indexedVersion == m_backEnds.version() && now - m_indexedAt < lifetime)
        return;
    m_indexedVersion = m_backEnds.version();
    m_indexedAt = now;
    m_index.clear();
    const auto list = m_backEnds.all();
    for (size_t i = 0; i < list.size(); ++i) {
        const BackEnd& backEnd = list[i];
        if (backEnd.kind != BackEndKind::Executor || backEnd.leaving || !m_ownership.term(backEnd.group()))
            continue;
        ServiceIndex& index = m_index[backEnd.service];
        const uint32_t free = freeOn(backEnd);
        index.totals.slots += m_availability ? m_availability->usableSlots(backEnd) : backEnd.slots;
        index.totals.free += free;
        index.free[i] = free;
        index.byFree.insert({ free, i });
    }
}

void SlotLedger::reindex(absl::string_view executor)
{
    const BackEnd* backEnd = m_backEnds.find(executor);
    if (!backEnd || m_indexedVersion != m_backEnds.version())
        return;
    auto index = m_index.find(backEnd->service);
    if (index == m_index.end())
        return;
    auto& [byFree, freeByPosition, totals] = index->second;
    const auto position = static_cast<size_t>(backEnd - m_backEnds.all().data());
    auto listed = freeByPosition.find(position);
    if (listed == freeByPosition.end())
        return;
    const uint32_t free = freeOn(*backEnd);
    byFree.erase({ listed->second, position });
    byFree.insert({ free, position });
    totals.free += free;
    totals.free -= listed->second;
    listed->second = free;
}

SlotTotals SlotLedger::totals(absl::string_view service) const
{
    refreshIndex();
    auto index = m_index.find(service);
    return index == m_index.end() ? SlotTotals {} : index->second.totals;
}

const SlotGrant* SlotLedger::find(uint64_t grantId) const
{
    auto it = m_grants.find(grantId);
    return it == m_grants.end() ? nullptr : &it->second;
}

uint32_t SlotLedger::freeSlots(absl::string_view service) const
{
    uint32_t free = 0;
    for (const BackEnd& backEnd : m_backEnds.all()) {
        if (backEnd.kind == BackEndKind::Executor && backEnd.service == service)
            free += freeOn(backEnd);
    }
    return free;
}

uint32_t SlotLedger::inUse(absl::string_view executor) const
{
    auto it = m_inUse.find(executor);
    return it == m_inUse.end() ? 0 : it->second;
}

} // namespace cicada
