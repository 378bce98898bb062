#pragma once

/** \file
 * The users' platform in one process: its store, its policy service and executors, each at a port of its own.
 */

#include "GridExecutor.h"
#include "GridStore.h"

#include <memory>
#include <vector>

namespace cicada::test {

/** A client account of the configuration. */
struct GridAccount {
    std::string name;
    std::string key;
    /** What its tasks may use at the same time; 0 for no limit. */
    int64_t maxCpuMillis = 0;
};

/** Where the parts listen, and what the executors are. */
struct GridLayout {
    std::string host = "127.0.0.1";
    uint16_t storePort = 0;
    uint16_t advisorPort = 0;
    /** The executors follow each other from here on. */
    uint16_t firstExecutorPort = 0;
    int executors = 0;
    /** How far from its own port each executor registers: where a proxy in front of it listens. */
    int registeredOffset = 0;
    uint64_t seed = 1;
    /** Without any, callers need no key. */
    std::vector<GridAccount> accounts;

    /** The executors are in the racks in turn. */
    static constexpr size_t racks = 3;
    static constexpr int64_t cpuMillis = 4000;
    static constexpr int64_t memoryMiB = 8000;
};

/** The platform. Used on the loop's thread only. */
class Grid {
public:
    /** `observer` must outlive the grid. */
    static Result<std::unique_ptr<Grid>> create(boost::asio::io_context&, GridLayout, GridObserver& observer);

    GridStore& store() { return m_store; }
    std::vector<std::unique_ptr<GridExecutor>>& executors() { return m_executors; }
    /** Puts the next version of the configuration in force; the policy stays as it is. */
    void configure();
    /** Writes the executor's entry anew, as after a start. */
    void list(size_t executor, bool isDraining = false);
    /** From now on executors report at this interval as long as they reach the store, write their entries if they are
     * missing or show another start, and lose them after three reports that were missed. */
    void startReports(absl::Duration interval);
    /** While an executor doesn't reach the store, nothing that it writes arrives. */
    void setReachesStore(size_t executor, bool reaches) { m_reachesStore[executor] = reaches; }

    /** The queue that the configuration has. */
    static constexpr const char* queueHost = "a.example";
    static constexpr const char* queuePrefix = "/jobs/";
    static constexpr uint32_t maxAttempts = 3;

private:
    Grid(boost::asio::io_context&, GridLayout);

    void report(absl::Duration interval);
    void removeSilent();

    boost::asio::io_context& m_io;
    const GridLayout m_layout;
    GridStore m_store;
    std::vector<bool> m_reachesStore;
    /** The start that the entry of each executor shows. */
    std::vector<int64_t> m_listedStart;
    /** Reports missed in a row, by the id in the entry. */
    absl::btree_map<std::string, int> m_missedReports;
    std::vector<std::unique_ptr<GridExecutor>> m_executors;
    std::vector<std::unique_ptr<platform::HttpServer>> m_servers;
    uint64_t m_version = 6;
};

} // namespace cicada::test
