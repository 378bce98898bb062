#include "Cell.h"

namespace cicada {

namespace {

    constexpr absl::Duration loadRetryDelay = absl::Milliseconds(200);
    constexpr absl::Duration expiryInterval = absl::Seconds(10);
    constexpr size_t maxWaitingRequests = 5000;
    /** Added to the retention of ended jobs, whose ends are stored as time of day: that may step by seconds. */
    constexpr absl::Duration clockStepMargin = absl::Seconds(30);

} // namespace

Cell::Cell(Parts parts, CellTerm term)
    : m_parts(std::move(parts))
    , m_term(std::move(term))
    , m_ownedSince(m_parts.timers.clock().now())
    , m_writer(
          { m_parts.store, m_parts.timers, m_parts.log, m_parts.metrics,
              [this](const std::string& key) { return valueOf(key); }, [this] { handleSuperseded("row-changed"); } },
          { m_term.row, m_term.token })
    , m_accountRate(m_term.cells)
    , m_suspects(m_crashDelays, m_parts.timers.clock())
{
}

Cell::~Cell()
{
    *m_alive = false;
    m_parts.roster.unwatch();
    for (auto& [id, replies] : m_acceptReplies) {
        for (Reply& reply : replies)
            reply({ CellOutcome::NotOwner });
    }
    for (auto* replies : { &m_goneReplies, &m_confirmedReplies }) {
        for (Reply& reply : *replies)
            reply({ CellOutcome::NotOwner });
    }
    for (auto& request : m_requestsUntilLoaded)
        request();
    for (auto& [id, requests] : m_requestsWhileMoving) {
        for (auto& request : requests)
            request();
    }
}

std::string Cell::cellKey(absl::string_view kind, uint32_t cell, absl::string_view id)
{
    return absl::StrCat("cicada/", kind, "/", cell, "/", id);
}

std::string Cell::idOf(absl::string_view key) { return std::string(key.substr(key.rfind('/') + 1)); }

std::string Cell::jobKey(const std::string& id) const { return cellKey(jobKind, m_term.cell, id); }
std::string Cell::runKey(const std::string& id) const { return cellKey(runKind, m_term.cell, id); }

void Cell::start()
{
    m_parts.log.write("cell-taken", "cell", m_term.cell, "token", m_term.token);
    // A job can arrive from another cell between the two, and then without its runs all of them would be ordered again.
    load(jobKey(""), "", [this] { load(runKey(""), "", [this] { finishLoading(); }); });
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
            const bool isJobs = prefix == jobKey("");
            std::string last;
            for (const StoreEntry& entry : page.entries) {
                last = entry.key;
                m_writer.setStoredRevision(entry.key, entry.index);
                isJobs ? loadJobRecord(idOf(entry.key), entry) : loadRunRecord(idOf(entry.key), entry);
            }
            if (page.hasMore && !last.empty())
                return load(prefix, last, std::move(then));
            then();
        }));
}

void Cell::loadJobRecord(const std::string& id, const StoreEntry& entry)
{
    if (const auto cell = transferMarkOf(entry.value)) {
        m_marks[id] = { *cell, m_parts.timers.clock().now() };
        return;
    }
    auto job = decodeJobRecord(id, entry.value);
    if (!job) {
        m_parts.log.write("job-record-unreadable", "job", id, "revision", entry.index, "error", job.error().message);
        return;
    }
    m_hasAccounts = m_hasAccounts || !job.value()->spec.account.empty();
    m_jobs[id] = std::move(job.value());
}

void Cell::loadRunRecord(const std::string& id, const StoreEntry& entry)
{
    if (CellJob* job = findJob(id)) {
        auto applied = applyRunRecord(*job, entry.value);
        if (!applied)
            m_parts.log.write("run-record-unreadable", "job", id, "error", applied.error().message);
        return;
    }
    if (transferMarkOf(entry.value))
        return;
    auto ended = endedJobOf(entry.value);
    if (ended) {
        logEvidence(m_parts.log, id, ended.value().evidence);
        ended.value().evidence.clear();
        m_endedJobs[id] = std::move(ended.value());
    } else {
        // A job that has arrived since the job records were read; the notice of its arrival is read next.
        m_parts.log.write("run-record-without-job", "job", id, "error", ended.error().message);
    }
}

