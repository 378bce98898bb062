#pragma once

/** \file
 * Exchanges the reports and grants of AccountLimits.h between the owners of cells. Sends nothing without limited
 * accounts or with a single cell; between cells of this entry no message leaves the process.
 */

#include "AccountLimits.h"
#include "EventLog.h"
#include "PeerBus.h"
#include "TimerQueue.h"

#include "absl/container/btree_map.h"

#include <functional>
#include <memory>

namespace cicada {

/** The owner of a cell as its row says. */
struct CellOwner {
    /** Empty when the cell has no owner. */
    std::string entry;
    /** The row's revision; 0 when there is no row. */
    uint64_t token = 0;
};

/** This entry's view of the rows of all cells. */
class CellOwners {
public:
    virtual ~CellOwners() = default;
    /** 0 until it is known. */
    virtual uint32_t cellCount() const = 0;
    /** All changes of rows up to this revision of the store are known. */
    virtual uint64_t knownRevision() const = 0;
    virtual CellOwner ownerOf(uint32_t cell) const = 0;
};

/** Used on the decision thread only. */
class AccountLimitService {
public:
    struct Parts {
        const CellOwners& owners;
        PeerBus& peers;
        TimerQueue& timers;
        EventLog& log;
        /** The name of this entry. */
        std::string self;
        /** Null where there are no accounts. */
        AccountLookup accountOf;
        /** What the accounts use in a cell that this entry owns; null when it isn't known. */
        std::function<const AccountDemand*(uint32_t cell)> demandOf;
        /** The accounts may use more in this cell now. */
        std::function<void(uint32_t cell)> onMoreQuota;
    };

    /** Everything in `parts` must outlive the service. */
    explicit AccountLimitService(Parts parts);
    ~AccountLimitService();

    /** This entry owns the cell from now on, under this revision of its row. */
    void handleCellGained(uint32_t cell, uint64_t token);
    void handleCellLost(uint32_t cell);
    /** What the accounts may have allocated in a cell that this entry owns; null for other cells. It may be used after
     * the cell was lost, and doesn't change any more then. */
    std::shared_ptr<const AccountQuota> quotaOf(uint32_t cell) const;
    /** An account of the cell needs more; the report is sent without waiting for the interval. */
    void handleMoreWanted(uint32_t cell);

private:
    struct OwnedCell {
        std::shared_ptr<CellAccountLimits> limits;
        std::unique_ptr<AccountHolder> holder;
        bool isPollDue = false;
        Instant polledAt = -absl::InfiniteDuration();
        Instant askedAt = -absl::InfiniteDuration();
    };

    bool isActive() const;
    void scheduleTick();
    void tick();
    void poll(uint32_t cell);
    void updateHolder(AccountHolder& holder);
    void ask(uint32_t holderCell, OwnedCell& owned);
    void later(absl::Duration delay, absl::AnyInvocable<void()> function);
    template <typename Message> void send(const std::string& entry, absl::string_view service, const Message& message);
    template <typename Message>
    void receive(absl::string_view service, Result<Message> (*decode)(absl::string_view bytes));
    void handle(const std::string& from, const AccountQuestion& question);
    void handle(const std::string& from, const AccountReport& report);
    void handle(const std::string& from, const AccountGrant& grant);

    Parts m_parts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    absl::btree_map<uint32_t, OwnedCell> m_cells;
    bool m_isTicking = false;
};

} // namespace cicada
