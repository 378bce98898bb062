#pragma once

/** \file
 * One cicada-node as a process of its own, with its settings and its log in a folder. Signals go only to processes that
 * were started here.
 */

#include "Error.h"
#include "Settings.h"

#include "absl/time/time.h"

#include <string>
#include <sys/types.h>

namespace cicada::test {

/** What a node is told. */
struct NodePlan {
    std::string program;
    std::string folder;
    std::string name;
    std::string host;
    /** Callers, readiness, peers and metrics follow each other from here on. */
    uint16_t firstPort = 0;
    /** Where other nodes reach its peer port. */
    uint16_t peersReachedAt = 0;
    uint16_t storePort = 0;
    uint16_t advisorPort = 0;
    double processorShare = 0;
    /** The longest lease that it gives. */
    absl::Duration maxLease = absl::Seconds(6);
};

/** A process that can be killed, paused, asked to stop, and started again. */
class NodeProcess {
public:
    explicit NodeProcess(NodePlan plan)
        : m_plan(std::move(plan))
    {
    }
    ~NodeProcess() { kill(); }
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    const NodePlan& plan() const { return m_plan; }
    Result<void> start();
    /** Ends it at once. */
    void kill();
    /** Sends a signal, if it runs. */
    void signal(int number) const;
    /** Whether it runs, as far as its parent knows; reaps it when it has ended. */
    bool isRunning();
    /** How often it ended by itself, with no signal from here that ends it. */
    int ownEnds() const { return m_ownEnds; }
    /** Says that the next end is wanted. */
    void expectEnd() { m_isEndExpected = true; }

private:
    Result<void> writeSettings() const;

    const NodePlan m_plan;
    pid_t m_pid = 0;
    bool m_isEndExpected = false;
    int m_ownEnds = 0;
};

} // namespace cicada::test
