#include "OwnerHistory.h"

#include <algorithm>

namespace cicada {

namespace {

    /** Changes count as recent for this long. It exceeds the longest stay, so that each move by choice is remembered at
     * the next one. */
    constexpr absl::Duration memory = absl::Seconds(60);
    /** How long a cell does not go back to a process that gave it up. */
    constexpr absl::Duration returnDelay = absl::Seconds(20);

} // namespace

void OwnerHistory::record(uint32_t cell, const EntryRecord& owner, Instant now)
{
    std::vector<Term>& terms = m_terms[cell];
    if (!terms.empty() && terms.back().owner.name == owner.name) {
        terms.back().owner = owner;
        return;
    }
    terms.push_back({ owner, now });
    // The term that a change ended stays as long as the change is recent.
    while (terms.size() > 2 && now - terms[1].since > memory)
        terms.erase(terms.begin());
}

bool OwnerHistory::mayMove(uint32_t cell, Instant now) const
{
    const auto found = m_terms.find(cell);
    if (found == m_terms.end())
        return true;
    const std::vector<Term>& terms = found->second;
    absl::Duration stay = minStay;
    for (size_t i = 1; i + 1 < terms.size() && stay < maxStay; ++i) {
        if (now - terms[i].since < memory)
            stay = std::min(maxStay, stay * 2);
    }
    return now - terms.back().since >= stay;
}

bool OwnerHistory::hasGivenUp(uint32_t cell, const EntryRecord& entry, Instant now) const
{
    const auto found = m_terms.find(cell);
    if (found == m_terms.end())
        return false;
    const std::vector<Term>& terms = found->second;
    for (size_t i = 0; i + 1 < terms.size(); ++i) {
        if (terms[i].owner.isSameIncarnation(entry) && now - terms[i + 1].since < returnDelay)
            return true;
    }
    return false;
}

} // namespace cicada
