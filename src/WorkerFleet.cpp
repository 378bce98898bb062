#include "WorkerFleet.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration tickInterval = absl::Milliseconds(20);
    constexpr absl::Duration busySyncInterval = absl::Milliseconds(500);
    constexpr absl::Duration idleSyncInterval = absl::Milliseconds(1500);
    constexpr absl::Duration syncTimeout = absl::Seconds(3);
    /** The maximum age of a ticket with which a start is sent, so that the ticket is still valid on arrival. */
    constexpr absl::Duration maxStartTicketAge = absl::Seconds(3);
    constexpr absl::Duration stopRetry = absl::Milliseconds(500);
    /** A worker that fails this many runs in a row is suspended, for longer each time. */
    constexpr int maxFailuresInRow = 5;
    constexpr absl::Duration initialSuspension = absl::Seconds(10);
    constexpr absl::Duration maxSuspension = absl::Minutes(5);
    constexpr absl::string_view rackGroupPrefix = "rack/";

    std::string rackGroup(absl::string_view rack) { return absl::StrCat(rackGroupPrefix, rack); }

} // namespace

WorkerFleet::WorkerFleet(Parts parts, RunObserver observer)
    : m_parts(std::move(parts))
    , m_observer(std::move(observer))
    , m_nextTick(-absl::InfiniteDuration())
{
    m_parts.ownership.onChange(
        [this](absl::string_view group, uint64_t epoch, bool owned) { handleOwnership(group, epoch, owned); });
    m_parts.backEnds.onChange([this] { reconcile(); });
    reconcile();
}

absl::Duration WorkerFleet::leaseExpiryTime() const
{
    // In the worst case the worker's clock runs slow and this one fast, each by the bound.
    const double drift = 1 + m_parts.clockDriftBound;
    return (taskLease + ticketValidity) * (drift * drift);
}

void WorkerFleet::handleOwnership(absl::string_view group, uint64_t epoch, bool owned)
{
    if (!absl::ConsumePrefix(&group, rackGroupPrefix))
        return;
    const std::string rack(group);
    if (!owned)
        return lose(rack);
    gain(rack, epoch);
    refreshWorkers();
}

void WorkerFleet::reconcile()
{
    for (const BackEnd& backEnd : m_parts.backEnds.all()) {
        if (backEnd.kind != BackEndKind::Worker)
            continue;
        if (const auto term = m_parts.ownership.term(backEnd.group()))
            gain(backEnd.rack, term->epoch);
    }
    refreshWorkers();
}

void WorkerFleet::gain(const std::string& rack, uint64_t epoch)
{
    auto it = m_racks.find(rack);
    if (it != m_racks.end() && it->second.epoch == epoch)
        return;
    lose(rack);
    m_racks[rack] = { epoch, { epoch, m_parts.session + ++m_recoveries }, {} };
}

void WorkerFleet::lose(const std::string& rack)
{
    auto it = m_racks.find(rack);
    if (it == m_racks.end())
        return;
    for (const std::string& name : it->second.workers) {
        for (const RunId& id : m_workers[name].runs) {
            auto run = m_runs.extract(id);
            m_observer(run.mapped().report, true);
        }
        m_workers.erase(name);
        m_ledger.remove(name);
    }
    m_racks.erase(it);
}

void WorkerFleet::refreshWorkers()
{
    for (auto& [name, worker] : m_workers)
        worker.isListed = false;
    for (const BackEnd& backEnd : m_parts.backEnds.all()) {
        auto rack = m_racks.find(backEnd.rack);
        if (backEnd.kind != BackEndKind::Worker || rack == m_racks.end())
            continue;
        auto [it, isNew] = m_workers.try_emplace(backEnd.name);
        Worker& worker = it->second;
        // A worker that moved to another rack is taken over once its old rack has released it.
        if (!isNew && worker.info.rack != backEnd.rack)
            continue;
        worker.info = backEnd;
        worker.isListed = true;
        if (isNew) {
            worker.lastReplyAt = m_parts.clock.now();
            worker.nextSync = worker.lastReplyAt;
            rack->second.workers.push_back(backEnd.name);
        }
        m_ledger.upsert({ backEnd.name, backEnd.rack, backEnd.failureDomain, backEnd.capacity, {}, false });
        updateUsable(worker, m_parts.clock.now());
    }
}

