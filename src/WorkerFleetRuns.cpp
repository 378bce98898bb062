/** \file
 * The part of WorkerFleet that starts and stops runs, and keeps account of them until they are forgotten.
 */

#include "WorkerFleet.h"

#include <algorithm>

namespace cicada {

namespace {

    /** The maximum age of a ticket with which a start is sent, so that the ticket is still valid on arrival. */
    constexpr absl::Duration maxStartTicketAge = absl::Seconds(3);
    constexpr absl::Duration stopRetry = absl::Milliseconds(500);

} // namespace

void WorkerFleet::startRun(const std::string& worker, WorkerStart start)
{
    auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return;
    if (m_runs.contains(start.id)) {
        // The run is known already; a run is never started twice.
        m_ledger.give(worker, start.demand);
        return;
    }
    Run& run = m_runs[start.id];
    run.report = { { start.id, RunState::Starting, start.demand, start.urgency, start.preemptible, "", worker },
        it->second.info.rack, recovery(it->second.info.rack) };
    it->second.runs.insert(start.id);
    m_toStart.push_back(start.id);
    run.start = std::move(start);
    m_observer(run.report, false);
    sendStarts(m_parts.clock.now());
}

void WorkerFleet::sendStarts(Instant now)
{
    std::vector<RunId> due;
    due.swap(m_toStart);
    for (const RunId& id : due) {
        auto it = m_runs.find(id);
        if (it == m_runs.end() || it->second.report.status.state != RunState::Starting)
            continue;
        if (it->second.stopWanted)
            setState(it->second, RunState::NotStarted);
        else if (!sendStart(it->second, now))
            m_toStart.push_back(id);
    }
}

bool WorkerFleet::sendStart(Run& run, Instant now)
{
    Worker* worker = workerOf(run);
    const auto term = currentTerm(run.report.rack);
    if (!worker || !term)
        return false;
    if (worker->ticket.empty() || now - worker->lastReplyAt > maxStartTicketAge) {
        worker->nextSync = std::min(worker->nextSync, now);
        return false;
    }
    run.startSent = true;
    run.startSentAt = now;
    WorkerStart start = std::move(run.start);
    start.epoch = term->epoch;
    start.ticket = worker->ticket;
    const RunId id = run.report.status.id;
    m_parts.client.start(
        worker->info.address, std::move(start), [this, id, recovery = run.report.recovery](WorkerReply reply) {
            auto it = m_runs.find(id);
            if (it == m_runs.end() || it->second.report.recovery != recovery
                || it->second.report.status.state != RunState::Starting)
                return;
            it->second.runningSince = m_parts.clock.now();
            // A start is sent once, so a refusal is final. Without a reply, the next syncs determine the outcome.
            if (reply != WorkerReply::NoReply)
                setState(it->second, reply == WorkerReply::Done ? RunState::Running : RunState::NotStarted);
        });
    return true;
}

void WorkerFleet::stopRun(const RunId& id, bool checkpoint)
{
    auto it = m_runs.find(id);
    if (it == m_runs.end() || !isActive(it->second.report.status.state) || it->second.stopWanted)
        return;
    it->second.stopWanted = true;
    it->second.atCheckpoint = checkpoint;
    m_toStop.push_back(id);
}

void WorkerFleet::sendStops(Instant now)
{
    std::vector<RunId> due;
    due.swap(m_toStop);
    for (const RunId& id : due) {
        auto it = m_runs.find(id);
        if (it == m_runs.end() || !isActive(it->second.report.status.state))
            continue;
        if (!sendStop(it->second, now))
            m_toStop.push_back(id);
    }
}

bool WorkerFleet::sendStop(Run& run, Instant now)
{
    const Worker* worker = workerOf(run);
    const auto term = currentTerm(run.report.rack);
    if (run.stopInFlight || now < run.nextStop || !worker || !term || !run.startSent)
        return false;
    run.stopInFlight = true;
    run.nextStop = now + stopRetry;
    const RunId id = run.report.status.id;
    m_parts.client.stop(worker->info.address, { term->epoch, id, run.atCheckpoint }, [this, id, now](WorkerReply) {
        // The next sync reports the outcome, even if this reply was lost.
        auto stopped = m_runs.find(id);
        if (stopped == m_runs.end() || !isActive(stopped->second.report.status.state))
            return;
        stopped->second.stopInFlight = false;
        if (Worker* owner = workerOf(stopped->second))
            owner->nextSync = std::min(owner->nextSync, now);
        m_toStop.push_back(id);
    });
    return true;
}

void WorkerFleet::forgetRun(const RunId& id)
{
    auto it = m_runs.find(id);
    if (it == m_runs.end() || isActive(it->second.report.status.state))
        return;
    if (Worker* worker = workerOf(it->second)) {
        worker->runs.erase(id);
        worker->forget.push_back(id);
    }
    m_observer(it->second.report, true);
    m_runs.erase(it);
}

const TaskRunReport* WorkerFleet::find(const RunId& id) const
{
    auto it = m_runs.find(id);
    return it == m_runs.end() ? nullptr : &it->second.report;
}

std::vector<RunStatus> WorkerFleet::preemptible(const std::string& worker, int urgency) const
{
    std::vector<RunStatus> runs;
    auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return runs;
    for (const RunId& id : it->second.runs) {
        const Run& run = m_runs.at(id);
        const RunStatus& status = run.report.status;
        if (status.state == RunState::Running && status.preemptible && status.urgency < urgency && !run.stopWanted)
            runs.push_back(status);
    }
    return runs;
}

size_t WorkerFleet::activeRuns(const std::string& worker) const
{
    auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return 0;
    return static_cast<size_t>(std::count_if(it->second.runs.begin(), it->second.runs.end(),
        [this](const RunId& id) { return isActive(m_runs.at(id).report.status.state); }));
}

void WorkerFleet::setState(Run& run, RunState state, const std::string& checkpoint)
{
    RunStatus& status = run.report.status;
    if (status.state == state)
        return;
    if (isActive(status.state) && !isActive(state)) {
        m_ledger.give(status.worker, status.demand);
        if (Worker* worker = workerOf(run))
            recordRunEnd(*worker, state);
    }
    if (state == RunState::Running)
        run.runningSince = m_parts.clock.now();
    status.state = state;
    status.checkpoint = checkpoint;
    m_observer(run.report, false);
}

void WorkerFleet::recordRunEnd(Worker& worker, RunState state)
{
    const Instant now = m_parts.clock.now();
    if (state == RunState::Finished)
        worker.suspension.recordSuccess();
    if (state != RunState::Failed || !worker.suspension.recordFailure())
        return;
    // At most half of the workers are suspended at a time, however many fail.
    if (2 * (suspendedCount(now) + 1) > m_workers.size())
        return;
    worker.suspension.suspend(now);
    updateUsable(worker, now);
}

size_t WorkerFleet::suspendedCount(Instant now) const
{
    return static_cast<size_t>(std::count_if(m_workers.begin(), m_workers.end(),
        [now](const auto& named) { return named.second.suspension.isSuspended(now); }));
}

WorkerFleet::Worker* WorkerFleet::workerOf(const Run& run)
{
    auto it = m_workers.find(run.report.status.worker);
    return it == m_workers.end() ? nullptr : &it->second;
}

} // namespace cicada
