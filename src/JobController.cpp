#include "JobController.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration tickInterval = absl::Milliseconds(20);
    constexpr absl::Duration syncInterval = absl::Milliseconds(500);
    constexpr absl::Duration checkInterval = absl::Milliseconds(500);
    constexpr absl::Duration auditInterval = absl::Seconds(2);
    constexpr absl::Duration listRetry = absl::Milliseconds(500);
    constexpr absl::Duration storeTimeout = absl::Seconds(5);
    constexpr absl::string_view claimGroupPrefix = "claims/";

} // namespace

JobController::JobController(Parts parts, ProfileLookUp lookUp)
    : m_parts(std::move(parts))
    , m_lookUp(std::move(lookUp))
    , m_random(m_parts.seed)
    , m_nextTick(-absl::InfiniteDuration())
    , m_nextSync(-absl::InfiniteDuration())
    , m_nextAudit(-absl::InfiniteDuration())
{
    handle(jobServiceReport, &JobController::handleReport);
    handle(jobServiceHeld, &JobController::handleHeld);
    handle(jobServiceGone, &JobController::handleGone);
    m_parts.ownership.onChange(
        [this](absl::string_view group, uint64_t epoch, bool owned) { handleOwnership(group, epoch, owned); });
    m_parts.backEnds.onChange([this] { refreshRacks(); });
    refreshRacks();
    for (uint32_t partition = 0; partition < claimPartitions; ++partition) {
        if (const auto term = m_parts.ownership.term(claimGroup(partition)))
            gain(partition, term->epoch);
    }
}

template <typename T>
void JobController::handle(absl::string_view service, void (JobController::*handler)(const std::string&, const T&))
{
    m_parts.peers.handle(service, [this, handler](absl::string_view from, absl::string_view bytes) {
        if (auto message = decodeJobMessage<T>(bytes))
            (this->*handler)(std::string(from), message.value());
    });
}

void JobController::refreshRacks()
{
    m_racks.clear();
    for (const BackEnd& backEnd : m_parts.backEnds.all()) {
        if (backEnd.kind == BackEndKind::Worker)
            m_racks.push_back(backEnd.rack);
    }
    std::sort(m_racks.begin(), m_racks.end());
    m_racks.erase(std::unique(m_racks.begin(), m_racks.end()), m_racks.end());
}

std::string JobController::rackOwner(const std::string& rack) const
{
    return m_parts.ownership.owner(absl::StrCat("rack/", rack));
}

void JobController::handleOwnership(absl::string_view group, uint64_t epoch, bool owned)
{
    uint32_t partition = 0;
    if (!absl::ConsumePrefix(&group, claimGroupPrefix) || !absl::SimpleAtoi(group, &partition))
        return;
    if (owned)
        gain(partition, epoch);
    else
        lose(partition);
}

void JobController::gain(uint32_t number, uint64_t epoch)
{
    lose(number);
    Partition& partition = m_partitions[number];
    partition.epoch = epoch;
    partition.nextList = -absl::InfiniteDuration();
}

void JobController::lose(uint32_t number)
{
    if (m_partitions.erase(number) == 0)
        return;
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        if (jobPartition(it->first) != number) {
            ++it;
            continue;
        }
        const auto asks = it->second.asks;
        for (const uint64_t ask : asks)
            dropHold(ask);
        m_waiting.erase(it->second.order);
        for (ReplyCallback& callback : it->second.cancelCallbacks)
            callback(Error { ErrorKind::NoAuthority, "The job has a new owner.", "Send the request again." });
        it = m_jobs.erase(it);
    }
    for (auto& [name, view] : m_views)
        view.partitions.erase(number);
}

void JobController::listJobs(uint32_t number)
{
    m_partitions[number].isListing = true;
    m_parts.records.list(
        number, [this, number, epoch = m_partitions[number].epoch](Result<std::vector<JobRecord>> records) {
            auto it = m_partitions.find(number);
            if (it == m_partitions.end() || it->second.epoch != epoch)
                return;
            Partition& partition = it->second;
            partition.isListing = false;
            partition.nextList = m_parts.clock.now() + listRetry;
            if (!records)
                return;
            for (JobRecord& record : records.value())
                addRecord(std::move(record));
            if (partition.recovery == Recovery::Listing)
                partition.recovery = Recovery::AwaitingReports;
        });
}

