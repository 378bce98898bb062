#include "Cell.h"

#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** Placements are taken together that fall within this time. */
    constexpr absl::Duration placeDelay = absl::Milliseconds(5);
    /** A round ends after so many steps that found no room; those behind them wait for the next one. */
    constexpr size_t mostUnplaced = 150;
    /** Gangs keep the room of at most this share of the workers from all others while they wait for more. */
    constexpr double mostReservedShare = 0.15;
    constexpr absl::Duration reserveAfter = absl::Milliseconds(300);

    bool hasLabel(const ListedWorker& worker, const std::string& label)
    {
        return label.empty() || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
    }

    /** The share of the worker that stays free, in the resource that is scarcer. */
    double leftover(const Resources& free, const Resources& demand, const Resources& capacity)
    {
        const double cpu = static_cast<double>(free.cpuMillis - demand.cpuMillis)
            / static_cast<double>(std::max<int64_t>(1, capacity.cpuMillis));
        const double memory = static_cast<double>(free.memoryMiB - demand.memoryMiB)
            / static_cast<double>(std::max<int64_t>(1, capacity.memoryMiB));
        return std::max(cpu, memory);
    }

} // namespace

void Cell::advance(CellJob& job)
{
    const int64_t nowUnix = m_parts.timers.clock().wallMicros() / 1000;
    for (uint32_t k = 0; k < job.occurrences.size(); ++k) {
        const int64_t due = job.spec.occurrences == 0 ? 0 : job.spec.startUnixMillis + job.spec.intervalMillis * k;
        if (due > nowUnix) {
            m_parts.timers.after(
                absl::Milliseconds(due - nowUnix), guarded([this, id = job.spec.id, k] { occurrenceDue(id, k); }));
            continue;
        }
        for (uint32_t s = 0; s < job.spec.steps.size(); ++s)
            readyStep(job, { k, s });
    }
}

void Cell::occurrenceDue(const std::string& id, uint32_t occurrence)
{
    CellJob* job = findJob(id);
    if (!job || isEnded(job->phase))
        return;
    const int64_t due = job->spec.startUnixMillis + job->spec.intervalMillis * occurrence;
    const int64_t nowUnix = m_parts.timers.clock().wallMicros() / 1000;
    if (due > nowUnix) {
        // The time of day was set back meanwhile.
        m_parts.timers.after(
            absl::Milliseconds(due - nowUnix), guarded([this, id, occurrence] { occurrenceDue(id, occurrence); }));
        return;
    }
    for (uint32_t s = 0; s < job->spec.steps.size(); ++s)
        readyStep(*job, { occurrence, s });
}

void Cell::readyStep(CellJob& job, StepRef ref)
{
    CellStep& step = job.step(ref);
    if (step.isFinished() || isEnded(job.phase))
        return;
    if (!step.isReady) {
        for (const uint32_t earlier : job.stepSpec(ref).after) {
            if (!job.step({ ref.occurrence, earlier }).isFinished())
                return;
        }
        step.isReady = true;
        step.readyAt = m_parts.timers.clock().now();
        const QueuePolicy& policy = policyOf(job);
        const absl::Duration slack = policy.stretch * job.chain() + policy.latencyTarget;
        Instant begin = job.acceptedAt;
        if (job.spec.occurrences > 0)
            begin = step.readyAt;
        step.latestStart = begin + slack - job.chainFrom(ref.step);
    }
    queueStep(job, ref);
}

void Cell::unqueue(CellJob& job, StepRef ref)
{
    const CellStep& step = job.step(ref);
    const uint32_t priority = policyOf(job).priority;
    for (const bool isLate : { false, true })
        m_ready.erase({ isLate, priority, step.latestStart, job.spec.id, ref });
}

void Cell::queueStep(CellJob& job, StepRef ref)
{
    const CellStep& step = job.step(ref);
    if (!step.isReady || isEnded(job.phase) || waitingTasks(step).empty())
        return;
    unqueue(job, ref);
    const bool isLate = step.latestStart < m_parts.timers.clock().now();
    m_ready.insert({ isLate, policyOf(job).priority, step.latestStart, job.spec.id, ref });
    placeSoon();
}

std::vector<uint32_t> Cell::waitingTasks(const CellStep& step) const
{
    std::vector<uint32_t> waiting;
    for (uint32_t i = 0; i < step.tasks.size(); ++i) {
        if (step.tasks[i].stage == TaskStage::Waiting)
            waiting.push_back(i);
    }
    return waiting;
}

void Cell::placeSoon()
{
    if (m_isPlaceSet || m_ready.empty())
        return;
    m_isPlaceSet = true;
    m_parts.timers.after(placeDelay, guarded([this] {
        m_isPlaceSet = false;
        placeAll();
    }));
}

