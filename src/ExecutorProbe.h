#pragma once

/** \file
 * Direct calls from the owner of an executor to it: list its runs in progress, refuse starts under older epochs, and
 * stop runs that have not started. Every call uses a new connection, so that an unresponsive one hides nothing.
 */

#include "BackEnds.h"
#include "EventLoop.h"
#include "QueueThreads.h"

#include "absl/functional/any_invocable.h"

#include <memory>
#include <string>
#include <vector>

namespace cicada {

/** An executor's reply to a probe. */
struct ProbeReply {
    bool reached = false;
    /** False when the executor has seen a higher epoch than ours. */
    bool fenced = false;
    /** The ids of the runs in progress. */
    std::vector<std::string> running;
};

/** The result of stopping a run unless it has started. */
enum class StopReply {
    Unreachable,
    /** It had not started and never will. */
    Stopped,
    Running,
    Done,
};

/** Probes executors. Calls don't block; callbacks run on the decision thread. */
class ExecutorProbe {
public:
    virtual ~ExecutorProbe() = default;
    /** Presents `epoch`, so that the executor refuses starts under lower ones, and lists the runs in progress. */
    virtual void probe(const BackEnd& executor, uint64_t epoch, absl::AnyInvocable<void(ProbeReply)>) = 0;
    /** Prevents the run from starting, unless it has started already. */
    virtual void stopUnstarted(
        const BackEnd& executor, absl::string_view requestId, absl::AnyInvocable<void(StopReply)>)
        = 0;
};

/** An ExecutorProbe over HTTP, with a few threads of its own. */
class HttpExecutorProbe final : public Service, public ExecutorProbe {
public:
    explicit HttpExecutorProbe(EventLoop& loop);
    ~HttpExecutorProbe() override;

    absl::string_view name() const override { return "executor-probe"; }
    Result<void> start() override;
    void stop() override;

    void probe(const BackEnd& executor, uint64_t epoch, absl::AnyInvocable<void(ProbeReply)>) override;
    void stopUnstarted(
        const BackEnd& executor, absl::string_view requestId, absl::AnyInvocable<void(StopReply)>) override;

private:
    EventLoop& m_loop;
    QueueThreads<Task> m_calls;
};

} // namespace cicada