void JobController::addRecord(JobRecord record)
{
    const std::string id = record.spec.id;
    auto partition = m_partitions.find(jobPartition(id));
    if (partition == m_partitions.end() || m_jobs.contains(id))
        return;
    Job& job = m_jobs[id];
    job.isEndStored = record.state != JobState::Accepted;
    job.active = std::make_unique<ActiveJob>(std::move(record));
    job.order = job.active->order();
    job.isFirstOwner = partition->second.recovery == Recovery::Ready;
    job.addedAt = m_parts.clock.now();
    job.nextAttempt = -absl::InfiniteDuration();
    job.nextCheck = -absl::InfiniteDuration();
    if (partition->second.recovery == Recovery::Ready)
        job.active->finishRecovery();
}

void JobController::noteStored(const std::string& id)
{
    auto it = m_partitions.find(jobPartition(id));
    if (it == m_partitions.end() || m_jobs.contains(id))
        return;
    m_parts.records.read(id, [this, number = it->first, epoch = it->second.epoch](Result<JobRecord> record) {
        auto partition = m_partitions.find(number);
        if (record && partition != m_partitions.end() && partition->second.epoch == epoch)
            addRecord(std::move(record.value()));
    });
}

const JobController::PartitionView* JobController::viewOf(const std::string& entry, uint32_t number) const
{
    auto view = m_views.find(entry);
    if (view == m_views.end())
        return nullptr;
    auto partition = view->second.partitions.find(number);
    return partition == view->second.partitions.end() ? nullptr : &partition->second;
}

void JobController::checkRecovered(uint32_t number, Partition& partition)
{
    for (const std::string& rack : m_racks) {
        const PartitionView* view = viewOf(rackOwner(rack), number);
        if (!view || view->epoch != partition.epoch || !view->racks->contains(rack))
            return;
    }
    partition.recovery = Recovery::Ready;
    for (auto& [id, job] : m_jobs) {
        if (jobPartition(id) != number)
            continue;
        job.active->finishRecovery();
        job.isDirty = true;
    }
}

bool JobController::isReady(const std::string& id) const
{
    auto it = m_partitions.find(jobPartition(id));
    return it != m_partitions.end() && it->second.recovery != Recovery::Listing;
}

std::optional<std::string> JobController::find(const std::string& id) const
{
    auto it = m_jobs.find(id);
    return it == m_jobs.end() ? std::nullopt : std::optional<std::string>(it->second.active->toJson());
}

