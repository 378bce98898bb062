#include "CellRoomFinder.h"

#include "Cell.h"
#include "Pack.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr const char* questionService = "room.ask";
    constexpr const char* answerService = "room.reply";
    constexpr uint32_t maxAskedCells = 8;
    constexpr absl::Duration answerTimeout = absl::Milliseconds(500);

} // namespace

CellRoomFinder::CellRoomFinder(Parts parts)
    : m_parts(std::move(parts))
{
    m_parts.peers.handle(questionService,
        [this](absl::string_view from, absl::string_view bytes) { handleQuestion(std::string(from), bytes); });
    m_parts.peers.handle(answerService, [this](absl::string_view, absl::string_view bytes) { handleAnswer(bytes); });
}

void CellRoomFinder::find(uint32_t cell, RoomQuery query, absl::AnyInvocable<void(std::optional<uint32_t>)> done)
{
    const uint32_t cells = m_parts.directory.cellCount();
    const uint64_t number = m_numbers.next();
    std::vector<uint32_t> asked;
    for (uint32_t i = 0; i < cells && asked.size() < maxAskedCells; ++i) {
        const uint32_t other = (m_nextCell + i) % cells;
        if (other != cell)
            asked.push_back(other);
    }
    m_nextCell = cells == 0 ? 0 : (m_nextCell + maxAskedCells) % cells;
    m_searches.emplace(number, Search { query.tasks, asked.size(), 0, std::nullopt, std::move(done) });
    m_parts.timers.after(asked.empty() ? absl::ZeroDuration() : answerTimeout, [this, number] { finish(number); });
    for (const uint32_t other : asked)
        ask(number, other, query);
}

void CellRoomFinder::ask(uint64_t number, uint32_t cell, const RoomQuery& query)
{
    if (Cell* own = m_parts.cellOf(cell)) {
        const uint64_t room = own->roomFor(query);
        return m_parts.timers.after(absl::ZeroDuration(), [this, number, cell, room] { record(number, cell, room); });
    }
    const CellRow* row = m_parts.directory.ownerOf(cell);
    const bool wasSent = row
        && m_parts.peers.send(row->owner.name, questionService,
            Internal::packFields(number, cell, query.service, query.requiredLabel, query.demand.cpuMillis,
                query.demand.memoryMiB, query.demand.accelerators, query.tasks, query.maxPerWorker));
    if (!wasSent)
        m_parts.timers.after(absl::ZeroDuration(), [this, number, cell] { record(number, cell, std::nullopt); });
}

void CellRoomFinder::handleQuestion(const std::string& from, absl::string_view bytes)
{
    uint64_t number = 0;
    uint32_t cell = 0;
    RoomQuery query;
    if (!Internal::unpackFields(bytes, "question for room", number, cell, query.service, query.requiredLabel,
            query.demand.cpuMillis, query.demand.memoryMiB, query.demand.accelerators, query.tasks,
            query.maxPerWorker)) {
        m_parts.log.write("peer-message-malformed", "from", from, "service", questionService);
        return;
    }
    Cell* own = m_parts.cellOf(cell);
    const uint64_t room = own ? own->roomFor(query) : 0;
    m_parts.peers.send(from, answerService, Internal::packFields(number, cell, room));
}

void CellRoomFinder::handleAnswer(absl::string_view bytes)
{
    uint64_t number = 0;
    uint32_t cell = 0;
    uint64_t room = 0;
    if (!Internal::unpackFields(bytes, "answer on room", number, cell, room)) {
        m_parts.log.write("peer-message-malformed", "service", answerService);
        return;
    }
    record(number, cell, room);
}

void CellRoomFinder::record(uint64_t number, uint32_t cell, std::optional<uint64_t> room)
{
    const auto found = m_searches.find(number);
    if (found == m_searches.end())
        return;
    Search& search = found->second;
    if (room && *room >= search.tasks && *room > search.mostRoom) {
        search.mostRoom = *room;
        search.best = cell;
    }
    if (--search.open == 0)
        finish(number);
}

void CellRoomFinder::finish(uint64_t number)
{
    const auto found = m_searches.find(number);
    if (found == m_searches.end())
        return;
    Search search = std::move(found->second);
    m_searches.erase(found);
    search.done(search.best);
}

} // namespace cicada
