#pragma once

/** \file
 * A whole deployment on a paused clock: entries made of the real parts, a store, workers, a policy service and links
 * between entries, all of which can be made to fail. It judges what callers and workers see: no task runs twice at
 * once, after it has finished or after its last attempt has failed, no worker holds more than it has, no refused job
 * runs, no accepted one is lost, no account has more at work than its limit.
 */

#include "AccountQuota.h"
#include "CellHost.h"
#include "ClientAccount.h"
#include "TaskHistory.h"
#include "WorldStore.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cicada::test {

/** How the store treats one entry. */
enum class StoreMood {
    Well,
    /** Nothing arrives and nothing is answered. */
    Silent,
    /** Every call is refused at once, with no effect. */
    Busy,
    /** Calls take effect and are not answered. */
    LosesReplies,
    /** Writes take effect seconds later, if their conditions still hold, and are not answered. */
    WritesLate,
    /** Calls for leases take effect and are not answered; all others are. */
    LosesLeaseReplies,
};

/** A worker as the platform's are: it keeps the highest token, and what runs holds a lease on its own clock. */
struct WorldWorker {
    struct Run {
        Resources demand;
        Instant endsAt;
        bool isGang = false;
        uint64_t serial = 0;
        Instant beganAt = absl::ZeroDuration();
    };
    std::string id;
    std::string rack;
    int64_t started = 1;
    Instant startedAt = absl::ZeroDuration();
    Resources capacity;
    /** What it had before it shrank, while starts may still rely on that. */
    std::optional<Resources> formerCapacity;
    uint64_t capacityChanges = 0;
    uint64_t token = 0;
    int64_t leaseEnd = 0;
    absl::flat_hash_map<TaskRun, Run> runs;
    absl::flat_hash_map<TaskName, uint32_t> highestOver;
    std::vector<EndedRun> ended;
    /** When each listed end happened, by its sequence number. */
    absl::flat_hash_map<uint64_t, Instant> endedAt;
    /** Ends that the worker had listed when its lease expired. Acknowledging such an end later doesn't count: the owner
     * may by then have started the task again. */
    absl::flat_hash_set<uint64_t> endsBeforeLapse;
    uint64_t lastSequence = 0;
    uint64_t acknowledged = 0;
    std::vector<absl::AnyInvocable<void()>> waiting;
    bool isCut = false;
    /** Nothing that the worker says of itself reaches the platform's list. */
    bool isCutFromList = false;
    /** The platform's list has dropped the worker. */
    bool isDropped = false;
    /** Entries that can't reach the worker. */
    absl::btree_set<std::string> cutFrom;
    bool isDown = false;
    /** While the worker is down, calls to it end without a reply, as on a connection that was open before. */
    bool isDark = false;
    /** The id under which it comes back after its next crash, at the same address; empty for the same one. */
    std::string nextId;
    /** The id of its former incarnation, for which it answers that it is another one. */
    std::string formerId;
    bool isDraining = false;
    /** How long the platform's list takes to show a restart. */
    absl::Duration listingDelay;
    /** What a restart adds to the start time that the worker states, negative for a time of day that was set back;
     * without a value, the worker states the time of day. */
    std::optional<int64_t> startedStepMillis;
    /** Added to the time that a sync takes to reach the worker. */
    absl::Duration syncDelay;
    /** The worker is cut off once this many more syncs have reached it; calls then end without a reply at once. */
    std::optional<size_t> syncsUntilCut;
    /** The share of orders that are carried out late and not answered. */
    double lateShare = 0;
    /** The share of orders that are carried out and not answered. */
    double unansweredShare = 0;
    /** Every start is refused. */
    bool refuses = false;
    /** The most ends that the worker lists at a time. */
    size_t maxListedEnds = 500;
    /** Every run fails. */
    bool fails = false;
    /** The share of runs that fail. */
    double failShare = 0;
};

class CellWorld;

/** One entry: the real CellHost over the world's I/O. */
struct WorldEntry;

/** The deployment. */
class CellWorld {
public:
    /** `maxLease` is the longest lease that workers grant. */
    CellWorld(size_t entries, size_t workers, uint64_t seed, absl::Duration maxLease = absl::Seconds(6));
    ~CellWorld();

