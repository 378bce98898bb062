/** \file
 * The part of Cell that moves a job to another cell, in which CellRoomSearch.cpp has found room for it.
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
#include "CellKeys.h"

#include "Job.h"
#include "Pack.h"

#include <algorithm>

namespace cicada {

namespace {

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

void Cell::startTransfers()
{
    if (m_term.cells <= 1)
        return;
    m_arrivals = std::make_unique<PrefixMirror>(
        m_parts.store, m_parts.timers, m_parts.log, cellKey(CellKeyKind::Arrival, m_term.cell, ""), arrivalWatchTimeout,
        [this](const std::string& key, const StoreEntry* entry) {
            if (entry)
                handleArrival(key, *entry);
        },
        [] {});
    m_arrivals->start();
    startRoomSearch();
}

void Cell::startTransfer(CellJob& job, StepRef ref, uint32_t destination)
{
    const std::string& id = job.spec.id;
    const uint32_t home = homeOf(id);
    // Between two cells neither of which is its home, a job goes through its home, whose marks then always tell the
    // way.
    const uint32_t next = m_term.cell == home ? destination : home;
    m_parts.log.write("job-transfer", "job", id, "from", m_term.cell, "to", next, "room", destination, "waitedMs",
        absl::ToInt64Milliseconds(m_parts.timers.clock().now() - job.step(ref).readyAt));
    job.isMoving = true;
    for (uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (uint32_t s = 0; s < job.occurrences[k].size(); ++s)
            dequeueStep(job, { k, s });
    }
    m_transfers[id] = Transfer { next };
    if (next == home)
        return readMark(id);
    sendTransfer(id);
}

void Cell::readMark(const std::string& id)
{
    const std::string key = cellKey(CellKeyKind::Run, homeOf(id), id);
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
    const std::string newJobKey = cellKey(CellKeyKind::Job, transfer.destination, id);
    const std::string newRunKey = cellKey(CellKeyKind::Run, transfer.destination, id);
    Transaction transaction;
    transaction.conditions = { { m_term.row, m_term.token }, { jobKey(id), m_writer.storedRevision(jobKey(id)) },
        { runKey(id), m_writer.storedRevision(runKey(id)) }, { newJobKey, transfer.markRevision },
        { newRunKey, transfer.markRevision } };
    transaction.writes = { { newJobKey, encodeJobRecord(*job) }, { newRunKey, encodeRunRecord(*job) },
        { cellKey(CellKeyKind::Arrival, transfer.destination, id),
            Internal::packFields(m_term.cell, job->transfers + 1) } };
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
        if (reply.status == TransactionStatus::Rejected && !transfer.mayApplyLate)
            return cancelTransfer(id);
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
    const std::string queue = queueOf(id).value_or("");
    m_parts.log.write("job-transferred", "job", id, "from", m_term.cell, "to", destination);
    m_parts.metrics.count("cicada_jobs_transferred");
    m_transfers.erase(id);
    m_jobs.erase(id);
    m_writer.forget(jobKey(id));
    m_writer.forget(runKey(id));
    if (m_term.cell == homeOf(id))
        m_marks[id] = { destination, m_parts.timers.clock().now(), queue };
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
    const std::string id = idOfCellKey(key);
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
    if (job->hasSuspects())
        m_suspectJobs.insert(id);
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

void Cell::acceptMovedJob(const JobAddress& address, Reply reply)
{
    const std::string& known = m_marks[address.id].queue;
    if (!known.empty() && known != address.queue)
        return replyIdInUse(address, known, std::move(reply));
    if (!known.empty() || address.queue.empty())
        return reply({ CellOutcome::Accepted });
    readQueueElsewhere(
        address.id, [this, address, reply = std::move(reply)](const std::optional<std::string>& queue) mutable {
            if (!queue)
                return reply({ CellOutcome::NotOwner });
            if (const auto mark = m_marks.find(address.id); mark != m_marks.end())
                mark->second.queue = *queue;
            if (!queue->empty() && *queue != address.queue)
                return replyIdInUse(address, *queue, std::move(reply));
            reply({ CellOutcome::Accepted });
        });
}

void Cell::readQueueElsewhere(const std::string& id, absl::AnyInvocable<void(std::optional<std::string>)> then)
{
    const uint32_t cell = m_marks[id].cell;
    const auto readEnded = [this, id, cell](absl::AnyInvocable<void(std::optional<std::string>)> done) {
        readRecord(cellKey(CellKeyKind::Run, cell, id),
            [done = std::move(done)](bool isRead, const std::optional<StoreEntry>& run) mutable {
                if (!isRead)
                    return done(std::nullopt);
                const auto ended = endedJobOf(run ? run->value : "");
                done(ended ? ended.value().queue : "");
            });
    };
    readRecord(cellKey(CellKeyKind::Job, cell, id),
        [id, readEnded, then = std::move(then)](bool isRead, const std::optional<StoreEntry>& record) mutable {
            if (!isRead)
                return then(std::nullopt);
            const auto job = decodeJobRecord(id, record ? record->value : "");
            job ? then(job.value()->policy.queue) : readEnded(std::move(then));
        });
}

void Cell::removeHomeMarks(const std::string& id)
{
    const uint32_t home = homeOf(id);
    if (m_term.cell == home)
        return;
    readRecord(cellKey(CellKeyKind::Run, home, id), [this, id, home](bool, const std::optional<StoreEntry>& mark) {
        if (!mark || transferMarkOf(mark->value) != std::optional<uint32_t>(m_term.cell))
            return;
        Transaction transaction;
        transaction.conditions = { { m_term.row, m_term.token } };
        for (const CellKeyKind kind : { CellKeyKind::Job, CellKeyKind::Run }) {
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
