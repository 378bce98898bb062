#pragma once

/** \file
 * Internal: the threads of an HTTP server, started as connections need them and bounded in number. Included by
 * sources only, as httplib compiles slowly.
 */

#include "Ring.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <list>
#include <thread>

namespace cicada::Internal {

/** Runs each connection on a thread of its own, reusing idle ones, with `maxThreads` at most. */
class HttpThreads final : public httplib::TaskQueue {
public:
    explicit HttpThreads(size_t maxThreads);

    void enqueue(std::function<void()> job) override;
    void shutdown() override;

private:
    void run();

    const size_t m_maxThreads;
    Ring<std::function<void()>> m_jobs;
    std::atomic<size_t> m_idle { 0 };
    std::list<std::thread> m_threads;
};

/** Settings that every server of ours needs: no delays by Nagle, and one thread a connection. */
void prepareServer(httplib::Server& server, size_t maxConnections, size_t maxBodyBytes);

} // namespace cicada::Internal
