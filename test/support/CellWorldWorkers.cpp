/** \file
 * The part of CellWorld that plays the workers: what they do on orders, when their runs and leases end, and what they
 * list. The promises about runs are checked here.
 */

#include "CellWorld.h"

#include "Job.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

namespace cicada::test {

namespace {

    constexpr absl::Duration cancelBound = absl::Seconds(3);
    /** How long starts may rely on the capacity that a worker had: the time in which machines are in touch, and one
     * heartbeat. */
    constexpr absl::Duration shrinkTransit = absl::Milliseconds(4000 + 1500);

} // namespace

int64_t CellWorld::clockOf(const WorldWorker& worker) const
{
    return absl::ToInt64Milliseconds(now() - worker.startedAt) + 5000;
}

WorldWorker* CellWorld::workerOf(const WorkerIncarnation& incarnation, size_t& index)
{
    for (index = 0; index < m_workers.size(); ++index) {
        if (m_workers[index].id == incarnation.id)
            return &m_workers[index];
    }
    return nullptr;
}

absl::Duration CellWorld::workOf(const Submission& job, const TaskName& name) const
{
    return job.steps[name.step].estimate * (0.8 + 0.1 * (std::hash<std::string>()(describeTask(name)) % 5));
}

OrderReply CellWorld::startAt(WorldWorker& worker, const StartOrder& order)
{
    const TaskRun& run = order.run;
    const auto index = static_cast<size_t>(&worker - m_workers.data());
    OrderReply reply { OrderStatus::Done, clockOf(worker) };
    if (order.fencingToken < worker.token) {
        reply.status = OrderStatus::Fenced;
        return reply;
    }
    worker.token = order.fencingToken;
    if (worker.runs.contains(run))
        return reply;
    if (worker.refuses) {
        reply.status = OrderStatus::Unhealthy;
        return reply;
    }
    if (order.leaseEndMillis <= clockOf(worker)) {
        reply.status = OrderStatus::LeaseExpired;
        return reply;
    }
    const auto over = worker.highestOver.find(run.task);
    if (over != worker.highestOver.end() && run.run <= over->second) {
        reply.status = OrderStatus::StaleRun;
        return reply;
    }
    Job& job = m_jobs[run.task.job];
    if (job.spec.steps.empty()) {
        violate(absl::StrCat("a start of a job that was not submitted: ", describeRun(run)));
        return reply;
    }
    const StepSpec& step = job.spec.steps[run.task.step];
    int64_t ticketEnd = 0;
    const bool isTicketValid
        = absl::SimpleAtoi(order.ticket, &ticketEnd) && absl::ToInt64Milliseconds(now()) <= ticketEnd;
    if (policyOfJob(run.task.job).advice.isNeeded && !isTicketValid) {
        reply.status = OrderStatus::NoTicket;
        return reply;
    }
    if (job.active.contains(run.task))
        violate(absl::StrCat("two runs at once: ", describeRun(run), " on ", worker.id));
    if (job.finishedAcked.contains(run.task))
        violate(absl::StrCat("started after its end was acknowledged: ", describeRun(run)));
    if (job.isCancelAcked && now() - job.cancelAckedAt > cancelBound)
        violate(absl::StrCat("started long after its cancel: ", describeRun(run)));
    const auto& answers = m_answers[run.task.job];
    // An attempt that was never answered has not been rejected.
    if (answers.size() == job.attempts && !m_accepted.contains(run.task.job)
        && std::all_of(answers.begin(), answers.end(), [](GatewayStatus status) {
               return status == GatewayStatus::Refused || status == GatewayStatus::Unreached;
           }))
        violate(absl::StrCat("a refused job runs: ", describeRun(run)));
    const uint64_t serial = ++m_lastSerial;
    const absl::Duration work = m_work ? m_work(job.spec, run.task, index) : workOf(job.spec, run.task);
    worker.runs[run] = { step.demand, now() + work, step.isGang, serial, now(), order.checkpoint };
    job.active[run.task] = index;
    ++job.starts;
    job.firstStart = job.firstStart.value_or(now());
    job.histories[run.task].recordStart(now());
    judge(run.task);
    size_t here = 0;
    for (const auto& [other, state] : worker.runs)
        here += other.task.job == run.task.job && other.task.step == run.task.step ? 1 : 0;
    job.maxOnOne = std::max(job.maxOnOne, here);
    m_startOrder.push_back(run);
    m_lastStartAt = now();
    Resources used;
    for (const auto& [other, state] : worker.runs)
        used = used + state.demand;
    if (!fits(used, judgedCapacityOf(worker)))
        violate(absl::StrCat("more than it can hold: ", worker.id, " with ", describeRun(run)));
    judgeLimit(run);
    judgeCrashes(run);
    judgeCheckpoint(order);
    const bool hasLabel
        = step.requiredLabel.empty() || step.requiredLabel == worker.kind || step.requiredLabel == worker.rack;
    if (!hasLabel)
        violate(absl::StrCat("without the label that it requires: ", describeRun(run), " on ", worker.id));
    extendLease(index, order.leaseEndMillis);
    m_timers.after(work, [this, index, run, serial] { runDone(index, run, serial); });
    crashSoon(index, serial, run);
    return reply;
}

void CellWorld::judgeCheckpoint(const StartOrder& order)
{
    const TaskName& task = order.run.task;
    Job& job = m_jobs[task.job];
    if (!job.spec.steps[task.step].isGang)
        return;
    const auto [first, isFirst]
        = job.gangCheckpoints.try_emplace({ task.occurrence, task.step, order.run.run }, order.checkpoint);
    if (!isFirst && first->second != order.checkpoint)
        violate(absl::StrCat("members of a gang carry different checkpoints: ", describeRun(order.run), " has \"",
            order.checkpoint, "\", another \"", first->second, "\""));
}

void CellWorld::saveCheckpoint(const std::string& job, const std::string& checkpoint)
{
    for (WorldWorker& worker : m_workers) {
        for (auto& [run, state] : worker.runs) {
            if (run.task.job == job)
                state.checkpoint = checkpoint;
        }
    }
}

Resources CellWorld::judgedCapacityOf(const WorldWorker& worker)
{
    const Resources former = worker.formerCapacity.value_or(worker.capacity);
    return { std::max(former.cpuMillis, worker.capacity.cpuMillis),
        std::max(former.memoryMiB, worker.capacity.memoryMiB),
        std::max(former.accelerators, worker.capacity.accelerators) };
}

void CellWorld::setCapacity(size_t index, const Resources& capacity)
{
    WorldWorker& worker = m_workers[index];
    worker.formerCapacity = judgedCapacityOf(worker);
    worker.capacity = capacity;
    m_timers.after(shrinkTransit, [this, index, change = ++worker.capacityChanges] {
        if (m_workers[index].capacityChanges == change)
            m_workers[index].formerCapacity.reset();
    });
    listWorker(worker);
}

int64_t CellWorld::cpuMillisOf(const std::string& account) const
{
    int64_t sum = 0;
    for (const WorldWorker& worker : m_workers) {
        for (const auto& [run, state] : worker.runs)
            sum += m_jobs.at(run.task.job).spec.account == account ? state.demand.cpuMillis : 0;
    }
    return sum;
}

void CellWorld::judgeLimit(const TaskRun& started)
{
    const std::string& account = m_jobs[started.task.job].spec.account;
    const auto limit = m_judgedLimits.find(account);
    if (limit != m_judgedLimits.end() && cpuMillisOf(account) > wholeLimit(limit->second).cpuMillis)
        violate(absl::StrCat("above the limit of ", account, ": ", describeRun(started)));
}

void CellWorld::runDone(size_t index, const TaskRun& run, uint64_t serial)
{
    WorldWorker& worker = m_workers[index];
    const auto found = worker.runs.find(run);
    if (found == worker.runs.end() || found->second.serial != serial)
        return;
    if (found->second.isGang)
        return endGang(run);
    endRun(worker, run, drawFailure(worker) ? RunEnding::Failed : RunEnding::Finished);
}

bool CellWorld::drawFailure(const WorldWorker& worker)
{
    if (worker.failShare > 0)
        return std::uniform_real_distribution<>(0, 1)(m_random) < worker.failShare;
    return worker.fails;
}

void CellWorld::endGang(const TaskRun& first)
{
    struct Member {
        WorldWorker& worker;
        TaskRun run;
        bool fails;
    };
    std::vector<Member> members;
    bool fails = false;
    for (WorldWorker& worker : m_workers) {
        for (const auto& [run, state] : worker.runs) {
            const bool isMember = run.task.job == first.task.job && run.task.occurrence == first.task.occurrence
                && run.task.step == first.task.step && run.run == first.run;
            if (!isMember)
                continue;
            members.push_back({ worker, run, drawFailure(worker) });
            fails = fails || members.back().fails;
        }
    }
    for (const Member& member : members)
        endRun(member.worker, member.run,
            member.fails ? RunEnding::Failed
                : fails  ? RunEnding::GangBroken
                         : RunEnding::Finished);
}

void CellWorld::endRun(WorldWorker& worker, const TaskRun& run, RunEnding ending)
{
    const WorldWorker::Run& over = worker.runs[run];
    if (ending == RunEnding::Finished)
        m_finishedAt[run.task.job] = now();
    else
        m_wastedCoreSeconds += absl::ToDoubleSeconds(now() - over.beganAt) * over.demand.cpuMillis / 1000;
    const std::string saved = ending == RunEnding::Finished ? std::string() : over.checkpoint;
    worker.runs.erase(run);
    m_jobs[run.task.job].active.erase(run.task);
    uint32_t& highest = worker.highestOver[run.task];
    highest = std::max(highest, run.run);
    worker.ended.push_back({ ++worker.lastSequence, run, ending, saved });
    worker.endedAt[worker.lastSequence] = now();
    auto waiting = std::move(worker.waiting);
    worker.waiting.clear();
    for (auto& wake : waiting)
        wake();
}

OrderReply CellWorld::stopAt(WorldWorker& worker, const TaskRun& run, uint64_t token)
{
    if (token < worker.token)
        return { OrderStatus::Fenced, clockOf(worker) };
    worker.token = token;
    if (worker.runs.contains(run)) {
        endRun(worker, run, RunEnding::Stopped);
    } else {
        uint32_t& highest = worker.highestOver[run.task];
        highest = std::max(highest, run.run);
    }
    return { OrderStatus::Done, clockOf(worker) };
}

SyncReply CellWorld::listAt(WorldWorker& worker)
{
    SyncReply reply;
    reply.status = OrderStatus::Done;
    reply.workerClockMillis = clockOf(worker);
    reply.startedUnixMillis = worker.started;
    for (const auto& [run, state] : worker.runs) {
        const double share = absl::FDivDuration(now() - state.beganAt, state.endsAt - state.beganAt);
        reply.running.push_back({ run, state.checkpoint, m_listsProgress ? static_cast<int>(share * 100) : 10 });
    }
    const size_t count = std::min(worker.ended.size(), worker.maxListedEnds);
    reply.ended.assign(worker.ended.begin(), worker.ended.begin() + static_cast<ptrdiff_t>(count));
    reply.hasAllEnds = count < worker.maxListedEnds;
    return reply;
}

void CellWorld::acknowledge(WorldWorker& worker, uint64_t through)
{
    std::vector<EndedRun> left;
    for (const EndedRun& ended : worker.ended) {
        if (ended.sequence > through) {
            left.push_back(ended);
            continue;
        }
        Job& job = m_jobs[ended.run.task.job];
        // Tasks of services run again however they end.
        if (job.spec.steps[ended.run.task.step].isService)
            continue;
        const bool hasLapsed = worker.endsBeforeLapse.contains(ended.sequence);
        job.histories[ended.run.task].recordAcknowledgedEnd(
            ended.ending, hasLapsed ? now() : worker.endedAt[ended.sequence]);
        judge(ended.run.task);
        if (ended.ending != RunEnding::Finished || hasLapsed)
            continue;
        job.finishedAcked.insert(ended.run.task);
        if (job.active.contains(ended.run.task))
            violate(absl::StrCat("runs though its end is acknowledged: ", describeRun(ended.run)));
    }
    worker.ended = std::move(left);
}

void CellWorld::judge(const TaskName& task)
{
    const std::string violation = m_jobs[task.job].histories[task].violation(m_policy.maxAttempts);
    if (!violation.empty())
        violate(absl::StrCat(violation, ": ", describeTask(task)));
}

void CellWorld::extendLease(size_t index, int64_t end)
{
    WorldWorker& worker = m_workers[index];
    const int64_t capped = std::min(end, clockOf(worker) + absl::ToInt64Milliseconds(m_maxLease));
    worker.leaseEnd = std::max(worker.leaseEnd, capped);
    const absl::Duration left = absl::Milliseconds(worker.leaseEnd - clockOf(worker));
    m_timers.after(std::max(left, absl::ZeroDuration()), [this, index] { checkLease(index); });
}

void CellWorld::checkLease(size_t index)
{
    WorldWorker& worker = m_workers[index];
    if (worker.isDown || clockOf(worker) < worker.leaseEnd)
        return;
    for (const EndedRun& ended : worker.ended)
        worker.endsBeforeLapse.insert(ended.sequence);
    std::vector<TaskRun> runs;
    for (const auto& [run, state] : worker.runs)
        runs.push_back(run);
    for (const TaskRun& run : runs)
        endRun(worker, run, RunEnding::LeaseEnded);
}

} // namespace cicada::test
