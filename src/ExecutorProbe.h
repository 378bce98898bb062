#pragma once

/** \file
 * How the owner of an executor asks it directly: what runs there, and to refuse starts under older epochs. Every ask
 * goes over a new connection, so that one that has gone silent hides nothing.
 */

#include "BackEnds.h"
#include "EventLoop.h"

#include "absl/functional/any_invocable.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cicada {

/** What an executor said of itself. */
struct ProbeReply {
    bool reached = false;
    /** False when the executor has seen a higher epoch than ours. */
    bool fenced = false;
    /** The ids that run there. */
    std::vector<std::string> running;
};

/** What became of a run that was asked to stop unless it had started. */
enum class StopReply {
    Unreachable,
    /** It had not started and never will. */
    Stopped,
    Running,
    Done,
};

/** Asks executors. Calls return at once; callbacks run on the decision thread. */
class ExecutorProbe {
public:
    virtual ~ExecutorProbe() = default;
    /** Presents `epoch`, from which on starts under lower ones are refused, and lists what runs. */
    virtual void probe(const BackEnd& executor, uint64_t epoch, absl::AnyInvocable<void(ProbeReply)>) = 0;
    /** Makes sure that the run never starts if it has not yet. */
    virtual void stopUnstarted(
        const BackEnd& executor, absl::string_view requestId, absl::AnyInvocable<void(StopReply)>)
        = 0;
};

/** An ExecutorProbe over HTTP with a few threads of its own. */
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
    void run();

    EventLoop& m_loop;
    RingBuffer<Task> m_jobs;
    std::vector<std::thread> m_threads;
};

} // namespace cicada