void Cell::finishLoading()
{
    const int64_t nowUnix = m_parts.timers.clock().wallMicros() / 1000;
    const Instant now = m_parts.timers.clock().now();
    size_t activeRuns = 0;
    for (auto& [id, job] : m_jobs) {
        job->acceptedAt = now - absl::Milliseconds(std::max<int64_t>(0, nowUnix - job->acceptedUnixMillis));
        for (uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (uint32_t s = 0; s < job->occurrences[k].size(); ++s) {
                auto& tasks = job->occurrences[k][s].tasks;
                for (uint32_t i = 0; i < tasks.size(); ++i) {
                    if (!tasks[i].hasActiveRun())
                        continue;
                    CellWorker& worker = m_workers[tasks[i].worker];
                    worker.listed.incarnation.id = tasks[i].worker;
                    const TaskRun run { { id, k, s, i }, tasks[i].run };
                    const StepSpec& spec = job->spec.steps[s];
                    allocate(worker, run, demandOf(spec), spec.isService, job->spec.account);
                    RunAllocation& allocation = worker.allocations[run];
                    allocation.isInherited = true;
                    allocation.startLeaseUntil = inheritedLeaseUntil(tasks[i]);
                    allocation.isWatched = hasLatelyLostRuns(tasks[i]);
                    ++activeRuns;
                }
            }
        }
    }
    isolateInherited();
    m_isLoaded = true;
    m_loadedAt = now;
    m_parts.timers.after(hearingTime, guarded([this] { schedulePlacement(); }));
    m_parts.log.write("cell-loaded", "cell", m_term.cell, "token", m_term.token, "jobs", m_jobs.size(), "ended",
        m_endedJobs.size(), "runsOut", activeRuns, "tookMs", absl::ToInt64Milliseconds(now - m_ownedSince));
    m_parts.roster.watch(
        guarded([this](const std::string& id, const ListedWorker* listed) { handleListed(id, listed); }),
        guarded([this] { schedulePlacement(); }));
    for (auto& [id, worker] : m_workers)
        checkUnresponsive(worker);
    std::vector<CellJob*> active;
    for (auto& [id, job] : m_jobs) {
        if (!isEnded(job->phase)) {
            active.push_back(job.get());
            continue;
        }
        logEvidence(m_parts.log, id, evidenceAtEnd(*job));
        removeJobRecord(id);
    }
    for (CellJob* job : active) {
        if (job->hasSuspects())
            m_suspectJobs.insert(job->spec.id);
        advance(*job);
    }
    checkStuckRuns();
    removeExpiredJobs();
    publishRunTimeFactors();
    startTransfers();
    auto requests = std::move(m_requestsUntilLoaded);
    m_requestsUntilLoaded.clear();
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
    if (key == arrivalKey(m_term.cell, id))
        return std::nullopt;
    if (key != jobKey(id))
        return encodeRunRecord(job);
    // Of an ended job only the run record is kept, once its runs no longer count as its account's.
    if (isEnded(job.phase) && m_accountUsage.runsOf(id) == 0)
        return std::nullopt;
    return encodeJobRecord(job);
}

