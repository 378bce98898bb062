#pragma once

/** \file
 * Entries that split accounts' limits, on a paused clock: the real AccountLimitService over fakes of the links, the
 * rows and the cells' demand. Amounts are whole processors of one account, "large".
 */

#include "AccountLimitService.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cicada::test {

class AccountLimitsWorld {
public:
    /** Cell i belongs to entry i at first; all rows are known to all entries. */
    AccountLimitsWorld(uint32_t entries, uint32_t cells, int64_t limit, uint64_t seed = 1);
    ~AccountLimitsWorld();

    /** Advances time; in each step, owners start what their cells want and may. */
    void run(absl::Duration by);
    /** What the cell wants to have running in all; runs beyond that end, and no others. */
    void want(uint32_t cell, int64_t processors) { m_cells[cell].wanted = processors; }
    /** Less than all that is wanted is of no use to the cell. */
    void setGang(uint32_t cell, bool isGang) { m_cells[cell].isGang = isGang; }
    void setLimit(size_t entry, int64_t limit);
    void setLimits(int64_t limit);
    /** The entry takes the row; none gives it up. */
    void take(uint32_t cell, std::optional<size_t> entry);
    void setPaused(size_t entry, bool isPaused);
    /** A cut entry reaches no other one. */
    void setCut(size_t entry, bool isCut);
    /** An entry whose rows are stale learns of no rows but its own. */
    void setStale(size_t entry, bool isStale);
    void setFaults(double loss, absl::Duration maxDelay);

    int64_t runs(uint32_t cell) const;
    int64_t allRuns() const;
    uint32_t holderCell() const;
    std::optional<size_t> ownerOf(uint32_t cell) const { return m_cells[cell].owner; }
    uint64_t messages() const { return m_messages; }
    /** Starts when more was running than any limit in force since the start of a run that goes on. */
    int64_t excessStarts() const { return m_excessStarts; }
    std::mt19937_64& random() { return m_random; }

private:
    struct Entry;
    struct Run {
        uint64_t token = 0;
        int64_t highestLimit = 0;
    };
    struct CellState {
        std::optional<size_t> owner;
        uint64_t token = 0;
        int64_t wanted = 0;
        bool isGang = false;
        std::vector<Run> runs;
    };
    struct Message {
        size_t from = 0;
        size_t to = 0;
        std::string service;
        std::string bytes;
    };

    void deliver();
    void learnRows(Entry& entry);
    void endRuns(uint32_t cell);
    void startRuns(size_t entry, uint32_t cell, uint64_t token);
    void checkStart();
    int64_t highestLimit() const;
    CellOwner rowOf(uint32_t cell) const;

    ManualClock m_clock;
    std::mt19937_64 m_random;
    std::vector<CellState> m_cells;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::multimap<Instant, Message> m_links;
    uint64_t m_revision = 0;
    uint64_t m_messages = 0;
    int64_t m_excessStarts = 0;
    double m_loss = 0;
    absl::Duration m_maxDelay = absl::Milliseconds(2);
};

} // namespace cicada::test
