#include "ActiveJob.h"

#include "Json.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr size_t maxTasksShown = 1000;
    /** Enough for the longest pause. */
    constexpr int maxPauseDoublings = 16;

    const char* phaseName(TaskPhase phase)
    {
        switch (phase) {
        case TaskPhase::Waiting:
        case TaskPhase::Requested:
        case TaskPhase::Held:
            return "waiting";
        case TaskPhase::Committed:
            return "starting";
        case TaskPhase::Active:
            return "running";
        case TaskPhase::Ended:
            return "ended";
        }
        return "ended";
    }

    const char* markName(TaskMark mark)
    {
        switch (mark) {
        case TaskMark::Finished:
            return "finished";
        case TaskMark::Failed:
            return "failed";
        case TaskMark::Cancelled:
            return "cancelled";
        case TaskMark::NotRun:
            return "not-run";
        default:
            return "unknown";
        }
    }

} // namespace

ActiveJob::ActiveJob(JobRecord record)
    : m_record(std::move(record))
    , m_tasks(m_record.spec.tasks.size())
{
    for (uint32_t i = 0; i < m_tasks.size(); ++i) {
        if (isFinal(m_record.marks[i]))
            m_tasks[i].phase = TaskPhase::Ended;
    }
}

JobOrder ActiveJob::order() const { return { m_record.profile.urgency, m_record.acceptedMicros, m_record.spec.id }; }

bool ActiveJob::isDone() const { return std::all_of(m_record.marks.begin(), m_record.marks.end(), isFinal); }

bool ActiveJob::mustNotRunTwice(uint32_t task) const
{
    return !m_record.releases.empty() && m_record.spec.tasks[task].kind == TaskKind::Batch;
}

void ActiveJob::apply(const TaskRunReport& run, Instant now)
{
    const uint32_t index = run.status.id.task;
    if (index >= m_tasks.size())
        return;
    m_runs[run.status.id] = run;
    ActiveTask& task = m_tasks[index];
    task.wasReported = true;
    if (run.status.id.run < task.run || task.phase == TaskPhase::Ended)
        return;
    const bool isKnown = task.phase == TaskPhase::Active && run.status.id.run == task.run;
    if (!isKnown)
        task.activeSince = now;
    task.run = run.status.id.run;
    task.worker = run.status.worker;
    task.rack = run.rack;
    task.recovery = run.recovery;
    if (isActive(run.status.state))
        task.phase = TaskPhase::Active;
    else
        handleRunEnd(index, run.status, now);
}

void ActiveJob::handleRunEnd(uint32_t index, const RunStatus& status, Instant now)
{
    ActiveTask& task = m_tasks[index];
    const bool isService = m_record.spec.tasks[index].kind == TaskKind::Service;
    const bool again = isService || !mustNotRunTwice(index);
    const bool wasLost = status.state == RunState::Stopped || status.state == RunState::Lost;
    if (!wasLost && status.state != RunState::NotStarted)
        task.losses = 0;
    switch (status.state) {
    case RunState::Finished:
        return isService ? prepareNextRun(task) : setMark(index, TaskMark::Finished);
    case RunState::Failed:
        if (isService || (again && ++task.failures < maxFailures))
            return prepareNextRun(task);
        return setMark(index, TaskMark::Failed);
    case RunState::Checkpointed:
        task.checkpoint = status.checkpoint;
        return prepareNextRun(task);
    case RunState::NotStarted:
        return prepareNextRun(task);
    case RunState::Stopped:
    case RunState::Lost:
        return noteVanished(index, now);
    case RunState::Starting:
    case RunState::Running:
        return;
    }
}

void ActiveJob::noteRackRecovered(const std::string& rack, const RackRecovery& recovery, Instant now)
{
    absl::erase_if(m_runs,
        [&](const auto& item) { return item.second.rack == rack && recovery.supersedes(item.second.recovery); });
    for (uint32_t i = 0; i < m_tasks.size(); ++i) {
        const ActiveTask& task = m_tasks[i];
        const bool hasActiveRun = task.phase == TaskPhase::Committed || task.phase == TaskPhase::Active;
        if (hasActiveRun && task.rack == rack && recovery.supersedes(task.recovery))
            noteVanished(i, now);
    }
}

absl::Duration ActiveJob::pauseAfter(int losses)
{
    if (losses < 2)
        return absl::ZeroDuration();
    const int doublings = std::min(losses - 2, maxPauseDoublings);
    return std::min(firstPause * (1 << doublings), maxPause);
}

void ActiveJob::noteVanished(uint32_t index, Instant now)
{
    ActiveTask& task = m_tasks[index];
    if (task.phase == TaskPhase::Ended)
        return;
    if (mustNotRunTwice(index))
        return setMark(index, TaskMark::Unknown);
    if (task.phase == TaskPhase::Active && now - task.activeSince >= steadyTime)
        task.losses = 0;
    ++task.losses;
    task.pausedUntil = now + pauseAfter(task.losses);
    prepareNextRun(task);
}

void ActiveJob::finishRecovery()
{
    for (uint32_t i = 0; i < m_tasks.size(); ++i) {
        if (m_tasks[i].phase != TaskPhase::Waiting || !mustNotRunTwice(i))
            continue;
        // The last release is the run before the next one, if any worker reported that run.
        const uint32_t reported = m_tasks[i].wasReported ? m_tasks[i].run : 0;
        if (m_record.releases[i] > reported)
            setMark(i, TaskMark::Unknown);
    }
}

void ActiveJob::prepareNextRun(ActiveTask& task)
{
    ++task.run;
    task.phase = TaskPhase::Waiting;
    task.worker.clear();
    task.rack.clear();
    task.recovery = {};
}

