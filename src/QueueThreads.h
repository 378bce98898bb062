#pragma once

/** \file
 * A fixed number of threads that handle the items of a bounded ring buffer, for calls that block.
 */

#include "RingBuffer.h"

#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace cicada {

/** Threads that handle items in the order in which they were pushed. push() and tryPush() are thread-safe. */
template <typename T> class QueueThreads {
public:
    /** `handle` is called by several threads at a time. */
    QueueThreads(size_t maxQueued, std::function<void(T&)> handle)
        : m_items(maxQueued)
        , m_handle(std::move(handle))
    {
    }
    ~QueueThreads() { stop(); }
    QueueThreads(const QueueThreads&) = delete;
    QueueThreads& operator=(const QueueThreads&) = delete;

    void start(size_t threads)
    {
        for (size_t i = 0; i < threads; ++i)
            m_threads.emplace_back([this] { run(); });
    }

    /** Refuses further items, and returns when those in the queue have been handled. */
    void stop()
    {
        m_items.close();
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    /** Adds an item; false if the queue is full or stopped. */
    bool push(T&& item) { return m_items.push(std::move(item)); }
    /** Moves `item` into the queue; false if it is full or stopped, and then `item` is unchanged. */
    bool tryPush(T& item) { return m_items.tryPush(item); }

private:
    static constexpr absl::Duration idleWait = absl::Seconds(1);

    void run()
    {
        while (true) {
            auto item = m_items.pop(idleWait);
            if (item)
                m_handle(*item);
            else if (m_items.closed())
                return;
        }
    }

    RingBuffer<T> m_items;
    const std::function<void(T&)> m_handle;
    std::vector<std::thread> m_threads;
};

} // namespace cicada
