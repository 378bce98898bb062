#pragma once

/** \file
 * Internal: the thread pool of an HTTP server. Threads are started on demand, up to a bound. Included by sources only,
 * as httplib compiles slowly.
 */

#include "RingBuffer.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <list>
#include <thread>

namespace cicada::Internal {

/** Runs each connection on its own thread. Idle threads are reused; there are at most `maxThreads`. */
class HttpThreadPool final : public httplib::TaskQueue {
public:
    explicit HttpThreadPool(size_t maxThreads);

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

private:
    void run();

    const size_t m_maxThreads;
    RingBuffer<std::function<void()>> m_tasks;
    std::atomic<size_t> m_idle { 0 };
    std::list<std::thread> m_threads;
};

/** Applies the options that every server of this project needs: Nagle's algorithm off, one thread per connection. */
void prepareServer(httplib::Server& server, size_t maxConnections, size_t maxBodyBytes);

} // namespace cicada::Internal
