#pragma once

/** \file
 * How many cells there are: as many as the workers need owners of this size. It is written once, at the first start, as
 * a worker's cell and a job's cell follow from it.
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
        /** Calls back with how many workers the platform lists, or with nothing when that can't be read. */
        std::function<void(std::function<void(std::optional<size_t>)>)> countWorkers;
        /** The owners' share of a processor, in processors. */
        double processors = 0;
    };

    explicit CellCount(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    /** 0 until it is known. */
    uint32_t number() const { return m_number; }
    /** Takes in the stored value; `bytes` is null when the key is gone. */
    void applyStored(const std::string* bytes, uint64_t revision);
    /** Counts and writes, if that is this entry's turn. `rank` is its place among the entries that could, and `waited`
     * how long it has been running. */
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