void Cell::placeAll()
{
    if (m_isDeposed)
        return;
    const Instant now = m_parts.timers.clock().now();
    const std::vector<Rank> ranks(m_ready.begin(), m_ready.end());
    m_usable.clear();
    std::vector<Reservation> reservations = reserveForGangs(ranks);
    auto reserved = reservations.begin();
    size_t unplaced = 0;
    for (const Rank& rank : ranks) {
        if (unplaced >= mostUnplaced)
            break;
        const bool hasReservation = reserved != reservations.end() && reserved->rank == &rank;
        if (hasReservation)
            reserved->release();
        const bool isDone = placeStep(rank);
        if (hasReservation && !isDone)
            reserved->hold();
        reserved += hasReservation ? 1 : 0;
        unplaced += isDone ? 0 : 1;
        if (isDone) {
            m_ready.erase(rank);
        } else if (!rank.isLate && rank.latestStart < now) {
            Rank late = rank;
            late.isLate = true;
            m_ready.erase(rank);
            m_ready.insert(late);
        }
    }
    // Advice that arrives later is used in the next round, which reserves anew.
    for (auto& [id, worker] : m_workers)
        worker.reserved = Resources();
}

void Cell::Reservation::hold() const
{
    for (const auto& [worker, room] : rooms)
        worker->reserved = worker->reserved + room;
}

void Cell::Reservation::release() const
{
    for (const auto& [worker, room] : rooms)
        worker->reserved = worker->reserved - room;
}

std::vector<Cell::Reservation> Cell::reserveForGangs(const std::vector<Rank>& ranks)
{
    const auto most = static_cast<size_t>(static_cast<double>(m_workers.size()) * mostReservedShare);
    const Instant now = m_parts.timers.clock().now();
    std::vector<Reservation> reservations;
    size_t reserved = 0;
    for (const Rank& rank : ranks) {
        if (reserved >= most)
            break;
        CellJob* job = findJob(rank.job);
        if (!job || !job->stepSpec(rank.ref).isGang || now - job->step(rank.ref).readyAt < reserveAfter)
            continue;
        Reservation reservation = reserveFor(*job, rank, most - reserved);
        if (reservation.rooms.empty())
            continue;
        reserved += reservation.rooms.size();
        reservation.hold();
        reservations.push_back(std::move(reservation));
    }
    return reservations;
}

Cell::Reservation Cell::reserveFor(CellJob& job, const Rank& rank, size_t mostWorkers)
{
    const StepSpec& spec = job.stepSpec(rank.ref);
    const CellStep& step = job.step(rank.ref);
    const Instant now = m_parts.timers.clock().now();
    std::vector<CellWorker*> on;
    for (const auto& [id, entry] : step.advice.allowed) {
        if (entry.worker->isUsable(now))
            on.push_back(entry.worker);
    }
    if (!policyOf(job).advice.isNeeded)
        on = candidates(job, spec);
    // Those that are nearest to empty are the soonest to have the room.
    std::sort(on.begin(), on.end(), [](const CellWorker* a, const CellWorker* b) {
        return std::make_tuple(-a->free().cpuMillis, absl::string_view(a->listed.life.id))
            < std::make_tuple(-b->free().cpuMillis, absl::string_view(b->listed.life.id));
    });
    Reservation reservation { &rank, {} };
    const Resources demand = demandOf(spec);
    uint64_t left = step.tasks.size();
    for (CellWorker* worker : on) {
        if (left == 0 || reservation.rooms.size() == mostWorkers)
            break;
        const uint64_t tasks = std::min(left, roomFor(demand, worker->listed.capacity));
        const Resources free = worker->free();
        const auto count = static_cast<int64_t>(tasks);
        reservation.rooms.emplace_back(worker,
            Resources { std::max<int64_t>(0, std::min(free.cpuMillis, demand.cpuMillis * count)),
                std::max<int64_t>(0, std::min(free.memoryMiB, demand.memoryMiB * count)),
                std::max<int64_t>(0, std::min(free.accelerators, demand.accelerators * count)) });
        left -= tasks;
    }
    // A gang for which there are too few workers in all would hold them in vain.
    if (left > 0)
        reservation.rooms.clear();
    return reservation;
}

const std::vector<CellWorker*>& Cell::usable(const std::string& service)
{
    const auto [found, isNew] = m_usable.try_emplace(service);
    if (!isNew)
        return found->second;
    const Instant now = m_parts.timers.clock().now();
    for (auto& [id, worker] : m_workers) {
        if (worker.listed.service == service && worker.isUsable(now))
            found->second.push_back(&worker);
    }
    return found->second;
}

