#pragma once

/** \file
 * The decision thread. All decisions of an entry are made on it, one at a time, so that the accounting needs no locks.
 * Other threads post tasks to it through a bounded ring buffer.
 */

#include "Clock.h"
#include "RingBuffer.h"
#include "ServiceRegistry.h"

#include "absl/functional/any_invocable.h"

#include <thread>
#include <vector>

namespace cicada {

/** A unit of work for the decision thread. */
using Task = absl::AnyInvocable<void()>;

/** Accepts tasks from any thread. */
class TaskRunner {
public:
    virtual ~TaskRunner() = default;
    /** Queues `task`; false when the queue is full, and then the caller must handle the rejection. Thread-safe. */
    virtual bool post(Task task) = 0;
};

/** The decision thread as a service. */
class EventLoop final : public Service, public TaskRunner {
public:
    /** `capacity` bounds the queued tasks. `clock` must outlive the loop. */
    EventLoop(const Clock& clock, size_t capacity);
    ~EventLoop() override;

    absl::string_view name() const override { return "loop"; }
    Result<void> start() override;
    void stop() override;

    bool post(Task task) override;
    /** Posts a task that must not be lost, such as a completion: blocks while the queue is full. Never call it on the
     * loop. */
    void postBlocking(Task task);
    /** Runs `task` on the loop and waits until it has finished. Never call it on the loop. */
    void call(absl::AnyInvocable<void()> task);
    /** Adds a function called on the loop every `tickInterval`. Call before start(). */
    void onTick(absl::AnyInvocable<void(Instant)> function);

    static constexpr absl::Duration tickInterval = absl::Milliseconds(5);

private:
    void run();
    void tickIfDue();

    const Clock& m_clock;
    RingBuffer<Task> m_ring;
    std::vector<absl::AnyInvocable<void(Instant)>> m_tickHandlers;
    Instant m_nextTick = absl::ZeroDuration();
    std::thread m_thread;
};

} // namespace cicada
