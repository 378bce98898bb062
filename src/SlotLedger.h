#pragma once

/** \file
 * The owner's account of the slots of its executors. A slot is taken when a start is granted and freed only when it
 * is known that the run ended or can't start any more.
 */

#include "BackEnds.h"
#include "Ownership.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <optional>
#include <string>
#include <vector>

namespace cicada {

/** One granted start on one slot. */
struct SlotGrant {
    uint64_t id = 0;
    std::string requestId;
    /** The entry that will send the start. */
    std::string entry;
    std::string executor;
    Endpoint address;
    uint64_t epoch = 0;
    Instant grantedAt = absl::ZeroDuration();
    /** After this the start may not be sent any more, on the owner's clock. */
    Instant startBy = absl::ZeroDuration();
};

/** Slots of the executors that this entry owns. Used on the decision thread only. */
class SlotLedger {
public:
    /** All arguments must outlive the ledger. */
    SlotLedger(const BackEnds&, const Ownership&, const Clock&);

    /** Takes a slot for a request of `service` on the least loaded executor, or nothing when none is free. */
    std::optional<SlotGrant> take(absl::string_view service, absl::string_view requestId, absl::string_view entry);
    /** Frees the slot; false when the grant is not known (any more). */
    bool release(uint64_t grantId);
    const SlotGrant* find(uint64_t grantId) const;
    /** Free slots of all own executors of a service that may be given work now. */
    uint32_t freeSlots(absl::string_view service) const;
    /** Slots in use on one executor. */
    uint32_t inUse(absl::string_view executor) const;
    const absl::flat_hash_map<uint64_t, SlotGrant>& grants() const { return m_grants; }

    /** How long a granted start may be on its way before it must not be sent. */
    static constexpr absl::Duration startValidity = absl::Milliseconds(500);

private:
    uint32_t freeOn(const BackEnd&) const;

    const BackEnds& m_backEnds;
    const Ownership& m_ownership;
    const Clock& m_clock;
    absl::flat_hash_map<uint64_t, SlotGrant> m_grants;
    absl::flat_hash_map<std::string, uint32_t> m_inUse;
    uint64_t m_nextId = 1;
};

} // namespace cicada
