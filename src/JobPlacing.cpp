/** \file
 * The part of JobController that requests capacity from the owners of racks and releases tasks to start.
 */

#include "JobController.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration holdTimeout = absl::Seconds(2);
    constexpr absl::Duration commitRetry = absl::Milliseconds(500);
    constexpr absl::Duration initialBackoff = absl::Milliseconds(100);
    constexpr absl::Duration maxBackoff = absl::Milliseconds(800);
    constexpr absl::Duration viewLifetime = absl::Seconds(3);
    constexpr absl::Duration releaseStoreTimeout = absl::Seconds(5);
    constexpr size_t maxPendingHolds = 256;
    constexpr size_t maxTasksPerHold = 200;

} // namespace

void JobController::placeWaiting(Instant now)
{
    std::vector<std::string> due;
    for (const JobOrder& order : m_waiting) {
        if (m_pendingHolds.size() + due.size() >= maxPendingHolds)
            break;
        const Job* job = findJob(order.job);
        if (job && job->holds.empty() && now >= std::max(job->nextAttempt, job->startableFrom))
            due.push_back(order.job);
    }
    for (const std::string& id : due) {
        if (Job* job = findJob(id))
            requestNextHold(*job, now);
    }
}

void JobController::requestNextHold(Job& job, Instant now)
{
    const std::vector<uint32_t> tasks = allowedTasks(job, now);
    const std::string entry = chooseEntry(job);
    if (tasks.empty() || entry.empty() || job.active->hasEnded() || !epochOf(job.order.job))
        return finishRound(job, false, now);
    sendRequest(job, entry, tasks, now);
}

std::string JobController::chooseEntry(const Job& job) const
{
    std::string best;
    int64_t bestFree = -1;
    for (const auto& [name, view] : m_views) {
        const bool hasReplied = view.ownsRacks && m_parts.clock.now() - view.lastReportAt < viewLifetime;
        if (!hasReplied || job.queried.contains(name))
            continue;
        // Gangs query the entries in the order of their names, so that two gangs cannot each wait for capacity that the
        // other holds.
        if (job.active->isGang())
            return name;
        if (view.free.cpuMillis > bestFree) {
            best = name;
            bestFree = view.free.cpuMillis;
        }
    }
    return best;
}

std::vector<uint32_t> JobController::allowedTasks(const Job& job, Instant now) const
{
    std::vector<uint32_t> allowed;
    const JobSpec& spec = job.active->record().spec;
    auto used = m_teamUse.find(spec.team);
    Resources taken = used == m_teamUse.end() ? Resources {} : used->second;
    const std::vector<uint32_t> waiting = job.active->startableTasks(now);
    for (const uint32_t task : waiting) {
        if (!m_parts.quotas.allows(spec.team, taken, spec.tasks[task].demand))
            continue;
        taken = taken + spec.tasks[task].demand;
        allowed.push_back(task);
        if (!spec.gang && allowed.size() == maxTasksPerHold)
            break;
    }
    if (spec.gang && allowed.size() != waiting.size())
        return {};
    const bool isService = !spec.gang && spec.tasks[waiting.empty() ? 0 : waiting[0]].kind == TaskKind::Service;
    const size_t entries = static_cast<size_t>(std::count_if(m_views.begin(), m_views.end(),
        [&job](const auto& named) { return named.second.ownsRacks && !job.queried.contains(named.first); }));
    // Services are spread evenly over all entries, since each entry owns different racks.
    if (isService && entries > 1 && job.refusals == 0)
        allowed.resize((allowed.size() + entries - 1) / entries);
    return allowed;
}

