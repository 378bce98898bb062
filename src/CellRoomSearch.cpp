/** \file
 * The part of Cell that looks for room in other cells, when its own has had no room for a job for long. A cell's
 * workers are those of its racks, so without this, jobs would wait beside idle workers of other cells.
 */

#include "Cell.h"

#include <algorithm>
#include <cmath>

namespace cicada {

namespace {

    constexpr absl::Duration searchInterval = absl::Milliseconds(500);
    /** With no room found anywhere, searches become rarer up to this interval. */
    constexpr absl::Duration maxSearchInterval = absl::Seconds(4);
    /** How long a step waits without room in its cell before room is searched elsewhere. */
    constexpr absl::Duration noRoomDelay = absl::Milliseconds(1000);
    /** How long it waits although there seems to be room: where its queue's policy allows only workers that are full.
     */
    constexpr absl::Duration unplacedDelay = absl::Seconds(4);
    /** The time between two transfers of a job. It doubles with each one up to the maximum. */
    constexpr absl::Duration minStay = absl::Seconds(5);
    constexpr absl::Duration maxStay = absl::Seconds(40);
    constexpr size_t maxSearches = 8;
    /** How many ready steps are looked at in search of one to transfer. */
    constexpr size_t maxScannedSteps = 1000;

} // namespace

void Cell::startRoomSearch()
{
    m_searchInterval = searchInterval;
    searchRoom();
}

uint64_t Cell::roomFor(const RoomQuery& query)
{
    if (!m_isLoaded || m_isSuperseded)
        return 0;
    uint64_t room = freeRoomFor(query);
    // What waits here goes first.
    for (auto it = m_ready.begin(); it != m_ready.end() && room > 0; ++it) {
        CellJob* job = findJob(it->job);
        if (job && policyOf(*job).service == query.service)
            room -= std::min<uint64_t>(room, startableTasks(*job, it->ref).size());
    }
    return room;
}

uint64_t Cell::freeRoomFor(const RoomQuery& query)
{
    m_usableWorkers.clear();
    uint64_t room = 0;
    for (const CellWorker* worker : usableWorkers(query.service)) {
        if (!hasLabel(worker->listed, query.requiredLabel))
            continue;
        room += countFittingTasks(query.demand, worker->free(), query.maxPerWorker);
    }
    return room;
}

RoomQuery Cell::roomQueryOf(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    return { policyOf(job).service, spec.requiredLabel, demandOf(spec), roomNeededBy(job, ref), spec.maxPerWorker };
}

uint32_t Cell::roomNeededBy(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    if (!spec.isGang)
        return 1;
    // A gang that this cell can never start may try any cell.
    if (!policyOf(job).advice.isNeeded || !canGatherRoom(job, ref))
        return spec.taskCount;
    return static_cast<uint32_t>(std::ceil(spec.taskCount / m_allowedShares[policyOf(job).queue].estimate()));
}

void Cell::searchRoom()
{
    if (m_isSuperseded)
        return;
    const Instant now = m_parts.timers.clock().now();
    m_usableWorkers.clear();
    clearUnmetDemands();
    if (now >= m_unmetElsewhereUntil) {
        m_unmetElsewhere.clear();
        m_unmetElsewhereUntil = now + m_searchInterval;
    }
    // A scan that starts at the front each time would never get to steps behind many that no cell has room for.
    auto it = m_searchFrom ? m_ready.lower_bound(*m_searchFrom) : m_ready.begin();
    size_t scanned = 0;
    size_t searches = 0;
    bool isAnyUnmet = false;
    for (; it != m_ready.end() && scanned < maxScannedSteps && searches < maxSearches; ++it, ++scanned) {
        CellJob* job = findJob(it->job);
        if (!job)
            continue;
        const bool isUnmet = isUnmetElsewhere(*job, it->ref);
        isAnyUnmet = isAnyUnmet || isUnmet || now - job->searchedAt < maxSearchInterval;
        if (isUnmet || !needsTransfer(*job, it->ref))
            continue;
        ++searches;
        job->searchedAt = now;
        m_parts.rooms.find(m_term.cell, roomQueryOf(*job, it->ref),
            guarded([this, id = it->job, ref = it->ref](
                        std::optional<uint32_t> destination) { handleRoom(id, ref, destination); }));
    }
    const bool isWholePass = it == m_ready.end() && !m_searchFrom;
    m_searchFrom = it == m_ready.end() ? std::nullopt : std::optional<StepRank>(*it);
    if (searches == 0 && isWholePass && !isAnyUnmet)
        m_searchInterval = searchInterval;
    m_parts.timers.after(searchInterval, guarded([this] { searchRoom(); }));
}

bool Cell::isUnmetElsewhere(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    return !spec.isGang && m_unmetElsewhere.includes(policyOf(job).service, spec.requiredLabel, demandOf(spec));
}

bool Cell::needsTransfer(CellJob& job, StepRef ref)
{
    const Instant now = m_parts.timers.clock().now();
    const absl::Duration waited = now - std::max(job.step(ref).readyAt, job.arrivedAt);
    const absl::Duration stay = std::min(maxStay, minStay * (1 << std::min(job.transfers, 4U)));
    if (waited < noRoomDelay || now - job.arrivedAt < stay || now - job.searchedAt < m_searchInterval)
        return false;
    // Its account's limit holds it, not a lack of room.
    if (isHeldByLimit(job, ref))
        return false;
    // A gang for which room or tickets are being gathered here would begin anew elsewhere.
    if (!isTransferable(job) || isKeptHere(job.spec.id, ref) || isGatheringTickets(job, ref))
        return false;
    // Suspects wait for a worker of their own.
    if (startableTasks(job, ref).empty())
        return now - std::max(job.crashedAt, job.arrivedAt) >= unplacedDelay;
    const StepSpec& spec = job.stepSpec(ref);
    if (waited >= unplacedDelay || !hasRoomForTask(job, ref))
        return true;
    return spec.isGang && freeRoomFor(roomQueryOf(job, ref)) < spec.taskCount;
}

bool Cell::isGatheringTickets(CellJob& job, StepRef ref)
{
    const StepSpec& spec = job.stepSpec(ref);
    const CellStep& step = job.step(ref);
    if (!spec.isGang || !policyOf(job).advice.isNeeded)
        return false;
    if (step.advice.requestsInFlight > 0
        || roomOn(spec, workersWithTicket(job, ref), RoomBasis::InTime) >= spec.taskCount)
        return true;
    return !step.advice.queried.empty()
        && roomOn(spec, possibleWorkers(job, ref), RoomBasis::FreeNow) >= spec.taskCount;
}

bool Cell::isTransferable(const CellJob& job) const
{
    const std::string& id = job.spec.id;
    const bool isSettled = job.isStored && !isEnded(job.phase) && !job.isMoving && m_writer.isDurable(jobKey(id))
        && m_writer.isDurable(runKey(id));
    if (!isSettled)
        return false;
    for (const auto& steps : job.occurrences) {
        for (const CellStep& step : steps) {
            if (!std::all_of(step.tasks.begin(), step.tasks.end(),
                    [this](const CellTask& task) { return !task.hasActiveRun() && !mayListLostRun(task); }))
                return false;
        }
    }
    // A run that is being stopped is the task's no more, but still at work.
    return std::none_of(m_workers.begin(), m_workers.end(), [&id](const auto& item) {
        const auto& allocations = item.second.allocations;
        return std::any_of(
            allocations.begin(), allocations.end(), [&id](const auto& entry) { return entry.first.task.job == id; });
    });
}

bool Cell::mayListLostRun(const CellTask& task) const
{
    const auto found = task.lostOn.empty() ? m_workers.end() : m_workers.find(task.lostOn);
    return found != m_workers.end() && found->second.isListed && found->second.failedSyncs > 0;
}

void Cell::handleRoom(const std::string& id, StepRef ref, std::optional<uint32_t> destination)
{
    CellJob* job = findJob(id);
    if (!destination) {
        m_searchInterval = std::min(maxSearchInterval, m_searchInterval * 2);
        // What one task found no room for, larger ones of the same service need not search.
        if (job && !job->stepSpec(ref).isGang)
            m_unmetElsewhere.add(
                policyOf(*job).service, job->stepSpec(ref).requiredLabel, demandOf(job->stepSpec(ref)));
        return;
    }
    m_searchInterval = searchInterval;
    const bool waits = job && !waitingTasks(job->step(ref)).empty();
    if (!waits || !isTransferable(*job) || isGatheringTickets(*job, ref) || m_isSuperseded)
        return;
    startTransfer(*job, ref, *destination);
}

} // namespace cicada
