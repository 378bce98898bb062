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
        if (job && job->asks.empty() && now >= job->nextAttempt)
            due.push_back(order.job);
    }
    for (const std::string& id : due) {
        if (Job* job = findJob(id))
            requestNextHold(*job, now);
    }
}

void JobController::requestNextHold(Job& job, Instant now)
{
    const std::vector<uint32_t> tasks = allowedTasks(job);
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

std::vector<uint32_t> JobController::allowedTasks(const Job& job) const
{
    std::vector<uint32_t> allowed;
    const JobSpec& spec = job.active->record().spec;
    auto used = m_teamUse.find(spec.team);
    Resources taken = used == m_teamUse.end() ? Resources {} : used->second;
    const std::vector<uint32_t> waiting = job.active->waitingTasks();
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
    message.askId = ++m_lastAsk;
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
    PendingHold& ask = m_pendingHolds[message.askId];
    ask.entry = entry;
    ask.job = spec.id;
    ask.sentAt = now;
    ask.tasks = tasks;
    job.asks.insert(message.askId);
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
    PendingHold& ask = it->second;
    Job* job = findJob(ask.job);
    if (ask.hasReply || !job)
        return;
    ask.hasReply = true;
    ask.session = reply.session;
    ask.held = reply.held;
    for (const uint32_t task : ask.tasks)
        job->active->noteReleased(task);
    for (const HeldTask& held : ask.held)
        job->active->noteHeld(held);
    const bool isWhole = ask.held.size() == ask.tasks.size();
    const bool isEmpty = ask.held.empty();
    if (job->active->isGang()) {
        if (isWhole)
            return storeAndCommit(*job, { job->asks.begin(), job->asks.end() });
        return requestNextHold(*job, now);
    }
    if (isEmpty)
        dropHold(reply.askId);
    else
        storeAndCommit(*job, { reply.askId });
    if (job->active->waitingTasks().empty())
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

void JobController::release(Job& job, uint64_t askId)
{
    auto it = m_pendingHolds.find(askId);
    if (it == m_pendingHolds.end() || it->second.isCommitted)
        return;
    for (const uint32_t task : it->second.tasks)
        job.active->noteReleased(task);
    m_parts.peers.send(it->second.entry, rackServiceRelease, encode(HoldRelease { askId }));
    dropHold(askId);
}

void JobController::releaseUncommitted(Job& job)
{
    const auto asks = job.asks;
    for (const uint64_t askId : asks)
        release(job, askId);
}

void JobController::storeAndCommit(Job& job, std::vector<uint64_t> asks)
{
    bool mustStore = false;
    for (const uint64_t askId : asks) {
        for (const HeldTask& held : m_pendingHolds[askId].held) {
            job.active->markReleased(held.task);
            mustStore = mustStore || job.active->mustNotRunTwice(held.task);
        }
    }
    const std::string id = job.active->record().spec.id;
    if (!mustStore) {
        for (const uint64_t askId : asks)
            commit(job, askId);
        return;
    }
    m_parts.records.update(
        job.active->record(), releaseStoreTimeout, [this, id, asks = std::move(asks)](Result<JobRecord> stored) {
            Job* job = findJob(id);
            if (!job)
                return;
            if (stored)
                job->active->merge(stored.value());
            for (const uint64_t askId : asks) {
                if (stored && !job->active->hasEnded())
                    commit(*job, askId);
                else
                    release(*job, askId);
            }
            // While the store is unavailable, capacity that cannot be used is left to other jobs.
            if (!stored)
                job->nextAttempt = m_parts.clock.now() + releaseStoreTimeout;
            job->isDirty = true;
        });
}

void JobController::commit(Job& job, uint64_t askId)
{
    auto it = m_pendingHolds.find(askId);
    // A request that no longer exists belonged to an earlier term of this entry.
    if (it == m_pendingHolds.end())
        return;
    if (!epochOf(it->second.job))
        return release(job, askId);
    it->second.isCommitted = true;
    for (const HeldTask& held : it->second.held)
        job.active->noteCommitted(held.task);
    sendCommit(askId, it->second);
}

void JobController::sendCommit(uint64_t askId, const PendingHold& constAsk)
{
    PendingHold& ask = m_pendingHolds[askId];
    ask.committedAt = m_parts.clock.now();
    const Job* job = findJob(constAsk.job);
    const auto epoch = epochOf(constAsk.job);
    if (!job || !epoch)
        return;
    HoldCommit message { askId, jobPartition(ask.job), *epoch, {} };
    for (const HeldTask& held : ask.held) {
        const ActiveTask& task = job->active->tasks()[held.task];
        message.tasks.push_back(
            { held.task, task.run, job->active->record().spec.tasks[held.task].command, task.checkpoint });
    }
    m_parts.peers.send(ask.entry, rackServiceCommit, encode(message));
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
    for (const auto& [askId, ask] : m_pendingHolds)
        ids.push_back(askId);
    for (const uint64_t askId : ids) {
        auto it = m_pendingHolds.find(askId);
        if (it != m_pendingHolds.end())
            tickHold(askId, it->second, now);
    }
}

void JobController::tickHold(uint64_t askId, PendingHold& ask, Instant now)
{
    Job* job = findJob(ask.job);
    if (!job)
        return dropHold(askId);
    if (ask.isCommitted) {
        const bool isSettled = std::none_of(ask.held.begin(), ask.held.end(), [job](const HeldTask& held) {
            const ActiveTask& task = job->active->tasks()[held.task];
            return task.phase == TaskPhase::Committed && task.rack == held.rack && task.recovery == held.recovery;
        });
        if (isSettled)
            return dropHold(askId);
        if (now - ask.committedAt > commitRetry)
            sendCommit(askId, ask);
        return;
    }
    if (!ask.hasReply && now - ask.sentAt > holdTimeout) {
        release(*job, askId);
        finishRound(*job, false, now);
    }
}

void JobController::dropHold(uint64_t askId)
{
    auto it = m_pendingHolds.find(askId);
    if (it == m_pendingHolds.end())
        return;
    if (Job* job = findJob(it->second.job)) {
        job->asks.erase(askId);
        job->isDirty = true;
    }
    m_pendingHolds.erase(it);
}

} // namespace cicada