    /** Lets time pass. */
    void run(absl::Duration);
    /** Lets time pass until `condition` holds; false when `limit` has passed. */
    bool runUntil(absl::AnyInvocable<bool()> condition, absl::Duration limit);

    // Callers.
    /** Hands a job in at an entry, again after each answer that leaves it open, until it is accepted or refused. */
    void submit(size_t entry, const Submission& job);
    /** Hands a job in once; the answer is kept in `answers`. */
    void submitOnce(size_t entry, Submission job);
    void cancel(size_t entry, const std::string& job);
    /** The job's phase as an entry tells it; nothing when it does not know in time. */
    std::optional<JobPhase> ask(size_t entry, const std::string& job);
    /** The queue's jobs that have not begun, as an entry tells it. */
    uint64_t pending(size_t entry);
    std::vector<GatewayStatus> answersTo(const std::string& job) const;
    const std::vector<GatewayReply>& repliesTo(const std::string& job) { return m_replies[job]; }
    bool isAccepted(const std::string& job) const { return m_accepted.contains(job); }
    /** Whether every accepted job has been seen to end. */
    bool allEnded(size_t askAt);

    // Faults.
    void kill(size_t entry);
    void start(size_t entry);
    /** From its next start on the entry reaches the store over a slow link. */
    void setFar(size_t entry) { m_far.insert(entry); }
    /** The entry's link to the store is no longer slow. */
    void setNear(size_t entry);
    /** The owner is asked to stop: it lets its cells go and goes on answering. */
    void stop(size_t entry);
    void freeze(size_t entry, absl::Duration);
    /** Each call of the entry to workers and the store takes up to `extra` longer each way, so that calls overtake each
     * other. */
    void congest(size_t entry, absl::Duration extra);
    /** Cuts a worker off from all entries but this one. */
    void cutFromOthers(size_t worker, size_t entry);
    /** Cuts a worker off from all entries and from the platform's list, which drops it after three missed heartbeats;
     * or heals that. */
    void cutOffWorker(size_t worker, bool isCut);
    /** Steps the time of day of all entries. */
    void stepWallClock(absl::Duration by) { m_clock.stepWall(by); }
    void setStore(size_t entry, StoreMood);
    /** Cuts an entry from the other entries, or heals that. */
    void cutPeers(size_t entry, bool isCut);
    void crashWorker(size_t worker, absl::Duration away);
    /** Whether each worker that starts the task crashes. */
    using Deadly = std::function<bool(const TaskName&)>;
    /** From now on workers crash soon after they have started such a task, and are back `away` later. */
    void setDeadly(Deadly deadly, absl::Duration away = absl::Seconds(3));
    /** Such a task crashes its worker before the start is answered. */
    void setCrashesBeforeReply() { m_crashesBeforeReply = true; }
    /** Under how many runs of the task a worker has crashed. */
    size_t crashesUnder(const TaskName& task) const;
    /** How many workers have crashed under tasks of the job; each crash counts once. */
    size_t crashesUnderJob(const std::string& job) const;
    /** The worker lists itself as draining. */
    void drainWorker(size_t worker);
    /** The worker's capacity changes, and it lists the new one. */
    void setCapacity(size_t worker, const Resources& capacity);
    std::optional<size_t> owner() const;
    std::optional<size_t> ownerOf(uint32_t cell) const;
    /** Sets the number of cells, and puts the racks, each of four workers, into the cells in turn. To be called before
     * time passes. */
    void setCells(uint32_t cells);
    /** What the accounts may have allocated in the cell, as its owner knows; null without an owner. */
    std::shared_ptr<const AccountQuota> quotaOf(uint32_t cell) const;
    /** The id of a job that belongs to the cell. */
    static std::string jobIn(uint32_t cell, uint32_t cells, int number);

