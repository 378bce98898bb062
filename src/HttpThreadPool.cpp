#include "HttpThreadPool.h"

namespace cicada::Internal {

namespace {

    constexpr size_t maxQueuedTasksPerThread = 4;
    constexpr absl::Duration idleWait = absl::Seconds(1);
    constexpr absl::Duration queueFullBackoff = absl::Milliseconds(5);
    constexpr size_t maxRequestsPerConnection = 1000000;
    /** Also bounds how long an idle connection can delay the shutdown of a server. */
    constexpr time_t keepAliveSeconds = 5;
    constexpr time_t transferTimeoutSeconds = 10;

} // namespace

HttpThreadPool::HttpThreadPool(size_t maxThreads)
    : m_maxThreads(maxThreads)
    , m_tasks(maxThreads * maxQueuedTasksPerThread)
{
}

void HttpThreadPool::enqueue(std::function<void()> task)
{
    // Only the accepting thread calls enqueue(), so the list of threads needs no lock.
    const size_t waiting = m_tasks.size();
    // A task owns its connection and must not be dropped. While the queue is full the accepting thread waits, and
    // further callers wait in the listen queue.
    while (!m_tasks.tryPush(task) && !m_tasks.closed())
        absl::SleepFor(queueFullBackoff);
    if (m_idle <= waiting && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { run(); });
}

void HttpThreadPool::shutdown()
{
    m_tasks.close();
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void HttpThreadPool::run()
{
    while (true) {
        ++m_idle;
        auto task = m_tasks.pop(idleWait);
        --m_idle;
        if (task)
            (*task)();
        else if (m_tasks.closed())
            return;
    }
}

void prepareServer(httplib::Server& server, size_t maxConnections, size_t maxBodyBytes)
{
    server.new_task_queue = [maxConnections] { return new HttpThreadPool(maxConnections); };
    server.set_tcp_nodelay(true);
    // The library's default would let two processes share a port, and each would get some of the other's connections.
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