void ActiveJob::setMark(uint32_t index, TaskMark mark)
{
    m_record.marks[index] = mark;
    m_tasks[index].phase = TaskPhase::Ended;
}

std::vector<uint32_t> ActiveJob::waitingTasks() const
{
    std::vector<uint32_t> waiting;
    for (uint32_t i = 0; i < m_tasks.size(); ++i) {
        if (m_tasks[i].phase == TaskPhase::Waiting)
            waiting.push_back(i);
    }
    return waiting;
}

std::vector<uint32_t> ActiveJob::startableTasks(Instant now) const
{
    std::vector<uint32_t> tasks = waitingTasks();
    const size_t waiting = tasks.size();
    std::erase_if(tasks, [&](uint32_t task) { return now < m_tasks[task].pausedUntil; });
    if (isGang() && tasks.size() != waiting)
        return {};
    return tasks;
}

Instant ActiveJob::startableFrom() const
{
    Instant first = absl::InfiniteDuration();
    Instant last = -absl::InfiniteDuration();
    for (const ActiveTask& task : m_tasks) {
        if (task.phase != TaskPhase::Waiting)
            continue;
        first = std::min(first, task.pausedUntil);
        last = std::max(last, task.pausedUntil);
    }
    return isGang() ? std::max(first, last) : first;
}

void ActiveJob::noteHeld(const HeldTask& held)
{
    ActiveTask& task = m_tasks[held.task];
    task.phase = TaskPhase::Held;
    task.worker = held.worker;
    task.rack = held.rack;
    task.recovery = held.recovery;
}

void ActiveJob::noteReleased(uint32_t index)
{
    ActiveTask& task = m_tasks[index];
    if (task.phase == TaskPhase::Requested || task.phase == TaskPhase::Held)
        task.phase = TaskPhase::Waiting;
}

void ActiveJob::noteNotStarted(uint32_t index)
{
    if (m_tasks[index].phase == TaskPhase::Committed)
        prepareNextRun(m_tasks[index]);
}

void ActiveJob::markReleased(uint32_t index)
{
    if (!mustNotRunTwice(index))
        return;
    m_record.marks[index] = TaskMark::Released;
    // The release count stays in step with the run numbers, even if a stored release was not used.
    m_record.releases[index] = std::max(m_record.releases[index], m_tasks[index].run) + 1;
    m_tasks[index].run = m_record.releases[index] - 1;
}

void ActiveJob::cancel(int64_t nowMicros) { endAll(TaskMark::Cancelled, JobState::Cancelled, nowMicros); }

void ActiveJob::giveUp(int64_t nowMicros) { endAll(TaskMark::NotRun, JobState::NotRun, nowMicros); }

void ActiveJob::endAll(TaskMark mark, JobState state, int64_t nowMicros)
{
    for (uint32_t i = 0; i < m_tasks.size(); ++i) {
        if (!isFinal(m_record.marks[i]))
            setMark(i, mark);
    }
    m_record.state = state;
    m_record.endedMicros = nowMicros;
}

bool ActiveJob::isNeverReleased() const
{
    return std::all_of(m_tasks.begin(), m_tasks.end(),
        [](const ActiveTask& task) { return task.phase == TaskPhase::Waiting && task.run == 0 && !task.wasReported; });
}

void ActiveJob::end(int64_t nowMicros)
{
    m_record.state = endState(m_record.marks);
    m_record.endedMicros = nowMicros;
}

std::vector<RunId> ActiveJob::runsToStop() const
{
    std::vector<RunId> ids;
    for (const auto& [id, run] : m_runs) {
        const ActiveTask& task = m_tasks[id.task];
        if (isActive(run.status.state) && (task.phase == TaskPhase::Ended || id.run < task.run))
            ids.push_back(id);
    }
    return ids;
}

std::vector<RunId> ActiveJob::runsToForget(bool isEndStored) const
{
    std::vector<RunId> ids;
    for (const auto& [id, run] : m_runs) {
        const ActiveTask& task = m_tasks[id.task];
        const bool isReplaced = id.run < task.run && task.phase == TaskPhase::Active;
        if (!isActive(run.status.state) && (isReplaced || isEndStored))
            ids.push_back(id);
    }
    return ids;
}

Resources ActiveJob::used() const
{
    Resources total;
    for (uint32_t i = 0; i < m_tasks.size(); ++i) {
        if (m_tasks[i].phase != TaskPhase::Waiting && m_tasks[i].phase != TaskPhase::Ended)
            total = total + m_record.spec.tasks[i].demand;
    }
    return total;
}

std::string ActiveJob::toJson() const
{
    Internal::Json tasks = Internal::Json::array();
    Internal::Json counts = Internal::Json::object();
    for (uint32_t i = 0; i < m_tasks.size(); ++i) {
        const ActiveTask& task = m_tasks[i];
        const char* state = isFinal(m_record.marks[i]) ? markName(m_record.marks[i]) : phaseName(task.phase);
        counts[state] = counts.value(state, 0) + 1;
        if (i < maxTasksShown)
            tasks.push_back({ { "task", i }, { "state", state }, { "run", task.run }, { "worker", task.worker },
                { "losses", task.losses } });
    }
    return Internal::Json {
        { "id", m_record.spec.id }, { "state", std::string(jobStateName(m_record.state)) },
        { "profile", m_record.spec.profile }, { "team", m_record.spec.team }, { "gang", m_record.spec.gang },
        { "counts", counts }, { "tasks", tasks }
    }.dump(-1, ' ', false, Internal::Json::error_handler_t::replace);
}

} // namespace cicada
