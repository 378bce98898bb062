#include "HttpThreads.h"

namespace cicada::Internal {

namespace {

    constexpr size_t backlogPerThread = 4;
    constexpr absl::Duration idleWait = absl::Seconds(1);
    constexpr size_t maxRequestsPerConnection = 1000000;
    constexpr time_t keepAliveSeconds = 30;
    constexpr time_t transferTimeoutSeconds = 10;

} // namespace

HttpThreads::HttpThreads(size_t maxThreads)
    : m_maxThreads(maxThreads)
    , m_jobs(maxThreads * backlogPerThread)
{
}

void HttpThreads::enqueue(std::function<void()> job)
{
    // The accepting thread alone enqueues, so the list of threads needs no lock. A connection that finds no room is
    // dropped with the job, which closes nothing: the peer sees its own time limit.
    const size_t waiting = m_jobs.size();
    m_jobs.push(std::move(job));
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
    server.set_keep_alive_max_count(maxRequestsPerConnection);
    server.set_keep_alive_timeout(keepAliveSeconds);
    server.set_read_timeout(transferTimeoutSeconds);
    server.set_write_timeout(transferTimeoutSeconds);
    server.set_payload_max_length(maxBodyBytes);
}

} // namespace cicada::Internal
