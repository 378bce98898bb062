#pragma once

/** \file
 * Entries, workers and a store with a paused clock, for tests of jobs: each entry is a real JobService, each worker a
 * WorkerModel behind links that can be cut, paused and killed, and a judge sees every start and end of a run.
 */

#include "FakeWorld.h"
#include "JobService.h"
#include "WorkerModel.h"

#include "absl/container/btree_map.h"

#include <memory>
#include <string>
#include <vector>

namespace cicada::Testing {

/** Who owns what, set by the test. Entries see it at once; a paused entry keeps its terms until they run out. */
struct OwnerTable {
    absl::btree_map<std::string, std::string> owners;
    absl::btree_map<std::string, uint64_t> epochs;
    /** Grows with each change, so that entries need not compare it all. */
    uint64_t version = 1;
};

/** An entry's view of the owner table. */
class JobOwnership final : public Ownership {
public:
    JobOwnership(std::string name, OwnerTable& table, const Clock& clock)
        : m_name(std::move(name))
        , m_table(table)
        , m_clock(clock)
    {
    }
    std::optional<Term> term(absl::string_view group) const override;
    std::string owner(absl::string_view group) const override;
    void onChange(Observer observer) override { m_observers.push_back(std::move(observer)); }
    /** Takes the table as it is now, as an entry does that hears of changes; extends the terms. */
    void refresh();

private:
    static constexpr absl::Duration termTime = absl::Milliseconds(1500);

    const std::string m_name;
    OwnerTable& m_table;
    const Clock& m_clock;
    OwnerTable m_seen { {}, {}, 0 };
    Instant m_until;
    std::vector<Observer> m_observers;
};

/** Calls to workers as messages of the fake links. */
class MessageWorkerClient final : public WorkerClient {
public:
    explicit MessageWorkerClient(Node& node);
    void sync(const Endpoint& worker, WorkerSync, absl::AnyInvocable<void(Result<WorkerView>)>) override;
    void start(const Endpoint& worker, WorkerStart, absl::AnyInvocable<void(WorkerReply)>) override;
    void stop(const Endpoint& worker, WorkerStop, absl::AnyInvocable<void(WorkerReply)>) override;
    void tick(Instant now);

private:
    struct Call {
        Instant giveUp;
        absl::AnyInvocable<void(bool replied, absl::string_view bytes)> callback;
    };
    void call(const Endpoint& worker, const char* service, const std::string& body,
        absl::AnyInvocable<void(bool, absl::string_view)> callback);

    Node& m_node;
    uint64_t m_lastCall = 0;
    absl::btree_map<uint64_t, Call> m_calls;
};

/** The whole. Entries are named e0, e1, ...; workers w0, w1, ... */
class JobWorld {
public:
    struct Entry {
        Entry(JobWorld& world, const std::string& name, uint64_t session);
        Node& node;
        BackEnds backEnds;
        JobOwnership ownership;
        MessageWorkerClient client;
        ConfigWatch watch;
        JobService jobs;
        bool isAlive = true;
    };
    struct Worker {
        Node* node = nullptr;
        std::unique_ptr<WorkerModel> model;
    };

    /** `workersPerRack` workers in each rack, each with 8 cores and 16 GiB, and one rack an entry. */
    JobWorld(uint64_t seed, size_t entries, size_t workersPerRack);

    FakeWorld& world() { return m_world; }
    Entry& entry(size_t i) { return *m_entries[i]; }
    Worker& worker(size_t i) { return m_workers[i]; }
    size_t entryCount() const { return m_entries.size(); }
    size_t workerCount() const { return m_workers.size(); }

    /** Kills an entry; what it owned goes to the next living entry after `takeOver`. */
    void killEntry(size_t i, absl::Duration takeOver = absl::Seconds(3));
    void killWorker(size_t i);
    /** The VM list shows the worker as leaving from now on. */
    void setLeaving(size_t i);
    /** Moves everything from one entry to another without ending it, as when it is paused past its terms. */
    void moveAll(size_t from, size_t to);

    /** Submits at an entry and returns whether it was accepted; runs the world until the answer is there. */
    Result<std::string> submit(size_t entry, const std::string& id, const std::string& json, Profile profile);
    Result<std::string> cancel(size_t entry, const std::string& id);
    /** The job's stored record. */
    JobRecord stored(const std::string& id);
    /** Runs until the job's end is stored, at most `timeout`. */
    bool runUntilEnded(const std::string& id, absl::Duration timeout);

    /** Tasks that ran in two places at once. */
    uint64_t overlaps() const { return m_overlaps; }
    /** Starts of a task that must not run twice beyond its first, not counting those from a checkpoint. */
    uint64_t startsOf(const std::string& job, uint32_t task) const;
    uint64_t overfull() const;
    size_t runningOf(const std::string& job) const;

private:
    friend struct Entry;
    void addWorker(size_t rack, size_t index);
    void publishWorkers();
    void judge(const RunId& id, bool started, const std::string& worker);

    FakeWorld m_world;
    OwnerTable m_table;
    std::vector<BackEnd> m_list;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::vector<Worker> m_workers;
    /** Where each task runs now. */
    std::map<std::pair<std::string, uint32_t>, std::vector<std::string>> m_running;
    std::map<std::pair<std::string, uint32_t>, uint64_t> m_starts;
    uint64_t m_overlaps = 0;
    std::vector<Profile> m_profiles;
};

/** An id that falls into the wanted partition. */
std::string jobIdIn(uint32_t partition, int salt = 0);

} // namespace cicada::Testing
