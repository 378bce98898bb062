#pragma once

/** \file
 * Exact ownership. One value in the store records which incarnation of which entry owns each group, and under which
 * epoch. A row is changed by its owner, which stops using the group before it requests the change and uses it again
 * only after it has read the outcome back; or, once the owner's incarnation has ended, by any entry, in favour of a
 * successor. Entries act on a row only while they hold authority, and an incarnation is ended only after its authority
 * has expired.
 */

#include "Authority.h"
#include "BackEnds.h"
#include "Ownership.h"
#include "OwnershipPlan.h"

namespace cicada {

/** Ownership by the table in the store. Used on the decision thread only. */
class OwnershipTable final : public Ownership {
public:
    /** All arguments must outlive the table. */
    OwnershipTable(const Settings&, Store&, Membership&, ConfigWatch&, BackEnds&, const Clock&, Authority&);

    std::optional<Term> term(absl::string_view group) const override;
    std::string owner(absl::string_view group) const override;
    void onChange(Observer observer) override { m_observers.push_back(std::move(observer)); }

    void tick(Instant now);

    /** Begins a planned stop: this entry hands over all groups it owns, then ends its own record. */
    void leave();
    /** The number of groups this entry still has to hand over; 0 when no other live entry could take them. */
    size_t groupsToHandOver() const;
    /** True once the stop begun by leave() is complete. */
    bool left() const { return m_leaving && m_authority.ended(); }

    /** The rows as last read. */
    const OwnershipRows& rows() const { return m_rows; }

private:
    /** A write of the table whose outcome has not been read back. */
    struct PendingWrite {
        uint64_t baseIndex = 0;
        /** The groups that the write hands over; not used while it is pending. */
        absl::btree_set<std::string> released;
        bool replied = false;
        Instant nextTry;
    };

    void handleTable(absl::Span<const StoreEntry>);
    void detectChange();
    void invalidatePlan();
    void updateOwned();
    void notify(absl::string_view group, uint64_t epoch, bool owned);
    void resolvePendingWrite(Instant now);
    void plan(Instant now);
    void write(const OwnershipMoves& moves, Instant now);
    void send(std::string value, Instant now);
    void removeEnded(Instant now);
    bool ownsGroups(const EntryId&) const;
    GroupRegions knownGroups() const;

    const Settings& m_settings;
    Store& m_store;
    Membership& m_membership;
    ConfigWatch& m_watch;
    BackEnds& m_backEnds;
    const Clock& m_clock;
    Authority& m_authority;

    OwnershipRows m_rows;
    uint64_t m_lastEpoch = 0;
    uint64_t m_index = 0;
    bool m_loaded = false;
    /** False while the members and the table come from different points in time, which a late snapshot may cause. */
    bool m_consistent = false;
    std::optional<PendingWrite> m_pending;
    /** The groups last reported to the observers as owned by this entry, with their epochs. */
    absl::btree_map<std::string, uint64_t> m_owned;
    /** The incarnation that owns them. */
    EntryId m_ownedBy;
    /** The members and groups that the spread depends on, as text, for detecting changes. */
    std::string m_view;
    Instant m_viewChangedAt = absl::ZeroDuration();
    /** Whether the current view has been evaluated and required no moves. */
    bool m_unownedPlanned = false;
    bool m_handoversPlanned = false;
    Instant m_nextPlan = absl::ZeroDuration();
    absl::btree_map<EntryId, Instant> m_endedSince;
    bool m_removing = false;
    bool m_leaving = false;
    std::vector<Observer> m_observers;
};

} // namespace cicada
