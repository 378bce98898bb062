/** \file
 * The part of Cell that moves a job to another cell when its own has had no room for it for long. A cell's workers are
 * those of its racks, so without this, jobs would wait beside idle workers of other cells.
 *
 * One conditional transaction removes the job's records here and writes them in the other cell, with a notice of the
 * arrival that the other cell's owner watches. In the job's home cell, to which its id belongs, marks that name the
 * other cell take the place of the records; callers' requests follow them. While they stand, a late repetition of the
 * write that first created a record finds its key taken. So at any time the records alone say where the job is, and the
 * owner of that cell is its only writer. A transaction without a reply is repeated until its outcome is known; until
 * then nothing of the job starts in either cell.
 */

#include "Cell.h"
#include "CellDirectory.h"

#include "Job.h"
#include "Pack.h"

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
    constexpr absl::Duration firstRetryDelay = absl::Milliseconds(100);
    constexpr absl::Duration maxRetryDelay = absl::Seconds(1);
    constexpr absl::Duration arrivalWatchTimeout = absl::Milliseconds(1500);
    constexpr size_t maxMarkChecks = 20;

    const StoreEntry* findEntry(const std::vector<StoreEntry>& entries, const std::string& key)
    {
        const auto found = std::find_if(
            entries.begin(), entries.end(), [&key](const StoreEntry& entry) { return entry.key == key; });
        return found == entries.end() ? nullptr : &*found;
    }

} // namespace

uint32_t Cell::homeOf(const std::string& id) const { return cellOfKey(id, m_term.cells); }

std::string Cell::arrivalKey(uint32_t cell, const std::string& id) { return cellKey(arrivalKind, cell, id); }

void Cell::startTransfers()
{
    if (m_term.cells <= 1)
        return;
    m_arrivals = std::make_unique<PrefixMirror>(
        m_parts.store, m_parts.timers, m_parts.log, arrivalKey(m_term.cell, ""), arrivalWatchTimeout,
        [this](const std::string& key, const StoreEntry* entry) {
            if (entry)
                handleArrival(key, *entry);
        },
        [] {});
    m_arrivals->start();
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
    const uint32_t home = homeOf(id);
    // Between two cells neither of which is its home, a job goes through its home, whose marks then always tell the
    // way.
    const uint32_t next = m_term.cell == home ? *destination : home;
    m_parts.log.write("job-transfer", "job", id, "from", m_term.cell, "to", next, "room", *destination, "waitedMs",
        absl::ToInt64Milliseconds(m_parts.timers.clock().now() - job->step(ref).readyAt));
    job->isMoving = true;
    for (uint32_t k = 0; k < job->occurrences.size(); ++k) {
        for (uint32_t s = 0; s < job->occurrences[k].size(); ++s)
            dequeueStep(*job, { k, s });
    }
    m_transfers[id] = Transfer { next };
    if (next == home)
        return readMark(id);
    sendTransfer(id);
}

void Cell::readMark(const std::string& id)
{
    const std::string key = cellKey(runKind, homeOf(id), id);
    m_parts.store.listPage(key, "", guarded([this, id, key](const StorePage& page) {
        const auto transfer = m_transfers.find(id);
        if (transfer == m_transfers.end())
            return;
        if (!page.isValid)
            return retryTransfer(id, [this, id] { readMark(id); });
        const StoreEntry* mark = findEntry(page.entries, key);
        transfer->second.markRevision = mark ? mark->index : 0;
        sendTransfer(id);
    }));
}

void Cell::retryTransfer(const std::string& id, absl::AnyInvocable<void()> step)
{
    Transfer& transfer = m_transfers[id];
    const absl::Duration delay = std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(transfer.failures++, 4)));
    m_parts.timers.after(delay, guarded(std::move(step)));
}

