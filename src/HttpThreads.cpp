#include "HttpThreads.h"

namespace cicada::Internal {

namespace {

    constexpr size_t backlogPerThread = 4;
    constexpr absl::Duration idleWait = absl::Seconds(1);
    constexpr absl::Duration fullBackoff = absl::Milliseconds(5);
    constexpr size_t maxRequestsPerConnection = 1000000;
    /** Also how long an idle connection may hold up the end of a stopping server. */
    constexpr time_t keepAliveSeconds = 5;
    constexpr time_t transferTimeoutSeconds = 10;

} // namespace

HttpThreads::HttpThreads(size_t maxThreads)
    : m_maxThreads(maxThreads)
    , m_jobs(maxThreads * backlogPerThread)
{
}

void HttpThreads::enqueue(std::function<void()> job)
{
    // The accepting thread alone enqueues, so the list of threads needs no lock.
    const size_t waiting = m_jobs.size();
    // A job owns its connection and must not be dropped. While there is no room the accepting thread waits, and
    // further callers wait in the listen queue.
    while (!m_jobs.tryPush(job) && !m_jobs.closed())
        absl::SleepFor(fullBackoff);
    if (m_idle <= waiting && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { run(); });
}

void HttpThreads::shutdown()
{
    m_jobs.close();
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void HttpThreads::run()
{
    while (true) {
        ++m_idle;
        auto job = m_jobs.pop(idleWait);
        --m_idle;
        if (job)
            (*job)();
        else if (m_jobs.closed())
            return;
    }
}

void prepareServer(httplib::Server& server, size_t maxConnections, size_t maxBodyBytes)
{
    server.new_task_queue = [maxConnections] { return new HttpThreads(maxConnections); };
    server.set_tcp_nodelay(true);
    // The library's default would let two processes share a port, and each would get some of the other's callers.
    server.set_socket_options([](socket_t socket) {
        const int one = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    });
    server.set_keep_alive_max_count(maxRequestsPerConnection);
    server.set_keep_alive_timeout(keepAliveSeconds);
    server.set_read_timeout(transferTimeoutSeconds);
    server.set_write_timeout(transferTimeoutSeconds);
    server.set_payload_max_length(maxBodyBytes);
}

} // namespace cicada::Internal