    WorldStore& store() { return m_store; }
    std::vector<WorldWorker>& workers() { return m_workers; }
    size_t entryCount() const { return m_entries.size(); }
    Instant now() const { return m_clock.now(); }
    QueuePolicy& policy() { return m_policy; }
    /** Puts the job, which is handed in later, into a queue of its own, which has this policy otherwise. */
    void setQueueOf(const std::string& job, QueuePolicy policy);
    /** Puts the account in force, in place of the one with its name. Starts that are on their way are judged by the
     * higher limit. */
    void setAccount(const ClientAccount& account);
    /** Adds an account without a limit, or gives it another weight. */
    void setAccount(const std::string& account, double weight) { setAccount(ClientAccount { account, weight, {} }); }
    /** Whether entries have read the configuration; they have from the beginning. */
    void setConfigurationRead(bool isRead);
    JobGateway& gateway(size_t entry);
    /** The processors that the account's runs hold on all workers. */
    int64_t cpuMillisOf(const std::string& account) const;
    /** The value of a counter, summed over the living entries. */
    uint64_t counter(absl::string_view series) const;
    /** The seconds that the refusals of the job named. */
    std::vector<uint64_t> retryAfters(const std::string& job) const;
    /** When a task of the job first started; nothing if none has. */
    std::optional<Instant> firstStartOf(const std::string& job) const;
    /** Puts the job, which is handed in later, into a queue that it shares with others. */
    void setSharedQueueOf(const std::string& job, const std::string& queue, QueuePolicy policy);
    /** How long a task runs on the worker, instead of by its estimate. */
    using Work = std::function<absl::Duration(const Submission&, const TaskName&, size_t worker)>;
    void setWork(Work work) { m_work = std::move(work); }
    /** A worker that crashes resets its connections; otherwise calls to it end by their time limit. */
    void setResetsOnCrash() { m_resetsOnCrash = true; }
    /** Whether runs list how far they are; otherwise they list ten percent throughout. */
    void setListsProgress(bool listsProgress) { m_listsProgress = listsProgress; }
    /** When a run of the job last finished on a worker; nothing if none has. */
    std::optional<Instant> lastFinishOf(const std::string& job) const;
    /** The processor time of runs that did not finish, in seconds of one core. */
    double wastedCoreSeconds() const { return m_wastedCoreSeconds; }
    /** How long the policy service takes to answer. */
    void setAdviceDelay(absl::Duration delay) { m_adviceDelay = delay; }
    size_t adviceRequests() const { return m_adviceRequests; }
    /** The policy service gives no reply to what it is asked meanwhile. */
    void setPolicySilent(bool isSilent) { m_isPolicySilent = isSilent; }
    /** How long tickets are valid from the policy service's answer on. */
    void setTicketValidity(absl::Duration validity) { m_ticketValidity = validity; }
    Instant lastStartAt() const { return m_lastStartAt; }
    size_t startsOf(const std::string& job) const;
    /** Most workers that a step of the job ran on with more than so many tasks at once. */
    size_t maxOnOneWorker(const std::string& job) const;
    const std::vector<TaskRun>& startOrder() const { return m_startOrder; }

    /** What broke a promise; empty when nothing did. */
    const std::vector<std::string>& violations() const { return m_violations; }
    std::string report() const;

    /** How long a task runs, by its estimate. */
    absl::Duration workOf(const Submission&, const TaskName&) const;

private:
    friend struct WorldEntry;
    class Door;
    class Orders;
    class Roster;
    class Policy;
    class Links;
    struct Job {
        Submission spec;
        bool isCancelAcked = false;
        Instant cancelAckedAt;
        absl::btree_map<TaskName, size_t> active;
        absl::flat_hash_set<TaskName> finishedAcked;
        absl::btree_map<TaskName, TaskHistory> histories;
        absl::btree_map<TaskName, size_t> crashes;
        /** Those of them whose worker has come back, and before the run's lease had ended. */
        absl::btree_map<TaskName, size_t> returns;
        absl::btree_map<TaskName, size_t> returnsUnderLease;
        size_t workersCrashed = 0;
        size_t attempts = 0;
        size_t starts = 0;
        std::optional<Instant> firstStart;
        size_t maxOnOne = 0;
    };

