#pragma once

/** \file
 * Finds room in other cells by asking their owners. A question names a step's demand and goes to a bounded number of
 * cells, so what is exchanged does not grow with jobs, workers or cells.
 */

#include "CellDirectory.h"
#include "PeerBus.h"
#include "RequestNumbers.h"
#include "RoomFinder.h"

#include "absl/container/btree_map.h"

namespace cicada {

class Cell;

/** Used on the decision thread only. */
class CellRoomFinder final : public RoomFinder {
public:
    struct Parts {
        CellDirectory& directory;
        PeerBus& peers;
        TimerQueue& timers;
        EventLog& log;
        /** The cell if this entry owns it, else null. */
        std::function<Cell*(uint32_t)> cellOf;
    };

    explicit CellRoomFinder(Parts parts);
    void find(uint32_t cell, RoomQuery query, absl::AnyInvocable<void(std::optional<uint32_t>)> done) override;

private:
    struct Search {
        uint32_t tasks = 1;
        size_t open = 0;
        uint64_t mostRoom = 0;
        std::optional<uint32_t> best;
        absl::AnyInvocable<void(std::optional<uint32_t>)> done;
    };

    void ask(uint64_t number, uint32_t cell, const RoomQuery& query);
    void handleQuestion(const std::string& from, absl::string_view bytes);
    void handleAnswer(absl::string_view bytes);
    /** Takes note of a cell's room, in tasks; without a value it is not known. */
    void record(uint64_t number, uint32_t cell, std::optional<uint64_t> room);
    void finish(uint64_t number);

    Parts m_parts;
    RequestNumbers m_numbers;
    absl::btree_map<uint64_t, Search> m_searches;
    /** The cell with which the next search begins, so that all are asked in turn. */
    uint32_t m_nextCell = 0;
};

} // namespace cicada
