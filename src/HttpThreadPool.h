#pragma once

/** \file
 * Internal: the threads of an HTTP server, started as connections need them and bounded in number. Included by
 * sources only, as httplib compiles slowly.
 */

#include "RingBuffer.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <list>
#include <thread>

namespace cicada::Internal {

/** Runs each connection on a thread of its own, reusing idle ones, with `maxThreads` at most. */
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

/** Settings that every server of ours needs: no delays by Nagle, and one thread a connection. */
void prepareServer(httplib::Server& server, size_t maxConnections, size_t maxBodyBytes);

} // namespace cicada::Internal
