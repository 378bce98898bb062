#include "Cell.h"

namespace cicada {

namespace {

    constexpr absl::Duration loadRetryDelay = absl::Milliseconds(200);
    constexpr absl::Duration forgetInterval = absl::Seconds(10);
    constexpr size_t maxWaitingRequests = 5000;

    std::string cellPrefix(absl::string_view kind, uint32_t cell)
    {
        return absl::StrCat("cicada/", kind, "/", cell, "/");
    }

    std::string idOf(absl::string_view key) { return std::string(key.substr(key.rfind('/') + 1)); }

} // namespace

Cell::Cell(Parts parts, CellTerm term)
    : m_parts(std::move(parts))
    , m_term(std::move(term))
    , m_takenAt(m_parts.timers.clock().now())
    , m_writer({ m_parts.store, m_parts.timers, m_parts.log, m_parts.metrics,
                   [this](const std::string& key) { return valueOf(key); }, [this] { deposed("row-changed"); } },
          { m_term.row, m_term.token })
{
}

Cell::~Cell()
{
    *m_alive = false;
    m_parts.roster.unwatch();
    for (auto& [id, replies] : m_accepting) {
        for (Reply& reply : replies)
            reply({ CellAnswer::NotOwner });
    }
    for (auto& request : m_untilLoaded)
        request();
}

std::string Cell::jobKey(const std::string& id) const { return cellPrefix("job", m_term.cell) + id; }
std::string Cell::runKey(const std::string& id) const { return cellPrefix("run", m_term.cell) + id; }

void Cell::start()
{
    m_parts.log.write("cell-taken", "cell", m_term.cell, "token", m_term.token);
    load(cellPrefix("run", m_term.cell), "",
        [this] { load(cellPrefix("job", m_term.cell), "", [this] { finishLoading(); }); });
}

void Cell::load(const std::string& prefix, const std::string& afterKey, absl::AnyInvocable<void()> then)
{
    m_parts.store.listPage(
        prefix, afterKey, guarded([this, prefix, afterKey, then = std::move(then)](const StorePage& page) mutable {
            if (!page.isValid) {
                m_parts.log.write("cell-load-failed", "cell", m_term.cell, "prefix", prefix);
                return m_parts.timers.after(
                    loadRetryDelay, guarded([this, prefix, afterKey, then = std::move(then)]() mutable {
                        load(prefix, afterKey, std::move(then));
                    }));
            }
            const bool isJobs = prefix == cellPrefix("job", m_term.cell);
            std::string last;
            for (const StoreEntry& entry : page.entries) {
                last = entry.key;
                m_writer.setStoredRevision(entry.key, entry.index);
                isJobs ? takeJobRecord(idOf(entry.key), entry) : takeRunRecord(idOf(entry.key), entry);
            }
            if (page.hasMore && !last.empty())
                return load(prefix, last, std::move(then));
            then();
        }));
}

void Cell::takeRunRecord(const std::string& id, const StoreEntry& entry) { m_loadedRuns[id] = entry.value; }

void Cell::takeJobRecord(const std::string& id, const StoreEntry& entry)
{
    auto job = decodeJobRecord(id, entry.value);
    if (!job) {
        m_parts.log.write("job-record-unreadable", "job", id, "revision", entry.index, "error", job.error().message);
        return;
    }
    const auto runs = m_loadedRuns.find(id);
    if (runs != m_loadedRuns.end()) {
        auto applied = applyRunRecord(*job.value(), runs->second);
        if (!applied)
            m_parts.log.write("run-record-unreadable", "job", id, "error", applied.error().message);
        m_loadedRuns.erase(runs);
    }
    m_jobs[id] = std::move(job.value());
}

void Cell::finishLoading()
{
    const int64_t nowUnix = m_parts.timers.clock().wallMicros() / 1000;
    const Instant now = m_parts.timers.clock().now();
    for (const auto& [id, record] : m_loadedRuns) {
        int64_t ended = 0;
        auto phase = endedPhaseOf(record, ended);
        if (phase)
            m_ended[id] = { phase.value(), ended };
        else
            m_parts.log.write("run-record-unreadable", "job", id, "error", phase.error().message);
    }
    m_loadedRuns.clear();
    size_t out = 0;
    for (auto& [id, job] : m_jobs) {
        job->acceptedAt = now - absl::Milliseconds(std::max<int64_t>(0, nowUnix - job->acceptedUnixMillis));
        for (uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (uint32_t s = 0; s < job->occurrences[k].size(); ++s) {
                auto& tasks = job->occurrences[k][s].tasks;
                for (uint32_t i = 0; i < tasks.size(); ++i) {
                    if (!tasks[i].isOut())
                        continue;
                    CellWorker& worker = m_workers[tasks[i].worker];
                    worker.listed.life.id = tasks[i].worker;
                    const TaskRun run { { id, k, s, i }, tasks[i].run };
                    worker.occupy(run, job->spec.steps[s].demand);
                    worker.occupants[run].isInherited = true;
                    ++out;
                }
            }
        }
    }
    m_isLoaded = true;
    m_parts.log.write("cell-loaded", "cell", m_term.cell, "token", m_term.token, "jobs", m_jobs.size(), "ended",
        m_ended.size(), "runsOut", out, "tookMs", absl::ToInt64Milliseconds(now - m_takenAt));
    m_parts.roster.watch(
        guarded([this](const std::string& id, const ListedWorker* listed) { handleListed(id, listed); }),
        guarded([this] { placeSoon(); }));
    for (auto& [id, worker] : m_workers)
        checkSilent(worker);
    std::vector<CellJob*> active;
    for (auto& [id, job] : m_jobs) {
        if (!isEnded(job->phase))
            active.push_back(job.get());
    }
    for (CellJob* job : active)
        advance(*job);
    watchRuns();
    forgetOldJobs();
    auto requests = std::move(m_untilLoaded);
    m_untilLoaded.clear();
    for (auto& request : requests)
        request();
}

std::optional<std::string> Cell::valueOf(const std::string& key) const
{
    const std::string id = idOf(key);
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return std::nullopt;
    const CellJob& job = *found->second;
    if (key != jobKey(id))
        return encodeRunRecord(job);
    // An ended job keeps its run record only.
    if (isEnded(job.phase))
        return std::nullopt;
    return encodeJobRecord(job);
}

void Cell::whenLoaded(absl::AnyInvocable<void()> request)
{
    if (m_isLoaded)
        return request();
    m_untilLoaded.push_back(std::move(request));
}

CellJob* Cell::findJob(const std::string& id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

const QueuePolicy& Cell::policyOf(CellJob& job)
{
    if (const QueuePolicy* current = m_parts.policyOf(job.policy.queue))
        return *current;
    return job.policy;
}

void Cell::submit(Submission spec, QueuePolicy policy, Reply reply)
{
    if (!m_isLoaded && m_untilLoaded.size() >= maxWaitingRequests)
        return reply({ CellAnswer::Refused });
    whenLoaded([this, alive = m_alive, spec = std::move(spec), policy = std::move(policy),
                   reply = std::move(reply)]() mutable {
        if (!*alive || m_isDeposed)
            return reply({ CellAnswer::NotOwner });
        acceptJob(std::move(spec), std::move(policy), std::move(reply));
    });
}

void Cell::acceptJob(Submission spec, QueuePolicy policy, Reply reply)
{
    const std::string id = spec.id;
    if (m_ended.contains(id))
        return reply({ CellAnswer::Accepted });
    if (CellJob* known = findJob(id)) {
        m_parts.log.write("job-again", "job", id, "phase", jobPhaseName(known->phase), "stored", known->isStored);
        if (known->isStored)
            return reply({ CellAnswer::Accepted });
        m_accepting[id].push_back(std::move(reply));
        return;
    }
    auto job = makeCellJob(std::move(spec), std::move(policy), m_parts.timers.clock().wallMicros() / 1000);
    job->acceptedAt = m_parts.timers.clock().now();
    CellJob& kept = *(m_jobs[id] = std::move(job));
    m_accepting[id].push_back(std::move(reply));
    m_parts.metrics.count("cicada_cell_jobs");
    storeJob(kept);
    // Advice takes as long as the store does, so it is asked for meanwhile.
    advance(kept);
}

void Cell::storeJob(CellJob& job)
{
    const Instant begun = m_parts.timers.clock().now();
    m_writer.write(jobKey(job.spec.id), guarded([this, id = job.spec.id, begun] {
        CellJob* stored = findJob(id);
        if (!stored)
            return;
        stored->isStored = true;
        const double took = absl::ToDoubleMilliseconds(m_parts.timers.clock().now() - begun);
        m_parts.metrics.observe("cicada_store_accept_ms", took);
        m_parts.log.write("job-stored", "job", id, "queue", stored->policy.queue, "priority", stored->policy.priority,
            "steps", stored->spec.steps.size(), "tookMs", static_cast<int64_t>(took));
        std::vector<Reply> replies = std::move(m_accepting[id]);
        m_accepting.erase(id);
        if (!isEnded(stored->phase))
            advance(*stored);
        for (Reply& reply : replies)
            reply({ CellAnswer::Accepted });
    }));
}

void Cell::storeRuns(CellJob& job, DurableWriter::Done done)
{
    const std::string id = job.spec.id;
    m_writer.write(runKey(id), guarded([this, id, phase = job.phase, done = std::move(done)]() mutable {
        if (CellJob* stored = findJob(id))
            stored->storedPhase = std::max(stored->storedPhase, phase);
        if (done)
            done();
    }));
}

void Cell::query(const std::string& id, Reply reply)
{
    whenLoaded([this, alive = m_alive, id, reply = std::move(reply)]() mutable {
        if (!*alive || m_isDeposed)
            return reply({ CellAnswer::NotOwner });
        const auto ended = m_ended.find(id);
        if (ended != m_ended.end())
            return reply({ CellAnswer::Found, ended->second.first });
        const CellJob* job = findJob(id);
        if (!job || !job->isStored)
            return reply({ CellAnswer::Gone });
        if (isEnded(job->storedPhase))
            return reply({ CellAnswer::Found, job->storedPhase });
        reply({ CellAnswer::Found, job->hasBegun ? JobPhase::Running : JobPhase::Queued });
    });
}

void Cell::cancel(const std::string& id, Reply reply)
{
    whenLoaded([this, alive = m_alive, id, reply = std::move(reply)]() mutable {
        if (!*alive || m_isDeposed)
            return reply({ CellAnswer::NotOwner });
        cancelJob(id, std::move(reply));
    });
}

void Cell::cancelJob(const std::string& id, Reply reply)
{
    if (m_ended.contains(id))
        return reply({ CellAnswer::Cancelled });
    CellJob* job = findJob(id);
    if (!job)
        return reply({ CellAnswer::Gone });
    if (!isEnded(job->phase))
        endJob(*job, JobPhase::Cancelled, "caller");
    if (isEnded(job->storedPhase))
        return reply({ CellAnswer::Cancelled });
    storeRuns(*job, [reply = std::move(reply)]() mutable { reply({ CellAnswer::Cancelled }); });
}

void Cell::endJob(CellJob& job, JobPhase phase, absl::string_view cause)
{
    job.phase = phase;
    job.endedUnixMillis = m_parts.timers.clock().wallMicros() / 1000;
    const absl::Duration took = m_parts.timers.clock().now() - job.acceptedAt;
    m_parts.log.write("job-ended", "job", job.spec.id, "phase", jobPhaseName(phase), "cause", cause, "queue",
        job.policy.queue, "tookMs", absl::ToInt64Milliseconds(took));
    m_parts.metrics.count(absl::StrCat("cicada_jobs_ended{phase=\"", jobPhaseName(phase), "\"}"));
    m_parts.metrics.observe("cicada_job_ms", absl::ToDoubleMilliseconds(took));
    for (uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (uint32_t s = 0; s < job.occurrences[k].size(); ++s)
            unqueue(job, { k, s });
    }
    stopJob(job);
    // The job record goes once the end is durable; both writes may not pass each other.
    storeRuns(job, guarded([this, id = job.spec.id] { m_writer.writeDeferred(jobKey(id)); }));
}

size_t Cell::pending(const std::string& queue) const
{
    size_t count = 0;
    for (const auto& [id, job] : m_jobs) {
        const bool isOpen = job->phase == JobPhase::Queued || job->phase == JobPhase::Running;
        if (isOpen && job->isStored && job->policy.queue == queue && !job->hasBegun)
            ++count;
    }
    return count;
}

void Cell::forgetOldJobs()
{
    const int64_t oldest = m_parts.timers.clock().wallMicros() / 1000
        - absl::ToInt64Milliseconds(m_parts.bounds.endedRetention + absl::Seconds(5));
    std::vector<std::string> old;
    for (const auto& [id, job] : m_jobs) {
        if (isEnded(job->storedPhase) && job->endedUnixMillis < oldest)
            old.push_back(id);
    }
    for (const auto& [id, ended] : m_ended) {
        if (ended.second < oldest)
            old.push_back(id);
    }
    for (const std::string& id : old) {
        m_jobs.erase(id);
        m_ended.erase(id);
        m_writer.write(runKey(id), {});
    }
    m_parts.timers.after(forgetInterval, guarded([this] { forgetOldJobs(); }));
}

void Cell::deposed(const std::string& why)
{
    if (m_isDeposed)
        return;
    m_isDeposed = true;
    m_parts.log.write("cell-lost", "cell", m_term.cell, "token", m_term.token, "why", why);
    m_parts.onDeposed(why);
}

} // namespace cicada
