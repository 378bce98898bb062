#pragma once

/** \file
 * The owner's account of the slots of its executors. A slot is taken when a start is granted and freed only when it is
 * known that the run ended or can no longer start.
 */

#include "BackEnds.h"
#include "Ownership.h"
#include "RunReport.h"

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <optional>
#include <string>
#include <vector>

namespace cicada {

/** Limits the slots of an executor that may be used now: fewer than it has while it is being recovered, can't be
 * reached, is set aside or is leaving. Used on the decision thread only. */
class ExecutorAvailability {
public:
    virtual ~ExecutorAvailability() = default;
    virtual uint32_t usableSlots(const BackEnd& executor) const = 0;
    /** Records the result of a run on the executor. */
    virtual void report(absl::string_view executor, const RunReport& report) = 0;
};

/** One granted start on one slot. */
struct SlotGrant {
    uint64_t id = 0;
    std::string requestId;
    /** The entry that will send the start; empty for a run that this owner found running when it took over. */
    std::string entry;
    std::string executor;
    Endpoint address;
    uint64_t epoch = 0;
    Instant grantedAt = absl::ZeroDuration();
    /** The start must not be sent after this, on the owner's clock. */
    Instant startBy = absl::ZeroDuration();
};

/** All slots of a service at one owner, and the free ones among them. */
struct SlotTotals {
    uint32_t slots = 0;
    uint32_t free = 0;
};

/** Slots of the executors that this entry owns. Used on the decision thread only. */
class SlotLedger {
public:
    /** All arguments must outlive the ledger. */
    SlotLedger(const BackEnds&, const Ownership&, const Clock&);

    /** Takes a slot for a request of `service` on the least loaded executor; nothing if none is free. */
    std::optional<SlotGrant> take(absl::string_view service, absl::string_view requestId, absl::string_view entry);
    /** Records the end of a run. The slot is freed, unless it is not known how the run ended. */
    void finish(uint64_t grantId, const RunReport& report);
    /** Frees the slot; returns false if the grant is unknown or already released. */
    bool release(uint64_t grantId);
    /** Takes a slot for a run that was found on the executor, unless it is accounted for already. */
    void adopt(const BackEnd& executor, absl::string_view requestId);
    /** Removes all grants on an executor that this entry no longer owns, or that is gone. */
    void forget(absl::string_view executor);
    /** From now on `availability` limits the slots; it must outlive the ledger. */
    void setAvailability(ExecutorAvailability& availability)
    {
        m_availability = &availability;
        invalidateIndex();
    }
    /** Makes a change of the availability effective at once instead of after `indexLifetime`. */
    void invalidateIndex() { m_indexedAt = -absl::InfiniteDuration(); }
    const SlotGrant* find(uint64_t grantId) const;
    /** Free slots of all own executors of a service that may be given work now. */
    uint32_t freeSlots(absl::string_view service) const;
    /** The free slots and all slots of these executors, from the index: in constant time, but a change of ownership
     * takes effect only after `indexLifetime`. */
    SlotTotals totals(absl::string_view service) const;
    /** Slots in use on one executor. */
    uint32_t inUse(absl::string_view executor) const;
    const absl::flat_hash_map<uint64_t, SlotGrant>& grants() const { return m_grants; }

    /** How long after a grant its start may be sent. */
    static constexpr absl::Duration startValidity = absl::Milliseconds(500);

    /** The maximum age of the index; it grows with the number of back ends to limit the cost of rebuilding it. */
    static constexpr absl::Duration indexLifetime = absl::Milliseconds(50);
    static constexpr absl::Duration indexLifetimePerBackEnd = absl::Microseconds(400);

private:
    /** The executors of a service that may be given work, by free slots and then by position in the list. */
    struct ServiceIndex {
        absl::btree_set<std::pair<uint32_t, size_t>> byFree;
        /** The free slots of each executor as in `byFree`, by its position in the list. */
        absl::flat_hash_map<size_t, uint32_t> free;
        SlotTotals totals;
    };

    uint32_t freeOn(const BackEnd&) const;
    void refreshIndex() const;
    void reindex(absl::string_view executor);

    const BackEnds& m_backEnds;
    const Ownership& m_ownership;
    const Clock& m_clock;
    absl::flat_hash_map<uint64_t, SlotGrant> m_grants;
    absl::flat_hash_map<std::string, uint32_t> m_inUse;
    ExecutorAvailability* m_availability = nullptr;
    uint64_t m_nextId;
    /** Only a cache to speed up the search: each candidate is checked again by freeOn() before it is taken. */
    mutable absl::flat_hash_map<std::string, ServiceIndex> m_index;
    mutable Instant m_indexedAt = -absl::InfiniteDuration();
    mutable uint64_t m_indexedVersion = 0;
};

} // namespace cicada