void Cell::sendTransfer(const std::string& id)
{
    CellJob* job = findJob(id);
    if (!job || m_isSuperseded)
        return;
    const Transfer& transfer = m_transfers[id];
    const std::string newJobKey = cellKey(jobKind, transfer.destination, id);
    const std::string newRunKey = cellKey(runKind, transfer.destination, id);
    Transaction transaction;
    transaction.conditions = { { m_term.row, m_term.token }, { jobKey(id), m_writer.storedRevision(jobKey(id)) },
        { runKey(id), m_writer.storedRevision(runKey(id)) }, { newJobKey, transfer.markRevision },
        { newRunKey, transfer.markRevision } };
    transaction.writes = { { newJobKey, encodeJobRecord(*job) }, { newRunKey, encodeRunRecord(*job) },
        { arrivalKey(transfer.destination, id), Internal::packFields(m_term.cell, job->transfers + 1) } };
    const bool leavesMarks = m_term.cell == homeOf(id);
    for (const std::string& key : { jobKey(id), runKey(id) }) {
        if (leavesMarks)
            transaction.writes.push_back({ key, encodeTransferMark(transfer.destination) });
        else if (m_writer.storedRevision(key) != 0)
            transaction.removals.push_back(key);
    }
    m_parts.store.transact(
        std::move(transaction), guarded([this, id](const TransactionReply& reply) { handleTransferReply(id, reply); }));
}

void Cell::handleTransferReply(const std::string& id, const TransactionReply& reply)
{
    if (m_isSuperseded || !m_transfers.contains(id))
        return;
    Transfer& transfer = m_transfers[id];
    if (reply.status == TransactionStatus::Applied)
        return finishTransfer(id);
    if (reply.status != TransactionStatus::ConditionFailed) {
        transfer.mayApplyLate = transfer.mayApplyLate || reply.status == TransactionStatus::Unknown;
        return retryTransfer(id, [this, id] { sendTransfer(id); });
    }
    const StoreEntry* row = findEntry(reply.current, m_term.row);
    if (!row || row->index != m_term.token)
        return handleSuperseded("row-changed");
    // Nobody else replaces the job's record while this owner holds the row, so an earlier attempt did.
    const StoreEntry* record = findEntry(reply.current, jobKey(id));
    if (!record || transferMarkOf(record->value))
        return finishTransfer(id);
    // Under the next term of the row, an attempt that is still on its way does nothing.
    if (transfer.mayApplyLate)
        return handleSuperseded("transfer-unclear");
    cancelTransfer(id);
}

void Cell::finishTransfer(const std::string& id)
{
    const uint32_t destination = m_transfers[id].destination;
    m_parts.log.write("job-transferred", "job", id, "from", m_term.cell, "to", destination);
    m_parts.metrics.count("cicada_jobs_transferred");
    m_transfers.erase(id);
    m_jobs.erase(id);
    m_writer.forget(jobKey(id));
    m_writer.forget(runKey(id));
    if (m_term.cell == homeOf(id))
        m_marks[id] = { destination, m_parts.timers.clock().now() };
    resumeRequests(id);
}

void Cell::cancelTransfer(const std::string& id)
{
    m_parts.log.write("job-transfer-failed", "job", id, "to", m_transfers[id].destination);
    m_transfers.erase(id);
    CellJob& job = *findJob(id);
    job.isMoving = false;
    job.arrivedAt = m_parts.timers.clock().now();
    advance(job);
    resumeRequests(id);
}

void Cell::resumeRequests(const std::string& id)
{
    const auto found = m_requestsWhileMoving.find(id);
    if (found == m_requestsWhileMoving.end())
        return;
    auto requests = std::move(found->second);
    m_requestsWhileMoving.erase(found);
    for (auto& request : requests)
        request();
}

void Cell::handleArrival(const std::string& key, const StoreEntry& entry)
{
    const std::string id = idOf(key);
    m_writer.setStoredRevision(key, entry.index);
    uint32_t from = 0;
    uint32_t transfers = 0;
    if (!Internal::unpackFields(entry.value, "notice of arrival", from, transfers))
        m_parts.log.write("arrival-unreadable", "job", id, "revision", entry.index);
    adoptJob(id, [this, id, key, transfers](bool isCertain) {
        if (CellJob* job = findJob(id))
            job->transfers = transfers;
        if (isCertain)
            return m_writer.write(key, {});
        const StoreEntry* again = m_arrivals->find(key);
        if (again)
            m_parts.timers.after(maxRetryDelay, guarded([this, key, entry = *again] { handleArrival(key, entry); }));
    });
}

