#include "EventLoop.h"

#include "absl/synchronization/notification.h"

#include <glog/logging.h>

namespace cicada {

namespace {

    constexpr absl::Duration fullRingBackoff = absl::Milliseconds(1);

} // namespace

EventLoop::EventLoop(const Clock& clock, size_t capacity)
    : m_clock(clock)
    , m_ring(capacity)
{
}

EventLoop::~EventLoop() { stop(); }

Result<void> EventLoop::start()
{
    m_thread = std::thread([this] { run(); });
    return success();
}

void EventLoop::stop()
{
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
}

bool EventLoop::post(Task task) { return m_ring.push(std::move(task)); }

void EventLoop::postBlocking(Task task)
{
    while (!m_ring.tryPush(task)) {
        if (m_ring.closed())
            return;
        absl::SleepFor(fullRingBackoff);
    }
}

void EventLoop::call(absl::AnyInvocable<void()> task)
{
    // Shared, because a closing loop may drop the task without running it, after the wait here has ended.
    auto done = std::make_shared<absl::Notification>();
    postBlocking([&task, done] {
        task();
        done->Notify();
    });
    while (!done->WaitForNotificationWithTimeout(absl::Milliseconds(50))) {
        if (m_ring.closed() && m_ring.size() == 0 && !m_thread.joinable())
            return;
    }
}

void EventLoop::onTick(absl::AnyInvocable<void(Instant)> function) { m_tickHandlers.push_back(std::move(function)); }

void EventLoop::run()
{
    m_nextTick = m_clock.now();
    while (true) {
        tickIfDue();
        auto task = m_ring.pop(std::max(m_nextTick - m_clock.now(), absl::ZeroDuration()));
        if (task)
            (*task)();
        else if (m_ring.closed())
            return;
    }
}

void EventLoop::tickIfDue()
{
    const Instant now = m_clock.now();
    if (now < m_nextTick)
        return;
    for (auto& tick : m_tickHandlers)
        tick(now);
    m_nextTick = now + tickInterval;
}

} // namespace cicada
