#pragma once

/** \file
 * What the owner's side of a cell is made with: its interfaces to the rest of the entry, its limits, and its term.
 */

#include "AccountQuota.h"
#include "Advisor.h"
#include "ClientAccount.h"
#include "CrashVerdict.h"
#include "EventLog.h"
#include "Metrics.h"
#include "RoomFinder.h"
#include "TimerQueue.h"
#include "TransactionalStore.h"
#include "WorkerOrders.h"

#include <functional>
#include <memory>
#include <string>

namespace cicada {

/** Limits set by the platform, and values derived from them. */
struct CellBounds {
    /** The maximum lease that a worker grants. */
    absl::Duration maxLease = absl::Seconds(6);
    /** How long the end of a job can be queried. */
    absl::Duration endedRetention = absl::Seconds(120);
    CrashLimits crashes;
};

/** One entry's term as the owner of a cell. */
struct CellTerm {
    uint32_t cell = 0;
    /** Number of cells in total; a worker's rack determines its cell. */
    uint32_t cells = 1;
    /** The cell's row and the revision under which this entry holds it, which is also the fencing token. */
    std::string row;
    uint64_t token = 0;
};

/** What a cell works with. All of it must outlive the cell. */
struct CellParts {
    TransactionalStore& store;
    WorkerOrders& orders;
    WorkerRoster& roster;
    AdvisorSlots& advisorSlots;
    RoomFinder& rooms;
    TimerQueue& timers;
    EventLog& log;
    Metrics& metrics;
    CellBounds bounds;
    /** The current policy of a queue, or null when the queue is no longer in the configuration. */
    std::function<const QueuePolicy*(const std::string& queue)> policyOf;
    /** Another entry owns the cell: this object must be destroyed, but not within the call. */
    std::function<void(const std::string& why)> onSuperseded;
    /** What accounts may have allocated in this cell. */
    std::shared_ptr<const AccountQuota> quota;
    /** The client account in force, or null; empty where there are no accounts. */
    std::function<const ClientAccount*(const std::string& account)> accountOf = nullptr;
    /** Whether the configuration has been read; until then the accounts' limits are not known. Empty for always.
     */
    std::function<bool()> areAccountsKnown = nullptr;
    /** The quota of an account holds up a step. */
    std::function<void()> onMoreQuotaWanted = nullptr;
};

} // namespace cicada