JobController::Job* JobController::findJob(const std::string& id)
{
    auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

std::optional<uint64_t> JobController::epochOf(const std::string& id) const
{
    const uint32_t number = jobPartition(id);
    auto it = m_partitions.find(number);
    const auto term = m_parts.ownership.term(claimGroup(number));
    if (it == m_partitions.end() || !term || term->epoch != it->second.epoch || term->until <= m_parts.clock.now())
        return std::nullopt;
    return term->epoch;
}

void JobController::cancel(const std::string& id, ReplyCallback callback)
{
    Job* job = findJob(id);
    if (!job)
        return callback(Error { ErrorKind::UnknownJob, absl::StrCat("There is no job ", id, "."), "Check the id." });
    if (!job->active->hasEnded()) {
        releaseUncommitted(*job);
        job->active->cancel(m_parts.clock.wallMicros());
        job->isDirty = true;
    }
    if (job->isEndStored)
        return callback(job->active->toJson());
    job->cancelCallbacks.push_back(std::move(callback));
    storeEnd(*job);
}

void JobController::storeEnd(Job& job)
{
    if (job.isStoringEnd)
        return;
    job.isStoringEnd = true;
    const std::string id = job.active->record().spec.id;
    m_parts.records.update(job.active->record(), storeTimeout, [this, id](Result<JobRecord> stored) {
        Job* job = findJob(id);
        if (!job)
            return;
        job->isStoringEnd = false;
        // The end of a job whose record was removed need not be stored.
        job->isEndStored = stored || stored.error().kind == ErrorKind::UnknownJob;
        if (stored)
            job->active->merge(stored.value());
        job->isDirty = true;
        std::vector<ReplyCallback> cancelCallbacks;
        cancelCallbacks.swap(job->cancelCallbacks);
        for (ReplyCallback& callback : cancelCallbacks)
            callback(stored ? Result<std::string>(job->active->toJson()) : Result<std::string>(stored.error()));
    });
}

void JobController::tick(Instant now)
{
    if (now < m_nextTick)
        return;
    m_nextTick = now + tickInterval;
    for (auto& [number, partition] : m_partitions) {
        if (partition.recovery == Recovery::Listing && !partition.isListing && now >= partition.nextList)
            listJobs(number);
        if (partition.recovery == Recovery::AwaitingReports)
            checkRecovered(number, partition);
    }
    if (now >= m_nextSync) {
        m_nextSync = now + syncInterval;
        sendSyncs();
        sendTeams();
        for (auto& [number, partition] : m_partitions)
            applyRackRecoveries(number);
    }
    audit(now);
    tickHolds(now);
    tickJobs(now);
    placeWaiting(now);
}

void JobController::audit(Instant now)
{
    if (now < m_nextAudit || m_partitions.empty())
        return;
    m_nextAudit = now + auditInterval;
    // Finds jobs whose notice was lost when the entry that accepted them failed.
    auto it = m_partitions.upper_bound(m_auditCursor);
    if (it == m_partitions.end())
        it = m_partitions.begin();
    m_auditCursor = it->first;
    if (it->second.recovery == Recovery::Ready && !it->second.isListing)
        listJobs(it->first);
}

void JobController::sendSyncs()
{
    absl::btree_set<std::string> owners;
    for (const std::string& rack : m_racks)
        owners.insert(rackOwner(rack));
    owners.erase("");
    for (const std::string& entry : owners) {
        EntryView& view = m_views[entry];
        JobSync sync;
        for (const auto& [number, partition] : m_partitions) {
            if (partition.recovery == Recovery::Listing)
                continue;
            auto seen = view.partitions.find(number);
            const bool isCurrent = seen != view.partitions.end() && seen->second.epoch == partition.epoch;
            sync.partitions.push_back({ number, partition.epoch, view.session, isCurrent ? seen->second.version : 0 });
        }
        if (sync.partitions.empty())
            continue;
        sync.lastAsk = m_lastAsk;
        for (const auto& [askId, ask] : m_pendingHolds) {
            if (ask.entry == entry)
                sync.liveAsks.push_back(askId);
        }
        sync.forget = view.forget;
        m_parts.peers.send(entry, rackServiceSync, encode(sync));
    }
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
    if (view.pastSessions.contains(report.session))
        return;
    if (view.session != report.session) {
        if (view.session != 0)
            view.pastSessions.insert(view.session);
        view.session = report.session;
        view.sequence = 0;
        view.partitions.clear();
    }
    if (report.sequence <= view.sequence)
        return;
    view.sequence = report.sequence;
    view.lastReportAt = m_parts.clock.now();
    view.free = report.free;
    view.ownsRacks = !report.racks.empty();
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
        job->active->apply(run);
        job->isDirty = true;
        return;
    }
    // The job's record was removed, so its runs are stopped or forgotten.
    if (isActive(run.status.state)) {
        if (const auto epoch = epochOf(id.job))
            m_parts.peers.send(from, rackServiceStop, encode(StopRuns { jobPartition(id.job), *epoch, { id } }));
    } else if (std::find(view.forget.begin(), view.forget.end(), id) == view.forget.end()) {
        view.forget.push_back(id);
    }
}

