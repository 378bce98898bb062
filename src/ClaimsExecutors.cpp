#include "ClaimsExecutors.h"

namespace cicada {

ClaimsExecutors::ClaimsExecutors(BackEnds& backEnds, const Clock& clock, absl::Duration retention)
    : m_backEnds(backEnds)
    , m_clock(clock)
    , m_retention(retention)
{
    backEnds.onChange([this] { update(); });
    update();
}

void ClaimsExecutors::update()
{
    const Instant now = m_clock.now();
    for (auto& [address, known] : m_known) {
        if (known.listed)
            known.lastListedAt = now;
        known.listed = false;
    }
    for (const BackEnd& backEnd : m_backEnds.all()) {
        if (backEnd.kind == BackEndKind::Executor)
            m_known[toString(backEnd.address)] = { backEnd.service, backEnd.address, now, true };
    }
    absl::erase_if(
        m_known, [&](const auto& item) { return !item.second.listed && now - item.second.lastListedAt > m_retention; });
}

std::vector<Endpoint> ClaimsExecutors::addressesOf(absl::string_view service) const
{
    std::vector<Endpoint> addresses;
    for (const auto& [address, known] : m_known) {
        const bool isRecent = known.listed || m_clock.now() - known.lastListedAt <= m_retention;
        if (known.service == service && isRecent)
            addresses.push_back(known.address);
    }
    return addresses;
}

} // namespace cicada