std::vector<CellWorker*> Cell::candidates(CellJob& job, const StepSpec& spec)
{
    const std::vector<CellWorker*>& all = usable(policyOf(job).service);
    if (spec.requiredLabel.empty())
        return all;
    std::vector<CellWorker*> found;
    std::copy_if(all.begin(), all.end(), std::back_inserter(found),
        [&](const CellWorker* worker) { return hasLabel(worker->listed, spec.requiredLabel); });
    return found;
}

std::vector<Cell::Choice> Cell::place(
    CellJob& job, StepRef ref, const std::vector<CellWorker*>& on, bool isWhole, const std::string& rackOnly)
{
    const StepSpec& spec = job.stepSpec(ref);
    const CellStep& step = job.step(ref);
    const Resources demand = demandOf(spec);
    absl::flat_hash_map<std::string, uint32_t> counts;
    if (spec.maxPerWorker > 0) {
        for (const CellTask& task : step.tasks) {
            if (task.isOut())
                ++counts[task.worker];
        }
    }
    struct Room {
        CellWorker* worker;
        Resources free;
        bool isNear;
    };
    std::vector<Room> rooms;
    for (CellWorker* worker : on) {
        if (!rackOnly.empty() && worker->listed.rack != rackOnly)
            continue;
        if (fits(demand, worker->free()))
            rooms.push_back({ worker, worker->free(), !spec.dataRack.empty() && worker->listed.rack == spec.dataRack });
    }
    std::vector<Choice> choices;
    for (const uint32_t index : waitingTasks(step)) {
        Room* best = nullptr;
        double bestScore = 0;
        for (Room& room : rooms) {
            if (!fits(demand, room.free))
                continue;
            const std::string& id = room.worker->listed.life.id;
            if (spec.maxPerWorker > 0 && counts[id] >= spec.maxPerWorker)
                continue;
            const double score = leftover(room.free, demand, room.worker->listed.capacity) - (room.isNear ? 10 : 0)
                + (room.worker->slowness - 1);
            if (!best || score < bestScore) {
                best = &room;
                bestScore = score;
            }
        }
        if (!best) {
            if (isWhole)
                return {};
            break;
        }
        best->free = best->free - demand;
        ++counts[best->worker->listed.life.id];
        choices.push_back({ index, best->worker });
    }
    return choices;
}

bool Cell::placeWhole(CellJob& job, StepRef ref, const std::vector<CellWorker*>& on, std::vector<Choice>& choices)
{
    const StepSpec& spec = job.stepSpec(ref);
    if (spec.prefersOneRack) {
        absl::btree_set<std::string> racks;
        for (const CellWorker* worker : on)
            racks.insert(worker->listed.rack);
        for (const std::string& rack : racks) {
            choices = place(job, ref, on, true, rack);
            if (!choices.empty())
                return true;
        }
    }
    choices = place(job, ref, on, spec.isGang, "");
    return !choices.empty();
}

bool Cell::placeStep(const Rank& rank)
{
    CellJob* job = findJob(rank.job);
    if (!job || isEnded(job->phase))
        return true;
    CellStep& step = job->step(rank.ref);
    const StepSpec& spec = job->stepSpec(rank.ref);
    const size_t waiting = waitingTasks(step).size();
    if (waiting == 0)
        return true;
    const Instant now = m_parts.timers.clock().now();
    // A gang starts again only when nothing of its last run is out.
    if ((spec.isGang && waiting < step.tasks.size()) || step.notBefore > now)
        return false;
    if (policyOf(*job).advice.isNeeded)
        return placeWithAdvice(rank, *job, waiting);
    const std::vector<CellWorker*> all = candidates(*job, spec);
    std::vector<Choice> choices;
    if (!job->isStored || !placeWhole(*job, rank.ref, all, choices))
        return false;
    intend(*job, rank.ref, choices);
    return choices.size() == waiting;
}

void Cell::intend(CellJob& job, StepRef ref, const std::vector<Choice>& choices)
{
    const Resources demand = demandOf(job.stepSpec(ref));
    CellStep& step = job.step(ref);
    uint32_t run = 0;
    if (job.stepSpec(ref).isGang) {
        for (const CellTask& task : step.tasks)
            run = std::max(run, task.run);
    }
    std::vector<TaskRun> runs;
    for (const Choice& choice : choices) {
        CellTask& task = step.tasks[choice.index];
        task.stage = TaskStage::Intending;
        task.run = std::max(run, task.run) + 1;
        task.worker = choice.worker->listed.life.id;
        task.workerStarted = choice.worker->startedUnixMillis;
        runs.push_back({ { job.spec.id, ref.occurrence, ref.step, choice.index }, task.run });
        choice.worker->occupy(runs.back(), demand);
    }
    if (job.phase == JobPhase::Queued)
        job.phase = JobPhase::Running;
    storeRuns(job, guarded([this, id = job.spec.id, runs] { sendStarts(id, runs); }));
}

} // namespace cicada