void Cell::adoptJob(const std::string& id, absl::AnyInvocable<void(bool isCertain)> then)
{
    if (findJob(id) || m_endedJobs.contains(id))
        return then(true);
    // The job's record first: runs read before it may be older than the transfer that brought the job.
    readRecord(
        jobKey(id), [this, id, then = std::move(then)](bool isRead, const std::optional<StoreEntry>& record) mutable {
            if (!isRead || !record || transferMarkOf(record->value))
                return then(isRead);
            readRecord(runKey(id),
                [this, id, record, then = std::move(then)](
                    bool isRunRead, const std::optional<StoreEntry>& run) mutable {
                    // A job that has arrived has both records. Without one it has left again meanwhile.
                    const bool isHere = isRunRead && run && !transferMarkOf(run->value);
                    if (isHere)
                        adoptRecords(id, *record, *run);
                    then(isHere);
                });
        });
}

void Cell::readRecord(
    const std::string& key, absl::AnyInvocable<void(bool isRead, const std::optional<StoreEntry>&)> then)
{
    m_parts.store.listPage(key, "", guarded([key, then = std::move(then)](const StorePage& page) mutable {
        const StoreEntry* entry = findEntry(page.entries, key);
        then(page.isValid, entry ? std::optional<StoreEntry>(*entry) : std::nullopt);
    }));
}

void Cell::adoptRecords(const std::string& id, const StoreEntry& record, const StoreEntry& run)
{
    // Another call may have read them meanwhile, and this owner may have changed them since.
    if (findJob(id) || m_endedJobs.contains(id))
        return;
    m_writer.setStoredRevision(record.key, record.index);
    m_writer.setStoredRevision(run.key, run.index);
    loadJobRecord(id, record);
    loadRunRecord(id, run);
    CellJob* job = findJob(id);
    if (!job)
        return;
    m_marks.erase(id);
    const Instant now = m_parts.timers.clock().now();
    const int64_t nowUnix = m_parts.timers.clock().wallMicros() / 1000;
    job->acceptedAt = now - absl::Milliseconds(std::max<int64_t>(0, nowUnix - job->acceptedUnixMillis));
    job->arrivedAt = now;
    m_parts.log.write("job-arrived", "job", id, "cell", m_term.cell);
    advance(*job);
}

void Cell::whenLocated(const std::string& id, bool isRedirected, Reply reply, absl::AnyInvocable<void(Reply)> then)
{
    runWhenLoaded([this, alive = m_alive, id, isRedirected, reply = std::move(reply),
                      then = std::move(then)]() mutable {
        if (!*alive || m_isSuperseded)
            return reply({ CellOutcome::NotOwner });
        // The job may have arrived since the last word of the store.
        if (isRedirected && !findJob(id) && !m_endedJobs.contains(id))
            return adoptJob(id, [this, id, reply = std::move(reply), then = std::move(then)](bool isCertain) mutable {
                if (!isCertain)
                    return reply({ CellOutcome::NotOwner });
                replyOrElse(id, std::move(reply), std::move(then));
            });
        replyOrElse(id, std::move(reply), std::move(then));
    });
}

void Cell::replyOrElse(const std::string& id, Reply reply, absl::AnyInvocable<void(Reply)> then)
{
    const auto mark = m_marks.find(id);
    if (mark != m_marks.end())
        return reply({ CellOutcome::Moved, JobPhase::Queued, mark->second.cell });
    then(std::move(reply));
}

void Cell::removeHomeMarks(const std::string& id)
{
    const uint32_t home = homeOf(id);
    if (m_term.cell == home)
        return;
    readRecord(cellKey(runKind, home, id), [this, id, home](bool, const std::optional<StoreEntry>& mark) {
        if (!mark || transferMarkOf(mark->value) != std::optional<uint32_t>(m_term.cell))
            return;
        Transaction transaction;
        transaction.conditions = { { m_term.row, m_term.token } };
        for (const absl::string_view kind : { jobKind, runKind }) {
            transaction.conditions.push_back({ cellKey(kind, home, id), mark->index });
            transaction.removals.push_back(cellKey(kind, home, id));
        }
        m_parts.store.transact(std::move(transaction), [](const TransactionReply&) {});
    });
}

void Cell::removeOldMarks()
{
    const Instant now = m_parts.timers.clock().now();
    std::vector<std::string> old;
    for (auto& [id, mark] : m_marks) {
        if (old.size() == maxMarkChecks)
            break;
        if (now - mark.checkedAt < m_parts.bounds.endedRetention)
            continue;
        mark.checkedAt = now;
        old.push_back(id);
    }
    for (const std::string& id : old) {
        readRecord(runKey(id), [this, id](bool isRead, const std::optional<StoreEntry>& mark) {
            if (isRead && !mark)
                m_marks.erase(id);
        });
    }
}

} // namespace cicada