std::vector<RackView> WorkerFleet::recoveredRacks() const
{
    std::vector<RackView> views;
    for (const auto& [name, rack] : m_racks) {
        const bool recovered = std::all_of(rack.workers.begin(), rack.workers.end(),
            [this](const std::string& worker) { return m_workers.at(worker).isRecovered; });
        if (recovered && currentTerm(name))
            views.push_back({ name, rack.recovery });
    }
    return views;
}

RackRecovery WorkerFleet::recovery(absl::string_view rack) const
{
    auto it = m_racks.find(rack);
    return it == m_racks.end() ? RackRecovery {} : it->second.recovery;
}

std::optional<Term> WorkerFleet::currentTerm(const std::string& rack) const
{
    const auto term = m_parts.ownership.term(rackGroup(rack));
    auto it = m_racks.find(rack);
    if (!term || it == m_racks.end() || term->epoch != it->second.epoch || term->until <= m_parts.clock.now())
        return std::nullopt;
    return term;
}

void WorkerFleet::tick(Instant now)
{
    if (now < m_nextTick)
        return;
    m_nextTick = now + tickInterval;
    for (auto& [name, rack] : m_racks) {
        const auto term = currentTerm(name);
        for (const std::string& workerName : rack.workers) {
            Worker& worker = m_workers[workerName];
            if (now - worker.lastReplyAt > leaseExpiryTime())
                expireLeases(worker, now);
            if (term)
                tickWorker(worker, *term, now);
            updateUsable(worker, now);
            if (isLeaving(worker))
                checkpointLeaving(worker);
        }
    }
    removeDrained();
    sendStarts(now);
    sendStops(now);
}

void WorkerFleet::checkpointLeaving(const Worker& worker)
{
    constexpr int moreThanMaxUrgency = 10;
    for (const RunStatus& run : preemptible(worker.info.name, moreThanMaxUrgency))
        stopRun(run.id, true);
}

void WorkerFleet::removeDrained()
{
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        const Worker& worker = it->second;
        const bool isGone = !worker.isListed && worker.isRecovered && worker.ticket.empty() && worker.runs.empty();
        if (!isGone) {
            ++it;
            continue;
        }
        auto& names = m_racks[worker.info.rack].workers;
        names.erase(std::find(names.begin(), names.end(), it->first));
        m_ledger.remove(it->first);
        it = m_workers.erase(it);
    }
}

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
        Run& run = it->second;
        Worker* worker = workerOf(run);
        const auto term = currentTerm(run.report.rack);
        if (run.stopInFlight || now < run.nextStop || !worker || !term || !run.startSent) {
            m_toStop.push_back(id);
            continue;
        }
        run.stopInFlight = true;
        run.nextStop = now + stopRetry;
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
    }
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
    if (state == RunState::Finished) {
        worker.failuresInRow = 0;
        worker.suspension = absl::ZeroDuration();
    }
    if (state != RunState::Failed || ++worker.failuresInRow < maxFailuresInRow)
        return;
    // At most half of the workers are suspended at a time, however many fail.
    if (2 * (suspendedCount(now) + 1) > m_workers.size())
        return;
    worker.suspension = std::clamp(worker.suspension * 2, initialSuspension, maxSuspension);
    worker.suspendedUntil = now + worker.suspension;
    // A single failure after the suspension suspends the worker again.
    worker.failuresInRow = maxFailuresInRow - 1;
    updateUsable(worker, now);
}

size_t WorkerFleet::suspendedCount(Instant now) const
{
    return static_cast<size_t>(std::count_if(m_workers.begin(), m_workers.end(), [now](const auto& named) {
        return named.second.suspension > absl::ZeroDuration() && named.second.suspendedUntil > now;
    }));
}

void WorkerFleet::updateUsable(Worker& worker, Instant now)
{
    const bool isResponsive = worker.isRecovered && !worker.ticket.empty() && now - worker.lastReplyAt < ticketValidity;
    const bool isSuspended = worker.suspension > absl::ZeroDuration() && worker.suspendedUntil > now;
    m_ledger.setUsable(worker.info.name, isResponsive && worker.isListed && !isLeaving(worker) && !isSuspended);
}

WorkerFleet::Worker* WorkerFleet::workerOf(const Run& run)
{
    auto it = m_workers.find(run.report.status.worker);
    return it == m_workers.end() ? nullptr : &it->second;
}

} // namespace cicada
