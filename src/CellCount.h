#pragma once

/** \file
 * Determines the number of cells from the number of workers and the processors of a cell's owner. The number is written
 * to the store only once, at the first start of the system, because the cells of workers and of jobs are computed from
 * it.
 */

#include "EventLog.h"
#include "TimerQueue.h"
#include "TransactionalStore.h"

#include <functional>
#include <optional>

namespace cicada {

/** Used on the decision thread only. */
class CellCount {
public:
    struct Parts {
        TransactionalStore& store;
        TimerQueue& timers;
        EventLog& log;
        /** Calls back with the number of workers that the platform lists, or std::nullopt when it can't be read. */
        std::function<void(std::function<void(std::optional<size_t>)>)> countWorkers;
        /** Processors, or fraction of one, that a cell's owner may use. */
        double processors = 0;
    };

    explicit CellCount(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    /** 0 until the number is known. */
    uint32_t number() const { return m_number; }
    /** Applies the stored value; `bytes` is null when the key was deleted. */
    void applyStored(const std::string* bytes, uint64_t revision);
    /** Counts the workers and writes the number of cells, once this entry's delay has passed. `rank` is the entry's
     * position among the candidates, and `waited` how long it has been running. */
    void countIfDue(size_t rank, absl::Duration waited);

    static constexpr const char* key = "cicada/ctl/cells";
    static constexpr uint32_t maxCells = 4096;

private:
    void handleCount(std::optional<size_t> workers, absl::Duration waited);
    void write(size_t workers);

    Parts m_parts;
    uint32_t m_number = 0;
    bool m_isCounting = false;
    size_t m_countedWorkers = 0;
    Instant m_countedAt = absl::ZeroDuration() - absl::Hours(1);
};

} // namespace cicada