    const QueuePolicy& policyOfJob(const std::string& job) const;
    const ClientAccount* accountNamed(const std::string& name) const;
    void announceConfiguration();
    void judgeLimit(const TaskRun& started);
    /** A task that crashes each worker is not started after three crashes of workers that were back before the run's
     * lease had ended, nor after five of workers that were back at all. */
    void judgeCrashes(const TaskRun& started);
    /** The most that the worker's runs may hold together. */
    static Resources judgedCapacityOf(const WorldWorker& worker);
    void crashSoon(size_t worker, uint64_t serial, const TaskRun& run);
    void recordCrash(const WorldWorker& worker);
    /** The next incarnation of a worker that crashed under these tasks has begun. */
    void recordReturn(const std::vector<TaskName>& tasks, bool isUnderLease);
    void retrySubmit(size_t entry, const Submission& job);
    void violate(const std::string& what);
    int64_t clockOf(const WorldWorker&) const;
    OrderReply startAt(WorldWorker&, const StartOrder&);
    OrderReply stopAt(WorldWorker&, const TaskRun&, uint64_t token);
    SyncReply listAt(WorldWorker&);
    void endRun(WorldWorker&, const TaskRun&, RunEnding);
    void runDone(size_t worker, const TaskRun&, uint64_t serial);
    bool drawFailure(const WorldWorker&);
    /** The members of a gang end together, well or not. */
    void endGang(const TaskRun& first);
    void checkLease(size_t worker);
    void extendLease(size_t worker, int64_t end);
    void acknowledge(WorldWorker&, uint64_t through);
    void judge(const TaskName&);
    void listWorker(const WorldWorker&);
    void unlistWorker(const std::string& id);
    /** The state of a call that reaches no running worker, and how long it is waited for. */
    struct NoAnswer {
        OrderStatus status = OrderStatus::NoReply;
        absl::Duration after;
    };
    NoAnswer noAnswerOf(const WorkerIncarnation&, absl::Duration delay);
    WorldWorker* workerOf(const WorkerIncarnation&, size_t& index);
    absl::Duration delay();
    /** What a congested link adds to a call, one way. */
    absl::Duration congestion(const WorldEntry&);

    ManualClock m_clock;
    TimerQueue m_timers;
    std::mt19937_64 m_random;
    /** A source of its own, so that worlds without congested links play as before. */
    std::mt19937_64 m_congestionRandom;
    WorldStore m_store;
    std::vector<WorldWorker> m_workers;
    std::vector<std::unique_ptr<WorldEntry>> m_entries;
    std::vector<std::unique_ptr<WorldEntry>> m_dead;
    absl::btree_set<size_t> m_far;
    QueuePolicy m_policy;
    /** Policies of queues that hold one job, by its id, which is also the queue's name. */
    absl::btree_map<std::string, QueuePolicy> m_policiesOfJobs;
    absl::btree_map<std::string, ClientAccount> m_accounts;
    bool m_isConfigurationRead = true;
    /** The accounts with the highest limit by which a start may still be judged. */
    absl::btree_map<std::string, ClientAccount> m_judgedLimits;
    absl::btree_map<std::string, std::vector<uint64_t>> m_retryAfters;
    absl::Duration m_adviceDelay = absl::Milliseconds(15);
    bool m_isPolicySilent = false;
    absl::Duration m_ticketValidity = absl::Seconds(2);
    absl::btree_map<std::string, Job> m_jobs;
    absl::btree_set<std::string> m_accepted;
    absl::btree_set<std::string> m_sawEnd;
    absl::btree_map<std::string, std::vector<GatewayStatus>> m_answers;
    absl::btree_map<std::string, std::vector<GatewayReply>> m_replies;
    std::vector<TaskRun> m_startOrder;
    std::vector<std::string> m_violations;
    size_t m_adviceRequests = 0;
    uint64_t m_lastSerial = 0;
    uint64_t m_lastLife = 0;
    const absl::Duration m_maxLease;
    Work m_work;
    Deadly m_deadly;
    absl::Duration m_crashedFor = absl::Seconds(3);
    bool m_crashesBeforeReply = false;
    bool m_resetsOnCrash = false;
    bool m_listsProgress = false;
    double m_wastedCoreSeconds = 0;
    absl::btree_map<std::string, Instant> m_finishedAt;
    Instant m_lastStartAt = absl::ZeroDuration();
};

/** A job of one step. */
Submission makeJob(
    const std::string& id, uint32_t tasks, int64_t cpuMillis = 1000, absl::Duration estimate = absl::Milliseconds(600));

} // namespace cicada::test
