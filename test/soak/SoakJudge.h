#pragma once

/** \file
 * Judges the promises while the soak runs, from what callers were told and what executors saw: a task never runs twice
 * at once, after an acknowledged end or beyond its attempts, no executor holds more than it has, a refused job never
 * starts, an accepted one is never lost, and nothing is shown that did not happen.
 */

#include "Grid.h"
#include "GridExecutor.h"
#include "TaskHistory.h"

#include "Clock.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cicada::test {

/** A job of one step, or of two that follow each other, with tasks that are alike. */
struct SoakJob {
    std::string id;
    /** Index of its client account. */
    size_t account = 0;
    /** It is handed in with a key that no configuration has. */
    bool hasUnknownKey = false;
    std::vector<uint32_t> tasksOfStep;
    int64_t cpuMillis = 0;
    absl::Duration work;
    /** Every run fails. */
    bool isHopeless = false;
    bool isGang = false;
    /** Its first task crashes each executor that starts it. */
    bool isDeadly = false;

    // What callers were told.
    bool isAccepted = false;
    /** Every attempt to hand it in was turned away. */
    bool isRefused = false;
    bool isCancelSent = false;
    std::optional<Instant> cancelAckedAt;
    /** The last state that was shown, once it is one that stays. */
    std::string ended;
};

/** The judge. Used on the loop's thread only. */
class SoakJudge final : public GridObserver {
public:
    explicit SoakJudge(const Clock& clock)
        : m_clock(clock)
    {
    }

    void setAccounts(std::vector<GridAccount> accounts) { m_accounts = std::move(accounts); }
    const std::vector<GridAccount>& accounts() const { return m_accounts; }

    void add(SoakJob job) { m_jobs.emplace(job.id, std::move(job)); }
    const absl::btree_map<std::string, SoakJob>& jobs() const { return m_jobs; }

    /** Sound jobs, too, may be shown as failed once so many executors have crashed under one of their tasks. */
    void allowCrashesUnderSoundTasks(uint32_t crashes) { m_crashesToGiveUpSound = crashes; }
    /** Called when an executor has started a task that crashes it. */
    void setOnDeadlyStart(std::function<void(const std::string& executor)> handler)
    {
        m_onDeadlyStart = std::move(handler);
    }

    // Callers.
    void accepted(const std::string& id);
    void refused(const std::string& id);
    void cancelSent(const std::string& id) { m_jobs.at(id).isCancelSent = true; }
    void cancelled(const std::string& id);
    /** A state was shown; `state` is empty when the answer was that there is no such job. */
    void shown(const std::string& id, const std::string& state);

    // Executors.
    absl::Duration workOf(const GridRun&) override;
    bool fails(const GridRun&) override;
    void started(const std::string& executor, const GridRun&) override;
    void ended(const std::string& executor, const GridRun&, const std::string& how) override;
    void acknowledged(const GridRun&, const std::string& how) override;

    /** Accepted jobs that were not shown to have ended. */
    std::vector<std::string> openJobs() const;
    void violate(const std::string& what);
    const std::vector<std::string>& violations() const { return m_violations; }
    size_t starts() const { return m_starts; }

private:
    /** How the stand-in saw a run. */
    struct SeenRun {
        uint32_t number = 0;
        std::string executor;
        /** Empty while it is at work. */
        std::string end;
    };
    struct Task {
        std::vector<SeenRun> runs;
        std::optional<std::string> runsAt;
        bool wasDone = false;
        bool isDoneAcknowledged = false;
        uint32_t failures = 0;
        uint32_t crashes = 0;
        uint32_t startsAfterCrashes = 0;
        TaskHistory history;
    };

    SoakJob* jobOf(const GridRun&);
    bool allDone(const SoakJob& job, size_t steps) const;
    bool hasFailedOut(const SoakJob& job) const;
    /** Whether executors have crashed under a task of the job, while it was at work, as often as it takes to give the
     * job up. */
    bool mayBeGivenUp(const SoakJob& job) const;
    /** The failures and crashes under each task of the job, and its runs. */
    std::string describe(const SoakJob& job) const;
    void checkCrashes(const SoakJob& job, const std::string& executor, const GridRun& run);
    void checkAccount(const SoakJob& job, const std::string& what);

    const Clock& m_clock;
    absl::btree_map<std::string, SoakJob> m_jobs;
    absl::btree_map<std::string, Task> m_tasks;
    absl::flat_hash_map<std::string, int64_t> m_used;
    std::vector<GridAccount> m_accounts;
    /** What the tasks of each account use, by its index. */
    absl::flat_hash_map<size_t, int64_t> m_usedByAccount;
    absl::btree_set<std::string> m_startedJobs;
    std::vector<std::string> m_violations;
    size_t m_starts = 0;
    uint32_t m_crashesToGiveUpSound = UINT32_MAX;
    std::function<void(const std::string& executor)> m_onDeadlyStart;
};

} // namespace cicada::test