void Cell::runWhenLoaded(absl::AnyInvocable<void()> request)
{
    if (m_isLoaded)
        return request();
    m_requestsUntilLoaded.push_back(std::move(request));
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

double Cell::weightOf(const std::string& account) const
{
    if (account.empty())
        return 1;
    const ClientAccount* found = m_parts.accountOf ? m_parts.accountOf(account) : nullptr;
    return found ? found->weight : 1;
}

void Cell::submit(Submission spec, QueuePolicy policy, Reply reply)
{
    if (!m_isLoaded && m_requestsUntilLoaded.size() >= maxWaitingRequests)
        return reply({ CellOutcome::Refused });
    runWhenLoaded([this, alive = m_alive, spec = std::move(spec), policy = std::move(policy),
                      reply = std::move(reply)]() mutable {
        if (!*alive || m_isSuperseded)
            return reply({ CellOutcome::NotOwner });
        acceptJob(std::move(spec), std::move(policy), std::move(reply));
    });
}

void Cell::acceptJob(Submission spec, QueuePolicy policy, Reply reply)
{
    const std::string id = spec.id;
    if (m_endedJobs.contains(id) || m_marks.contains(id))
        return reply({ CellOutcome::Accepted });
    if (CellJob* known = findJob(id)) {
        m_parts.log.write("job-again", "job", id, "phase", jobPhaseName(known->phase), "stored", known->isStored);
        if (known->isStored)
            return reply({ CellOutcome::Accepted });
        m_acceptReplies[id].push_back(std::move(reply));
        return;
    }
    if (exceedsLimit(spec)) {
        m_parts.log.write("job-refused", "job", id, "account", spec.account, "why", "larger-than-account-limit");
        CellReply refused { CellOutcome::Refused };
        refused.reason = RefusalCode::LargerThanAccountLimit;
        return reply(refused);
    }
    auto job = makeCellJob(std::move(spec), std::move(policy), m_parts.timers.clock().wallMicros() / 1000);
    job->acceptedAt = m_parts.timers.clock().now();
    const AdmissionDecision decision = admissionOf(*job);
    if (decision.isRefused())
        return replyRefused(*job, decision, std::move(reply));
    const std::string& account = job->spec.account;
    if (!account.empty()) {
        m_hasAccounts = true;
        job->isExcess = m_accountRate.recordAccepted(account, weightOf(account), job->acceptedAt);
    }
    if (job->isExcess)
        m_parts.log.write("job-excess", "job", id, "account", account, "weight", weightOf(account));
    CellJob& kept = *(m_jobs[id] = std::move(job));
    m_acceptReplies[id].push_back(std::move(reply));
    m_parts.metrics.count("cicada_cell_jobs");
    storeJob(kept);
    // Advice takes about as long as the write to the store, so it is requested in parallel.
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
            "steps", stored->spec.steps.size(), "widest", widestStep(stored->spec), "tookMs",
            static_cast<int64_t>(took));
        std::vector<Reply> replies = std::move(m_acceptReplies[id]);
        m_acceptReplies.erase(id);
        if (!isEnded(stored->phase))
            advance(*stored);
        for (Reply& reply : replies)
            reply({ CellOutcome::Accepted });
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

void Cell::query(const std::string& id, bool isRedirected, Reply reply)
{
    whenLocated(id, isRedirected, std::move(reply), [this, id](Reply located) {
        const auto ended = m_endedJobs.find(id);
        if (ended != m_endedJobs.end())
            return located(CellReply::found(ended->second.phase, ended->second.crashes));
        const CellJob* job = findJob(id);
        if (!job || !job->isStored)
            return replyGone(std::move(located));
        if (isEnded(job->storedPhase))
            return located(CellReply::found(job->storedPhase, crashesAtEnd(*job)));
        located(CellReply::found(job->hasBegun ? JobPhase::Running : JobPhase::Queued, 0));
    });
}

void Cell::cancel(const std::string& id, bool isRedirected, Reply reply)
{
    whenLocated(id, isRedirected, std::move(reply), [this, id](Reply located) {
        const CellJob* job = findJob(id);
        if (!job || !job->isMoving)
            return cancelJob(id, std::move(located));
        // The owner of the cell to which the job moves cancels it, or this one if it stays.
        m_requestsWhileMoving[id].push_back([this, alive = m_alive, id, located = std::move(located)]() mutable {
            if (!*alive)
                return located({ CellOutcome::NotOwner });
            cancel(id, false, std::move(located));
        });
    });
}

void Cell::cancelJob(const std::string& id, Reply reply)
{
    if (m_endedJobs.contains(id))
        return reply({ CellOutcome::Cancelled });
    CellJob* job = findJob(id);
    if (!job)
        return replyGone(std::move(reply));
    if (!isEnded(job->phase))
        endJob(*job, JobPhase::Cancelled, "caller");
    if (isEnded(job->storedPhase))
        return reply({ CellOutcome::Cancelled });
    storeRuns(*job, [reply = std::move(reply)]() mutable { reply({ CellOutcome::Cancelled }); });
}

void Cell::replyGone(Reply reply)
{
    m_goneReplies.push_back(std::move(reply));
    if (m_confirmedReplies.empty())
        confirmGone();
}

void Cell::confirmGone()
{
    m_confirmedReplies = std::exchange(m_goneReplies, {});
    readRecord(m_term.row, [this](bool isRead, const std::optional<StoreEntry>& row) {
        const bool isOwner = isRead && row && row->index == m_term.token;
        for (Reply& reply : std::exchange(m_confirmedReplies, {}))
            reply({ isOwner ? CellOutcome::Gone : CellOutcome::NotOwner });
        if (isRead && !isOwner)
            return handleSuperseded("row-changed");
        const bool isConfirming = !m_confirmedReplies.empty();
        if (!isConfirming && !m_goneReplies.empty())
            confirmGone();
    });
}

void Cell::endJob(CellJob& job, JobPhase phase, absl::string_view cause)
{
    job.phase = phase;
    job.endedUnixMillis = m_parts.timers.clock().wallMicros() / 1000;
    const absl::Duration took = m_parts.timers.clock().now() - job.acceptedAt;
    m_parts.log.write("job-ended", "job", job.spec.id, "phase", jobPhaseName(phase), "cause", cause, "queue",
        job.policy.queue, "tookMs", absl::ToInt64Milliseconds(took));
    const absl::string_view width = widthClass(widestStep(job.spec));
    m_parts.metrics.count(absl::StrCat("cicada_jobs_ended{phase=\"", jobPhaseName(phase), "\",width=\"", width, "\"}"));
    m_parts.metrics.observe("cicada_job_ms", absl::ToDoubleMilliseconds(took));
    for (uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (uint32_t s = 0; s < job.occurrences[k].size(); ++s)
            dequeueStep(job, { k, s });
    }
    stopJob(job);
    // The job record is deleted only once the end is durable; the two writes must not be reordered.
    storeRuns(job, guarded([this, id = job.spec.id] { removeJobRecord(id); }));
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

void Cell::removeExpiredJobs()
{
    const int64_t oldest = m_parts.timers.clock().wallMicros() / 1000
        - absl::ToInt64Milliseconds(m_parts.bounds.endedRetention + clockStepMargin);
    std::vector<std::string> old;
    for (const auto& [id, job] : m_jobs) {
        if (isEnded(job->storedPhase) && job->endedUnixMillis < oldest)
            old.push_back(id);
    }
    for (const auto& [id, ended] : m_endedJobs) {
        if (ended.endedUnixMillis < oldest)
            old.push_back(id);
    }
    for (const std::string& id : old) {
        m_jobs.erase(id);
        m_endedJobs.erase(id);
        // The run record goes last: a job record without one reads as a job that was never started.
        m_writer.write(jobKey(id), guarded([this, id] { m_writer.write(runKey(id), {}); }));
        removeHomeMarks(id);
    }
    removeOldMarks();
    m_parts.timers.after(expiryInterval, guarded([this] { removeExpiredJobs(); }));
}

void Cell::handleSuperseded(const std::string& why)
{
    if (m_isSuperseded)
        return;
    m_isSuperseded = true;
    m_parts.log.write("cell-lost", "cell", m_term.cell, "token", m_term.token, "why", why);
    m_parts.onSuperseded(why);
}

} // namespace cicada
