#include "CellWorker.h"

#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** An order that has not arrived after this long counts as lost. */
    constexpr absl::Duration unansweredRetention = absl::Seconds(20);

} // namespace

bool hasLabel(const ListedWorker& worker, const std::string& label)
{
    return label.empty() || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

void WorkerClock::addReading(int64_t workerMillis, Instant now)
{
    // A reply that arrives out of order carries an older reading than the current estimate.
    if (m_isKnown && workerMillis < estimate(now))
        return;
    m_isKnown = true;
    m_readMillis = workerMillis;
    m_readAt = now;
}

int64_t WorkerClock::estimate(Instant now) const
{
    return m_readMillis + static_cast<int64_t>(absl::ToDoubleMilliseconds(now - m_readAt) * minClockRate);
}

absl::Duration WorkerClock::ageOf(int64_t workerMillis, Instant now) const
{
    return m_isKnown ? absl::Milliseconds(std::max<int64_t>(0, estimate(now) - workerMillis)) : absl::ZeroDuration();
}

bool WorkerClock::leasesExpired(Instant now) const { return m_isKnown && estimate(now) > m_latestLease; }

void CellWorker::recordList(std::optional<int64_t> workerMillis, Instant now)
{
    const absl::Duration age = workerMillis ? clock.ageOf(*workerMillis, now) : absl::ZeroDuration();
    formerListedAt = listedAt;
    listedAt = std::max(listedAt, now - age);
}

void CellWorker::beginIncarnation(Instant now)
{
    unansweredStarts.clear();
    ++generation;
    incarnationKnownAt = now;
    isSyncing = false;
    isSyncScheduled = false;
    hasReplied = false;
    startedUnixMillis = 0;
    clock.reset();
    leaseKnownUntil = absl::ZeroDuration();
    undecidedRuns.clear();
    processedThrough = 0;
    acknowledgedThrough = 0;
    forgottenThrough = 0;
    pendingAcks.clear();
    failedJobs.clear();
    failedSyncs = 0;
    silentSince = absl::InfiniteDuration();
    confinedTo.clear();
    trialUntil = absl::ZeroDuration();
}

void CellWorker::allocate(
    const TaskRun& run, const Resources& demand, bool isOfService, const std::string& account, AccountUsage& usage)
{
    if (!allocations.try_emplace(run, RunAllocation { demand, isOfService, account }).second)
        return;
    usage.add(account, run.task.job, demand);
    used = used + demand;
    if (isOfService)
        usedByServices = usedByServices + demand;
}

bool CellWorker::release(const TaskRun& run, AccountUsage& usage)
{
    const auto found = allocations.find(run);
    if (found == allocations.end())
        return false;
    const std::string account = std::move(found->second.account);
    if (!account.empty())
        usage.remove(account, run.task.job, found->second.demand);
    used = used - found->second.demand;
    if (found->second.isOfService)
        usedByServices = usedByServices - found->second.demand;
    isolatedRuns -= found->second.isIsolated ? 1 : 0;
    allocations.erase(found);
    return !account.empty();
}

Resources CellWorker::free() const
{
    if (isKept())
        return {};
    return listed.capacity - used - reserved;
}

void CellWorker::isolate(const TaskRun& run)
{
    const auto found = allocations.find(run);
    if (found == allocations.end() || found->second.isIsolated)
        return;
    found->second.isIsolated = true;
    ++isolatedRuns;
}

void CellWorker::endIsolation(const TaskRun& run)
{
    const auto found = allocations.find(run);
    if (found == allocations.end() || !found->second.isIsolated)
        return;
    found->second.isIsolated = false;
    --isolatedRuns;
}

Resources CellWorker::freeInTime() const { return listed.capacity - usedByServices; }

bool CellWorker::runsJob(const std::string& job) const
{
    return std::any_of(
        allocations.begin(), allocations.end(), [&job](const auto& item) { return item.first.task.job == job; });
}

bool CellWorker::isFollowed(Instant now)
{
    undecidedRuns.erase(std::remove_if(undecidedRuns.begin(), undecidedRuns.end(),
                            [now](const UndecidedRun& lost) { return now - lost.concludedAt > followedFor; }),
        undecidedRuns.end());
    return !undecidedRuns.empty();
}

bool CellWorker::isWatched() const
{
    return std::any_of(allocations.begin(), allocations.end(), [](const auto& item) { return item.second.isWatched; });
}

Instant CellWorker::leaseUntil(const RunAllocation& allocation) const
{
    const bool isAtWork = allocation.wasConfirmed || allocation.wasListed;
    return isAtWork ? std::max(leaseKnownUntil, allocation.startLeaseUntil) : allocation.startLeaseUntil;
}

bool CellWorker::isUsable(Instant now) const
{
    return isListed && hasReplied && clock.isKnown() && !listed.isDraining && failedSyncs == 0 && suspendedUntil <= now;
}

void CellWorker::recordSilence(Instant now)
{
    silentSince = std::min(silentSince, now);
    ++failedSyncs;
}

void CellWorker::recordUnanswered(const TaskRun& run, Instant now)
{
    const auto found = allocations.find(run);
    if (found == allocations.end() || !found->second.wasSent || found->second.wasConfirmed)
        return;
    unansweredStarts.erase(std::remove_if(unansweredStarts.begin(), unansweredStarts.end(),
                               [now](const UnansweredStart& old) { return now - old.at > unansweredRetention; }),
        unansweredStarts.end());
    unansweredStarts.push_back({ run, found->second.demand, found->second.account, now });
}

void CellWorker::markDurable(uint64_t sequence)
{
    for (auto& [through, isDurable] : pendingAcks) {
        if (through == sequence)
            isDurable = true;
    }
    while (!pendingAcks.empty() && pendingAcks.front().second) {
        acknowledgedThrough = std::max(acknowledgedThrough, pendingAcks.front().first);
        pendingAcks.pop_front();
    }
}

} // namespace cicada
