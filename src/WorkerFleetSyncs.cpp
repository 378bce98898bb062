/** \file
 * The part of WorkerFleet that renews leases by calls to the workers, and learns from the replies, or from their
 * absence, what runs there.
 */

#include "WorkerFleet.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration busySyncInterval = absl::Milliseconds(500);
    constexpr absl::Duration idleSyncInterval = absl::Milliseconds(1500);
    constexpr absl::Duration syncTimeout = absl::Seconds(3);

} // namespace

void WorkerFleet::tickWorker(Worker& worker, const Term& term, Instant now)
{
    if (worker.isSyncing && now - worker.syncSentAt > syncTimeout)
        worker.isSyncing = false;
    if (!worker.isSyncing && now >= worker.nextSync)
        sendSync(worker, term.epoch, now);
}

void WorkerFleet::sendSync(Worker& worker, uint64_t epoch, Instant now)
{
    WorkerSync sync;
    sync.epoch = epoch;
    sync.ticket = worker.ticket;
    sync.forget = worker.forget;
    for (const RunId& id : worker.runs) {
        if (isActive(m_runs[id].report.status.state))
            sync.renew.push_back(id);
    }
    worker.isSyncing = true;
    worker.syncSentAt = now;
    const uint64_t number = ++worker.syncNumber;
    worker.nextSync = now + (worker.runs.empty() ? idleSyncInterval : busySyncInterval);
    const RackRecovery recovery = m_racks[worker.info.rack].recovery;
    m_parts.client.sync(worker.info.address, std::move(sync),
        [this, name = worker.info.name, recovery, number, now](
            Result<WorkerView> view) { handleView(name, recovery, number, now, std::move(view)); });
}

void WorkerFleet::handleView(
    const std::string& name, const RackRecovery& recovery, uint64_t number, Instant sentAt, Result<WorkerView> view)
{
    auto it = m_workers.find(name);
    if (it == m_workers.end() || this->recovery(it->second.info.rack) != recovery || it->second.syncNumber != number)
        return;
    Worker& worker = it->second;
    worker.isSyncing = false;
    if (!view || !view.value().accepted)
        return;
    const Instant now = m_parts.clock.now();
    worker.ticket = view.value().ticket;
    worker.lastReplyAt = now;
    absl::flat_hash_set<RunId> listed;
    for (const RunStatus& status : view.value().runs) {
        listed.insert(status.id);
        applyStatus(worker, status);
    }
    // The worker forgot the runs that the sync named before it made this view.
    std::erase_if(worker.forget, [&listed](const RunId& id) { return !listed.contains(id); });
    checkUnlisted(worker, listed, sentAt);
    worker.isRecovered = true;
    updateUsable(worker, now);
}

void WorkerFleet::applyStatus(Worker& worker, const RunStatus& status)
{
    if (std::find(worker.forget.begin(), worker.forget.end(), status.id) != worker.forget.end())
        return;
    auto [it, isNew] = m_runs.try_emplace(status.id);
    Run& run = it->second;
    if (isNew) {
        run.report = { status, worker.info.rack, recovery(worker.info.rack) };
        run.report.status.worker = worker.info.name;
        run.startSent = true;
        run.runningSince = m_parts.clock.now();
        worker.runs.insert(status.id);
        if (isActive(status.state))
            m_ledger.take(worker.info.name, status.demand);
        m_observer(run.report, false);
        return;
    }
    if (run.report.status.worker == worker.info.name && isActive(run.report.status.state))
        setState(run, status.state, status.checkpoint);
}

void WorkerFleet::checkUnlisted(Worker& worker, const absl::flat_hash_set<RunId>& listed, Instant sentAt)
{
    const double drift = 1 + m_parts.clockDriftBound;
    const absl::Duration startBound = ticketValidity * (drift * drift);
    for (const RunId& id : worker.runs) {
        Run& run = m_runs[id];
        if (listed.contains(id) || !isActive(run.report.status.state) || !run.startSent)
            continue;
        // A delayed start cannot take effect once its ticket has expired.
        if (run.report.status.state == RunState::Starting && sentAt > run.startSentAt + startBound)
            setState(run, RunState::NotStarted);
        else if (run.report.status.state == RunState::Running && sentAt > run.runningSince)
            setState(run, RunState::Lost);
    }
}

void WorkerFleet::expireLeases(Worker& worker, Instant now)
{
    worker.isRecovered = true;
    worker.ticket.clear();
    for (const RunId& id : worker.runs) {
        Run& run = m_runs[id];
        const bool started = run.startSent;
        if (isActive(run.report.status.state))
            setState(run, started ? RunState::Lost : RunState::NotStarted);
    }
    updateUsable(worker, now);
}

} // namespace cicada
