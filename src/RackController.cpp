#include "RackController.h"

#include "Job.h"
#include "JobMessageHandler.h"

#include <algorithm>

namespace cicada {

namespace {

    /** How long a job that found no free capacity blocks later ones, and the pause before another job may do so. */
    constexpr absl::Duration priorityWindowDuration = absl::Seconds(2);
    constexpr absl::Duration priorityWindowPause = absl::Seconds(2);

} // namespace

RackController::RackController(const WorkerFleet::Parts& parts, PeerBus& peers, std::unique_ptr<PlacementScore> score)
    : m_parts(parts)
    , m_peers(peers)
    , m_score(std::move(score))
    , m_priorityWindow { {}, -absl::InfiniteDuration(), -absl::InfiniteDuration() }
    , m_fleet(parts, [this](const TaskRunReport& run, bool isGone) { noteRun(run, isGone); })
{
    handleJobMessages(m_peers, rackServiceSync, *this, &RackController::handleSync);
    handleJobMessages(m_peers, rackServiceHold, *this, &RackController::handleHold);
    handleJobMessages(m_peers, rackServiceCommit, *this, &RackController::handleCommit);
    handleJobMessages(m_peers, rackServiceRelease, *this, &RackController::handleRelease);
    handleJobMessages(m_peers, rackServiceStop, *this, &RackController::handleStop);
}

void RackController::tick(Instant now)
{
    m_fleet.tick(now);
    absl::btree_map<std::string, std::vector<PartitionReport>> due;
    for (auto& [number, partition] : m_partitions) {
        if (partition.owner.empty() || partition.version == partition.reported)
            continue;
        due[partition.owner].push_back(reportSince(number, partition.reported));
        partition.reported = partition.version;
    }
    for (auto& [owner, reports] : due)
        sendReport(owner, std::move(reports), {});
}

size_t RackController::heldTasks() const
{
    size_t tasks = 0;
    for (const auto& [key, hold] : m_holds)
        tasks += hold.rooms.size();
    return tasks;
}

void RackController::noteRun(const TaskRunReport& run, bool isGone)
{
    Partition& partition = m_partitions[jobPartition(run.status.id.job)];
    if (isGone) {
        partition.runs.erase(run.status.id);
        return;
    }
    partition.runs[run.status.id] = ++partition.version;
}

bool RackController::isCurrentOwner(const std::string& from, uint32_t partition, uint64_t epoch) const
{
    auto it = m_partitions.find(partition);
    return it != m_partitions.end() && it->second.owner == from && it->second.epoch == epoch;
}

bool RackController::acceptOwner(const std::string& from, const PartitionSync& sync)
{
    Partition& partition = m_partitions[sync.partition];
    if (sync.epoch < partition.epoch || m_parts.ownership.owner(claimGroup(sync.partition)) != from)
        return false;
    if (partition.owner != from || partition.epoch != sync.epoch) {
        // Capacity held for an earlier owner can no longer be committed.
        for (auto it = m_holds.begin(); it != m_holds.end();)
            it = it->second.ask.partition == sync.partition ? release(it) : std::next(it);
    }
    partition.owner = from;
    partition.epoch = sync.epoch;
    return true;
}

void RackController::handleSync(const std::string& from, const JobSync& sync)
{
    std::vector<PartitionReport> reports;
    for (const PartitionSync& item : sync.partitions) {
        if (!acceptOwner(from, item))
            continue;
        reports.push_back(reportSince(item.partition, item.session == m_parts.session ? item.version : 0));
    }
    for (const RunId& id : sync.forget) {
        if (m_partitions[jobPartition(id.job)].owner == from)
            m_fleet.forgetRun(id);
    }
    releaseExpiredHolds(from, sync);
    sendReport(from, std::move(reports), sync.forget);
}

void RackController::releaseExpiredHolds(const std::string& from, const JobSync& sync)
{
    const auto isExpired = [&sync](uint64_t ask) {
        return ask <= sync.lastAsk && std::find(sync.liveAsks.begin(), sync.liveAsks.end(), ask) == sync.liveAsks.end();
    };
    for (auto it = m_holds.lower_bound({ from, 0 }); it != m_holds.end() && it->first.first == from;)
        it = isExpired(it->first.second) ? release(it) : std::next(it);
    absl::erase_if(m_committed, [&](const HoldKey& key) { return key.first == from && isExpired(key.second); });
}

std::map<RackController::HoldKey, RackController::Hold>::iterator RackController::release(
    std::map<HoldKey, Hold>::iterator hold)
{
    for (const HeldAllocation& room : hold->second.rooms)
        returnCapacity(room);
    return m_holds.erase(hold);
}

void RackController::returnCapacity(const HeldAllocation& room)
{
    if (isCurrent(room))
        m_fleet.ledger().give(room.worker, room.task.demand);
}

void RackController::handleHold(const std::string& from, const HoldRequest& ask)
{
    HoldReply reply { ask.askId, m_parts.session, {} };
    const Instant now = m_parts.clock.now();
    const HoldKey key { from, ask.askId };
    if (isCurrentOwner(from, ask.partition, ask.epoch) && !m_holds.contains(key)
        && !isBlockedByPriority(ask.order, now)) {
        Hold hold = holdCapacity(ask);
        for (const HeldAllocation& room : hold.rooms)
            reply.held.push_back({ room.task.task, room.worker, room.rack, room.recovery });
        updatePriorityWindow(ask, hold.rooms.size() == ask.tasks.size(), now);
        if (!hold.rooms.empty())
            m_holds.emplace(key, std::move(hold));
    }
    m_peers.send(from, jobServiceHeld, encode(reply));
}

RackController::Hold RackController::holdCapacity(const HoldRequest& ask)
{
    Hold hold { ask, {} };
    SpreadCounts counts;
    if (ask.spread)
        counts = spreadOf(ask);
    for (const HoldTask& task : ask.tasks) {
        const WorkerAllocation* worker = m_fleet.ledger().choose(task.demand, *m_score, ask.spread ? &counts : nullptr);
        if (!worker) {
            preemptFor(ask, task);
            continue;
        }
        counts.add(*worker);
        hold.rooms.push_back({ task, worker->name, worker->rack, m_fleet.recovery(worker->rack) });
        m_fleet.ledger().take(worker->name, task.demand);
    }
    return hold;
}

SpreadCounts RackController::spreadOf(const HoldRequest& ask) const
{
    SpreadCounts counts;
    auto partition = m_partitions.find(ask.partition);
    if (partition == m_partitions.end())
        return counts;
    for (const auto& [id, version] : partition->second.runs) {
        const TaskRunReport* run = id.job == ask.order.job ? m_fleet.find(id) : nullptr;
        if (!run || !isActive(run->status.state))
            continue;
        if (const WorkerAllocation* worker = m_fleet.ledger().find(run->status.worker))
            counts.add(*worker);
    }
    return counts;
}

bool RackController::isBlockedByPriority(const JobOrder& order, Instant now) const
{
    return now < m_priorityWindow.until && m_priorityWindow.order < order;
}

void RackController::updatePriorityWindow(const HoldRequest& ask, bool isWhole, Instant now)
{
    const bool isHolder = m_priorityWindow.order.job == ask.order.job;
    if (isWhole) {
        if (isHolder)
            m_priorityWindow.until = now;
        return;
    }
    const bool isEarlier = now < m_priorityWindow.until && ask.order < m_priorityWindow.order;
    if (!isEarlier && now < m_priorityWindow.notBefore && !awaitsPreemption(ask.order.job))
        return;
    // A job that exceeds the capacity of each of this entry's workers would block the others in vain.
    const auto& workers = m_fleet.ledger().all();
    const bool couldFit = std::any_of(workers.begin(), workers.end(), [&ask](const WorkerAllocation& worker) {
        return worker.usable && fits(ask.tasks.front().demand, worker.capacity);
    });
    if (couldFit)
        m_priorityWindow
            = { ask.order, now + priorityWindowDuration, now + priorityWindowDuration + priorityWindowPause };
}

bool RackController::awaitsPreemption(const std::string& job)
{
    auto it = m_preempted.find(job);
    if (it == m_preempted.end())
        return false;
    const bool waits = std::any_of(it->second.begin(), it->second.end(), [this](const RunId& id) {
        const TaskRunReport* run = m_fleet.find(id);
        return run && isActive(run->status.state);
    });
    if (!waits)
        m_preempted.erase(it);
    return waits;
}

void RackController::preemptFor(const HoldRequest& ask, const HoldTask& task)
{
    if (awaitsPreemption(ask.order.job))
        return;
    std::vector<RunId> best;
    for (const WorkerAllocation& worker : m_fleet.ledger().all()) {
        if (!worker.usable || !fits(task.demand, worker.capacity))
            continue;
        Resources free = worker.capacity - worker.used;
        std::vector<RunId> victims;
        for (const RunStatus& run : m_fleet.preemptible(worker.name, ask.order.urgency)) {
            if (fits(task.demand, free))
                break;
            free = free + run.demand;
            victims.push_back(run.id);
        }
        if (fits(task.demand, free) && !victims.empty() && (best.empty() || victims.size() < best.size()))
            best = std::move(victims);
    }
    for (const RunId& id : best)
        m_fleet.stopRun(id, true);
    if (!best.empty())
        m_preempted[ask.order.job] = std::move(best);
}

void RackController::handleCommit(const std::string& from, const HoldCommit& commit)
{
    const HoldKey key { from, commit.askId };
    if (!isCurrentOwner(from, commit.partition, commit.epoch) || m_committed.contains(key))
        return;
    auto it = m_holds.find(key);
    if (it == m_holds.end()) {
        m_peers.send(from, jobServiceGone, encode(HoldGone { commit.askId, m_parts.session }));
        return;
    }
    m_committed.insert(key);
    Hold hold = std::move(it->second);
    m_holds.erase(it);
    for (const HeldAllocation& room : hold.rooms) {
        // If the rack was lost meanwhile, its new owner learns from the workers that nothing was started there.
        if (!isCurrent(room))
            continue;
        auto task = std::find_if(commit.tasks.begin(), commit.tasks.end(),
            [&room](const CommitTask& candidate) { return candidate.task == room.task.task; });
        if (task == commit.tasks.end()) {
            returnCapacity(room);
            continue;
        }
        WorkerStart start;
        start.id = { hold.ask.order.job, room.task.task, task->run };
        start.demand = room.task.demand;
        start.urgency = hold.ask.order.urgency;
        start.preemptible = hold.ask.preemptible;
        start.command = task->command;
        start.checkpoint = task->checkpoint;
        m_fleet.startRun(room.worker, std::move(start));
    }
}

void RackController::handleRelease(const std::string& from, const HoldRelease& message)
{
    auto it = m_holds.find({ from, message.askId });
    if (it != m_holds.end())
        release(it);
}

void RackController::handleStop(const std::string& from, const StopRuns& message)
{
    if (!isCurrentOwner(from, message.partition, message.epoch))
        return;
    for (const RunId& id : message.runs)
        m_fleet.stopRun(id, false);
}

PartitionReport RackController::reportSince(uint32_t number, uint64_t since)
{
    const Partition& partition = m_partitions[number];
    PartitionReport report { number, partition.epoch, since, partition.version, {} };
    for (const auto& [id, version] : partition.runs) {
        if (version <= since)
            continue;
        if (const TaskRunReport* run = m_fleet.find(id))
            report.runs.push_back(*run);
    }
    return report;
}

void RackController::sendReport(
    const std::string& to, std::vector<PartitionReport> partitions, std::vector<RunId> forgotten)
{
    m_peers.send(to, jobServiceReport,
        encode(JobReport { m_parts.session, ++m_sequence, m_fleet.recoveredRacks(), std::move(partitions),
            m_fleet.ledger().freeTotal(), std::move(forgotten) }));
}

} // namespace cicada