void JobController::sendRequest(Job& job, const std::string& entry, const std::vector<uint32_t>& tasks, Instant now)
{
    const JobSpec& spec = job.active->record().spec;
    const Profile& profile = job.active->record().profile;
    HoldRequest message;
    message.askId = ++m_lastHold;
    message.partition = jobPartition(spec.id);
    message.epoch = *epochOf(spec.id);
    message.order = job.active->order();
    message.gang = spec.gang;
    message.spread = spec.tasks[tasks[0]].kind == TaskKind::Service;
    message.preemptible = profile.whenShort == ShortageAction::Preempt;
    for (const uint32_t task : tasks) {
        message.tasks.push_back({ task, spec.tasks[task].demand });
        job.active->noteRequested(task);
        m_teamUse[spec.team] = m_teamUse[spec.team] + spec.tasks[task].demand;
    }
    PendingHold& hold = m_pendingHolds[message.askId];
    hold.entry = entry;
    hold.job = spec.id;
    hold.sentAt = now;
    hold.tasks = tasks;
    job.holds.insert(message.askId);
    job.queried.insert(entry);
    m_parts.peers.send(entry, rackServiceHold, encode(message));
}

void JobController::handleHeld(const std::string& from, const HoldReply& reply)
{
    const Instant now = m_parts.clock.now();
    auto it = m_pendingHolds.find(reply.askId);
    if (it == m_pendingHolds.end() || it->second.entry != from) {
        m_parts.peers.send(from, rackServiceRelease, encode(HoldRelease { reply.askId }));
        return;
    }
    PendingHold& hold = it->second;
    Job* job = findJob(hold.job);
    if (hold.hasReply || !job)
        return;
    hold.hasReply = true;
    hold.session = reply.session;
    hold.held = reply.held;
    for (const uint32_t task : hold.tasks)
        job->active->noteReleased(task);
    for (const HeldTask& held : hold.held)
        job->active->noteHeld(held);
    const bool isWhole = hold.held.size() == hold.tasks.size();
    const bool isEmpty = hold.held.empty();
    if (job->active->isGang()) {
        if (isWhole)
            return storeAndCommit(*job, { job->holds.begin(), job->holds.end() });
        return requestNextHold(*job, now);
    }
    if (isEmpty)
        dropHold(reply.askId);
    else
        storeAndCommit(*job, { reply.askId });
    if (job->active->startableTasks(now).empty())
        return finishRound(*job, true, now);
    requestNextHold(*job, now);
}

void JobController::finishRound(Job& job, bool madeProgress, Instant now)
{
    // A gang without capacity for all of its tasks releases what it held, and waits a random time before a retry.
    if (!madeProgress && job.active->isGang())
        releaseUncommitted(job);
    job.queried.clear();
    job.refusals = madeProgress ? 0 : std::min(job.refusals + 1, 10);
    const absl::Duration backoff = std::min(initialBackoff * (1 << job.refusals), maxBackoff);
    job.nextAttempt = madeProgress ? now : now + backoff * std::uniform_real_distribution<double>(0.5, 1)(m_random);
    job.isDirty = true;
}

void JobController::release(Job& job, uint64_t holdId)
{
    auto it = m_pendingHolds.find(holdId);
    if (it == m_pendingHolds.end() || it->second.isCommitted)
        return;
    for (const uint32_t task : it->second.tasks)
        job.active->noteReleased(task);
    m_parts.peers.send(it->second.entry, rackServiceRelease, encode(HoldRelease { holdId }));
    dropHold(holdId);
}

void JobController::releaseUncommitted(Job& job)
{
    const auto holds = job.holds;
    for (const uint64_t holdId : holds)
        release(job, holdId);
}

void JobController::storeAndCommit(Job& job, std::vector<uint64_t> holds)
{
    bool mustStore = false;
    for (const uint64_t holdId : holds) {
        for (const HeldTask& held : m_pendingHolds[holdId].held) {
            job.active->markReleased(held.task);
            mustStore = mustStore || job.active->mustNotRunTwice(held.task);
        }
    }
    const std::string id = job.active->record().spec.id;
    if (!mustStore) {
        for (const uint64_t holdId : holds)
            commit(job, holdId);
        return;
    }
    m_parts.records.update(
        job.active->record(), releaseStoreTimeout, [this, id, holds = std::move(holds)](Result<JobRecord> stored) {
            Job* job = findJob(id);
            if (!job)
                return;
            if (stored)
                job->active->merge(stored.value());
            for (const uint64_t holdId : holds) {
                if (stored && !job->active->hasEnded())
                    commit(*job, holdId);
                else
                    release(*job, holdId);
            }
            // While the store is unavailable, capacity that cannot be used is left to other jobs.
            if (!stored)
                job->nextAttempt = m_parts.clock.now() + releaseStoreTimeout;
            job->isDirty = true;
        });
}

