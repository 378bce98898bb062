#include "GangReservation.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace cicada {

namespace {

    /** Gangs that fit twice over must start. How many unknown workers are allowed is an estimate, so less room is asked
     * for here. */
    constexpr double minSpareRoom = 1.6;
    /** Room that is free only later is not waited for. */
    constexpr absl::Duration maxWaitForRoom = absl::Seconds(10);
    /** So many times the width should be known to be allowed, as some of the runs there last longer than estimated. */
    constexpr double knownRoomFactor = 1.6;
    /** A gang that begins here later than this may be transferred, as that takes no longer. */
    constexpr absl::Duration maxStayForRoom = absl::Seconds(3);
    /** The policy service accepts no more in a request. */
    constexpr size_t maxWorkersPerRequest = 100;

    uint64_t roomAt(const GangWorker& worker, Instant at)
    {
        uint64_t tasks = 0;
        for (const RoomFrom& room : worker.rooms) {
            if (room.from <= at)
                tasks = room.tasks;
        }
        return tasks;
    }

    uint64_t roomAt(absl::Span<const GangWorker> workers, Instant at)
    {
        uint64_t tasks = 0;
        for (const GangWorker& worker : workers)
            tasks += roomAt(worker, at);
        return tasks;
    }

    /** When the whole gang fits on those of its workers whose tickets, if needed, are valid until `minTicket`. */
    std::optional<Instant> earliestBegin(const GangState& state, std::optional<Instant> minTicket)
    {
        std::vector<std::pair<Instant, uint64_t>> gains;
        for (const GangWorker& worker : state.allowed) {
            if (minTicket && worker.ticketUntil < *minTicket)
                continue;
            uint64_t before = 0;
            for (const RoomFrom& room : worker.rooms) {
                gains.emplace_back(std::max(room.from, state.now), room.tasks - before);
                before = room.tasks;
            }
        }
        std::sort(gains.begin(), gains.end());
        uint64_t tasks = 0;
        for (const auto& [from, gain] : gains) {
            tasks += gain;
            if (tasks >= state.width)
                return from;
        }
        return std::nullopt;
    }

    /** Workers that together have room for the gang at `begin`, those first that have it earliest. */
    std::vector<std::pair<size_t, uint64_t>> chooseWorkers(
        const GangState& state, Instant begin, std::optional<Instant> minTicket)
    {
        std::vector<std::tuple<Instant, size_t, uint64_t>> candidates;
        for (size_t i = 0; i < state.allowed.size(); ++i) {
            const GangWorker& worker = state.allowed[i];
            const uint64_t tasks = roomAt(worker, begin);
            if (tasks == 0 || (minTicket && worker.ticketUntil < *minTicket))
                continue;
            const auto isReached = [tasks](const RoomFrom& room) { return room.tasks >= tasks; };
            const auto room = std::find_if(worker.rooms.begin(), worker.rooms.end(), isReached);
            candidates.emplace_back(std::max(room->from, state.now), i, tasks);
        }
        std::sort(candidates.begin(), candidates.end());
        std::vector<std::pair<size_t, uint64_t>> chosen;
        uint64_t remaining = state.width;
        for (const auto& [from, index, tasks] : candidates) {
            if (remaining == 0)
                break;
            chosen.emplace_back(index, std::min(tasks, remaining));
            remaining -= chosen.back().second;
        }
        return chosen;
    }

    /** When, from `earliest` to `latest`, the gang can begin with tickets that are valid then. */
    std::optional<Instant> beginWithTickets(const GangState& state, Instant earliest, Instant latest)
    {
        Instant begin = earliest;
        for (size_t i = 0; i <= state.allowed.size(); ++i) {
            const std::optional<Instant> next = earliestBegin(state, begin + state.ticketMargin);
            if (!next || *next > latest)
                return std::nullopt;
            if (*next <= begin)
                return begin;
            begin = *next;
        }
        return std::nullopt;
    }

    absl::Duration requestTime(const GangState& state, size_t workers)
    {
        if (!state.advice.isNeeded)
            return absl::ZeroDuration();
        const auto named = static_cast<double>(std::min(workers, maxWorkersPerRequest));
        return state.advice.perCall + state.advice.perWorker * named;
    }

    void decideQuestions(const GangState& state, absl::Duration replyTime, GangDecision& decision)
    {
        if (!state.advice.isNeeded)
            return;
        const double wanted = static_cast<double>(state.width) * knownRoomFactor;
        const uint64_t soon = roomAt(state.allowed, state.now + replyTime);
        if (soon < state.width && state.unknownFree > 0)
            decision.unknownFreeWanted = wanted - static_cast<double>(soon);
        const auto known = static_cast<double>(roomAt(state.allowed, absl::InfiniteDuration()));
        if (known < wanted && state.unknownInTime > 0)
            decision.unknownInTimeWanted = wanted - known;
    }

} // namespace

bool GangReservation::hasSpareRoom(const GangState& state)
{
    const auto known = static_cast<double>(roomAt(state.allowed, state.now + maxWaitForRoom));
    const double expected = known + static_cast<double>(state.unknownInTime) * state.allowedShare;
    return expected >= static_cast<double>(state.width) * minSpareRoom;
}

GangDecision GangReservation::decide(const GangState& state)
{
    GangDecision decision;
    const std::optional<Instant> earliest = earliestBegin(state, std::nullopt);
    if (!earliest) {
        decideQuestions(state, requestTime(state, state.allowed.size()), decision);
        return decision;
    }
    decision.beginsAt = *earliest;
    decision.hold = chooseWorkers(state, *earliest, std::nullopt);
    const absl::Duration replyTime = requestTime(state, decision.hold.size());
    decideQuestions(state, replyTime, decision);
    // Workers whose tickets are still valid then are worth waiting for as long as new tickets would take.
    const std::optional<Instant> withTickets = beginWithTickets(state, *earliest, *earliest + replyTime);
    if (withTickets) {
        decision.beginsAt = *withTickets;
        decision.hold = chooseWorkers(state, *withTickets, *withTickets + state.ticketMargin);
    }
    decision.needsTickets = state.advice.isNeeded && !withTickets && decision.beginsAt <= state.now + replyTime;
    m_backfillUntil = std::min(m_backfillUntil, decision.beginsAt);
    decision.backfillUntil = m_backfillUntil;
    decision.mayTransfer
        = std::max(decision.beginsAt, state.now) > std::min(state.now, m_backfillUntil) + maxStayForRoom;
    return decision;
}

} // namespace cicada
