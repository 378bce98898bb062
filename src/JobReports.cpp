/** \file
 * The part of JobController that exchanges reports with other entries: the runs of the jobs with the owners of racks,
 * and what each team uses with all peers.
 */

#include "JobController.h"

namespace cicada {

const PartitionView* JobController::viewOf(const std::string& entry, uint32_t number) const
{
    auto view = m_views.find(entry);
    return view == m_views.end() ? nullptr : view->second.partition(number);
}

void JobController::sendSyncs()
{
    absl::btree_set<std::string> owners;
    for (const std::string& rack : m_racks)
        owners.insert(rackOwner(rack));
    owners.erase("");
    for (const std::string& entry : owners) {
        const JobSync sync = syncFor(entry, m_views[entry]);
        if (!sync.partitions.empty())
            m_parts.peers.send(entry, rackServiceSync, encode(sync));
    }
}

JobSync JobController::syncFor(const std::string& entry, const EntryView& view) const
{
    JobSync sync;
    for (const auto& [number, partition] : m_partitions) {
        if (partition.recovery == Recovery::Listing)
            continue;
        const PartitionView* seen = view.partition(number);
        const bool isCurrent = seen && seen->epoch == partition.epoch;
        sync.partitions.push_back({ number, partition.epoch, view.session, isCurrent ? seen->version : 0 });
    }
    sync.lastAsk = m_lastHold;
    for (const auto& [holdId, hold] : m_pendingHolds) {
        if (hold.entry == entry)
            sync.liveAsks.push_back(holdId);
    }
    sync.forget = view.forget;
    return sync;
}

void JobController::sendTeams()
{
    m_teamUse.clear();
    for (const auto& [id, job] : m_jobs) {
        const std::string& team = job.active->record().spec.team;
        if (!team.empty())
            m_teamUse[team] = m_teamUse[team] + job.active->used();
    }
    if (m_teamUse.empty())
        return;
    TeamDigest digest;
    for (const auto& [team, used] : m_teamUse)
        digest.teams.push_back({ team, used });
    for (const std::string& peer : m_parts.peers.peerNames())
        m_parts.peers.send(peer, jobServiceTeams, encode(digest));
}

void JobController::handleReport(const std::string& from, const JobReport& report)
{
    EntryView& view = m_views[from];
    if (!view.accept(report, m_parts.clock.now()))
        return;
    noteForgotten(view, report.forgotten);
    auto racks = std::make_shared<RackRecoveries>();
    for (const RackView& rack : report.racks)
        racks->emplace(rack.rack, rack.recovery);
    for (const PartitionReport& partition : report.partitions)
        applyPartition(from, view, partition, racks);
}

void JobController::applyPartition(const std::string& from, EntryView& view, const PartitionReport& report,
    const std::shared_ptr<const RackRecoveries>& racks)
{
    auto partition = m_partitions.find(report.partition);
    if (partition == m_partitions.end() || partition->second.epoch != report.epoch
        || partition->second.recovery == Recovery::Listing)
        return;
    PartitionView& seen = view.partitions[report.partition];
    if (seen.epoch != report.epoch)
        seen = { report.epoch, 0, std::make_shared<RackRecoveries>() };
    // After a gap, the next sync requests all missing reports.
    if (report.since > seen.version)
        return;
    for (const TaskRunReport& run : report.runs)
        applyRun(from, view, run);
    seen.version = report.version;
    seen.racks = racks;
}

void JobController::applyRun(const std::string& from, EntryView& view, const TaskRunReport& run)
{
    const RunId& id = run.status.id;
    if (Job* job = findJob(id.job)) {
        job->active->apply(run, m_parts.clock.now());
        job->isDirty = true;
        return;
    }
    // The job's record was removed, so its runs are stopped or forgotten.
    if (isActive(run.status.state)) {
        if (const auto epoch = epochOf(id.job))
            m_parts.peers.send(from, rackServiceStop, encode(StopRuns { jobPartition(id.job), *epoch, { id } }));
    } else {
        view.addToForget(id);
    }
}

void JobController::noteForgotten(EntryView& view, const std::vector<RunId>& ids)
{
    for (const RunId& id : ids) {
        view.noteForgotten(id);
        if (Job* job = findJob(id.job))
            job->active->forget(id);
    }
}

void JobController::applyRackRecoveries(uint32_t number)
{
    absl::flat_hash_map<std::string, RackRecovery> current;
    for (const std::string& rack : m_racks) {
        const PartitionView* view = viewOf(rackOwner(rack), number);
        if (!view || view->epoch != m_partitions[number].epoch)
            continue;
        auto recovery = view->racks->find(rack);
        if (recovery != view->racks->end())
            current.insert(*recovery);
    }
    const Instant now = m_parts.clock.now();
    for (auto& [id, job] : m_jobs) {
        if (jobPartition(id) != number || job.active->hasEnded())
            continue;
        for (const auto& [rack, recovery] : current)
            job.active->noteRackRecovered(rack, recovery, now);
        job.isDirty = true;
    }
}

} // namespace cicada
