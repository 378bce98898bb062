#include "JobController.h"

#include "JobMessageHandler.h"

#include "absl/strings/str_cat.h"

namespace cicada {

namespace {

    constexpr absl::Duration tickInterval = absl::Milliseconds(20);
    constexpr absl::Duration syncInterval = absl::Milliseconds(500);
    constexpr absl::Duration checkInterval = absl::Milliseconds(500);
    constexpr absl::Duration storeTimeout = absl::Seconds(5);

} // namespace

JobController::JobController(Parts parts, ProfileLookUp lookUp)
    : m_parts(std::move(parts))
    , m_lookUp(std::move(lookUp))
    , m_random(m_parts.seed)
    , m_nextTick(-absl::InfiniteDuration())
    , m_nextSync(-absl::InfiniteDuration())
    , m_nextAudit(-absl::InfiniteDuration())
{
    handleJobMessages(m_parts.peers, jobServiceReport, *this, &JobController::handleReport);
    handleJobMessages(m_parts.peers, jobServiceHeld, *this, &JobController::handleHeld);
    handleJobMessages(m_parts.peers, jobServiceGone, *this, &JobController::handleGone);
    m_parts.ownership.onChange(
        [this](absl::string_view group, uint64_t epoch, bool owned) { handleOwnership(group, epoch, owned); });
    m_parts.backEnds.onChange([this] { refreshRacks(); });
    refreshRacks();
    for (uint32_t partition = 0; partition < claimPartitions; ++partition) {
        if (const auto term = m_parts.ownership.term(claimGroup(partition)))
            gain(partition, term->epoch);
    }
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
    if (hasExceededMaxWait && job.isFirstOwner && job.holds.empty() && !job.active->hasEnded()
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
    job.startableFrom = job.active->startableFrom();
    if (!job.active->hasEnded() && job.startableFrom != absl::InfiniteDuration())
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
    for (const RunId& run : job.active->runsToForget(job.isEndStored))
        m_views[rackOwner(job.active->runs().at(run).rack)].addToForget(run);
}

} // namespace cicada
