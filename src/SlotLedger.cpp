#include "SlotLedger.h"

#include "absl/random/random.h"

namespace cicada {

SlotLedger::SlotLedger(const BackEnds& backEnds, const Ownership& ownership, const Clock& clock)
    : m_backEnds(backEnds)
    , m_ownership(ownership)
    , m_clock(clock)
{
    // Random, so that the end of a run under a grant of this entry's former incarnation frees nothing.
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
    const BackEnd* best = nullptr;
    uint32_t bestFree = 0;
    for (const BackEnd& backEnd : m_backEnds.all()) {
        if (backEnd.kind != BackEndKind::Executor || backEnd.service != service)
            continue;
        const uint32_t free = freeOn(backEnd);
        if (free > bestFree) {
            best = &backEnd;
            bestFree = free;
        }
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
    m_grants[grant.id] = grant;
    return grant;
}

void SlotLedger::finish(uint64_t grantId, const RunReport& report)
{
    auto it = m_grants.find(grantId);
    if (it == m_grants.end())
        return;
    if (m_availability)
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
}

void SlotLedger::forget(absl::string_view executor)
{
    absl::erase_if(m_grants, [executor](const auto& item) { return item.second.executor == executor; });
    m_inUse.erase(executor);
}

bool SlotLedger::release(uint64_t grantId)
{
    auto it = m_grants.find(grantId);
    if (it == m_grants.end())
        return false;
    --m_inUse[it->second.executor];
    m_grants.erase(it);
    return true;
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
