#pragma once

/** \file
 * The simplest ownership: every entry computes the owner of a group from the list of members. It is exact only while
 * all entries see the same list, so it serves as the baseline for comparison with OwnershipTable.
 */

#include "BackEnds.h"
#include "Membership.h"
#include "Ownership.h"

#include "absl/container/flat_hash_map.h"

namespace cicada {

/** Ownership by highest random weight among the members of the group's region. */
class HashedOwnership final : public Ownership {
public:
    /** All arguments must outlive the ownership. */
    HashedOwnership(const Settings&, Membership&, BackEnds&, const Clock&);

    std::optional<Term> term(absl::string_view group) const override;
    std::string owner(absl::string_view group) const override;
    void onChange(Observer observer) override { m_observers.push_back(std::move(observer)); }

private:
    void recompute();
    void notify(const absl::flat_hash_map<std::string, std::string>& before);

    const Settings& m_settings;
    Membership& m_membership;
    BackEnds& m_backEnds;
    const Clock& m_clock;
    absl::flat_hash_map<std::string, std::string> m_owners;
    std::vector<Observer> m_observers;
};

} // namespace cicada