void JobController::noteForgotten(EntryView& view, const std::vector<RunId>& ids)
{
    for (const RunId& id : ids) {
        view.forget.erase(std::remove(view.forget.begin(), view.forget.end(), id), view.forget.end());
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
    for (auto& [id, job] : m_jobs) {
        if (jobPartition(id) != number || job.active->hasEnded())
            continue;
        for (const auto& [rack, recovery] : current)
            job.active->noteRackRecovered(rack, recovery);
        job.isDirty = true;
    }
}

void JobController::tickJobs(Instant now)
{
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        auto next = std::next(it);
        if (it->second.isDirty || now >= it->second.nextCheck)
            tickJob(it->first, it->second, now);
        it = next;
    }
}

void JobController::tickJob(const std::string& id, Job& job, Instant now)
{
    auto partition = m_partitions.find(jobPartition(id));
    if (partition == m_partitions.end() || partition->second.recovery != Recovery::Ready)
        return;
    job.isDirty = false;
    job.nextCheck = now + checkInterval;
    refreshProfile(job);
    shedIfLate(job, now);
    if (job.active->isDone() && !job.active->hasEnded())
        job.active->end(m_parts.clock.wallMicros());
    if (job.active->hasEnded() && !job.isEndStored)
        storeEnd(job);
    updateWaiting(job);
    stopRuns(job);
    forgetRuns(job);
    const int64_t age = m_parts.clock.wallMicros() - job.active->record().endedMicros;
    if (job.isEndStored && !job.active->hasRuns() && age > absl::ToInt64Microseconds(endedRetention)) {
        m_parts.records.remove(id);
        m_jobs.erase(id);
    }
}

void JobController::shedIfLate(Job& job, Instant now)
{
    const Profile& profile = job.active->record().profile;
    const bool hasExceededMaxWait = profile.whenShort == ShortageAction::Shed && now - job.addedAt > profile.maxWait;
    if (hasExceededMaxWait && job.isFirstOwner && job.asks.empty() && !job.active->hasEnded()
        && job.active->isNeverReleased())
        job.active->giveUp(m_parts.clock.wallMicros());
}

void JobController::refreshProfile(Job& job)
{
    if (const Profile* profile = m_lookUp(job.active->record().spec.profile))
        job.active->setProfile(*profile);
}

void JobController::updateWaiting(Job& job)
{
    m_waiting.erase(job.order);
    job.order = job.active->order();
    if (!job.active->hasEnded() && !job.active->waitingTasks().empty())
        m_waiting.insert(job.order);
}

void JobController::stopRuns(Job& job)
{
    const std::string& id = job.active->record().spec.id;
    const auto epoch = epochOf(id);
    if (!epoch || (job.active->hasEnded() && !job.isEndStored))
        return;
    absl::btree_map<std::string, std::vector<RunId>> byEntry;
    std::vector<RunId> due = job.active->runsToStop();
    const std::vector<RunId> moving = servicesToMove(job);
    due.insert(due.end(), moving.begin(), moving.end());
    for (const RunId& run : due)
        byEntry[rackOwner(job.active->runs().at(run).rack)].push_back(run);
    for (auto& [entry, runs] : byEntry)
        m_parts.peers.send(entry, rackServiceStop, encode(StopRuns { jobPartition(id), *epoch, std::move(runs) }));
}

std::vector<RunId> JobController::servicesToMove(const Job& job) const
{
    std::vector<RunId> moving;
    const auto& specs = job.active->record().spec.tasks;
    const auto& tasks = job.active->tasks();
    for (uint32_t i = 0; i < tasks.size(); ++i) {
        if (specs[i].kind != TaskKind::Service || tasks[i].phase != TaskPhase::Active)
            continue;
        const BackEnd* worker = m_parts.backEnds.find(tasks[i].worker);
        if (worker && (worker->leaving || m_parts.isStopping(*worker)))
            moving.push_back({ job.active->record().spec.id, i, tasks[i].run });
    }
    return moving;
}

void JobController::forgetRuns(Job& job)
{
    for (const RunId& run : job.active->runsToForget(job.isEndStored)) {
        const std::string entry = rackOwner(job.active->runs().at(run).rack);
        auto& forget = m_views[entry].forget;
        if (std::find(forget.begin(), forget.end(), run) == forget.end())
            forget.push_back(run);
    }
}

} // namespace cicada