void JobController::commit(Job& job, uint64_t holdId)
{
    auto it = m_pendingHolds.find(holdId);
    // A request that no longer exists belonged to an earlier term of this entry.
    if (it == m_pendingHolds.end())
        return;
    if (!epochOf(it->second.job))
        return release(job, holdId);
    it->second.isCommitted = true;
    for (const HeldTask& held : it->second.held)
        job.active->noteCommitted(held.task);
    sendCommit(holdId, it->second);
}

void JobController::sendCommit(uint64_t holdId, PendingHold& hold)
{
    hold.committedAt = m_parts.clock.now();
    const Job* job = findJob(hold.job);
    const auto epoch = epochOf(hold.job);
    if (!job || !epoch)
        return;
    HoldCommit message { holdId, jobPartition(hold.job), *epoch, {} };
    for (const HeldTask& held : hold.held) {
        const ActiveTask& task = job->active->tasks()[held.task];
        message.tasks.push_back(
            { held.task, task.run, job->active->record().spec.tasks[held.task].command, task.checkpoint });
    }
    m_parts.peers.send(hold.entry, rackServiceCommit, encode(message));
}

void JobController::handleGone(const std::string& from, const HoldGone& message)
{
    auto it = m_pendingHolds.find(message.askId);
    if (it == m_pendingHolds.end() || it->second.entry != from || !it->second.isCommitted)
        return;
    // Another incarnation of that entry does not have its predecessor's starts; the recovery of its racks finds them.
    if (it->second.session != message.session)
        return;
    if (Job* job = findJob(it->second.job)) {
        for (const HeldTask& held : it->second.held) {
            const ActiveTask& task = job->active->tasks()[held.task];
            if (task.rack == held.rack && task.recovery == held.recovery)
                job->active->noteNotStarted(held.task);
        }
        job->isDirty = true;
    }
    dropHold(message.askId);
}

void JobController::tickHolds(Instant now)
{
    std::vector<uint64_t> ids;
    for (const auto& [holdId, hold] : m_pendingHolds)
        ids.push_back(holdId);
    for (const uint64_t holdId : ids) {
        auto it = m_pendingHolds.find(holdId);
        if (it != m_pendingHolds.end())
            tickHold(holdId, it->second, now);
    }
}

void JobController::tickHold(uint64_t holdId, PendingHold& hold, Instant now)
{
    Job* job = findJob(hold.job);
    if (!job)
        return dropHold(holdId);
    if (hold.isCommitted) {
        const bool isSettled = std::none_of(hold.held.begin(), hold.held.end(), [job](const HeldTask& held) {
            const ActiveTask& task = job->active->tasks()[held.task];
            return task.phase == TaskPhase::Committed && task.rack == held.rack && task.recovery == held.recovery;
        });
        if (isSettled)
            return dropHold(holdId);
        if (now - hold.committedAt > commitRetry)
            sendCommit(holdId, hold);
        return;
    }
    if (!hold.hasReply && now - hold.sentAt > holdTimeout) {
        release(*job, holdId);
        finishRound(*job, false, now);
    }
}

void JobController::dropHold(uint64_t holdId)
{
    auto it = m_pendingHolds.find(holdId);
    if (it == m_pendingHolds.end())
        return;
    if (Job* job = findJob(it->second.job)) {
        job->holds.erase(holdId);
        job->isDirty = true;
    }
    m_pendingHolds.erase(it);
}

} // namespace cicada
