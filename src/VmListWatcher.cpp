#include "VmListWatcher.h"

#include <glog/logging.h>
#include <httplib.h>

namespace cicada {

namespace {

    constexpr time_t timeoutSeconds = 2;

} // namespace

VmListWatcher::VmListWatcher(Endpoint server, EventLoop& loop, BackEnds& backEnds)
    : m_server(std::move(server))
    , m_loop(loop)
    , m_backEnds(backEnds)
{
}

VmListWatcher::~VmListWatcher() { stop(); }

Result<void> VmListWatcher::start()
{
    m_thread = std::thread([this] { run(); });
    return success();
}

void VmListWatcher::stop()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        m_wake.SignalAll();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void VmListWatcher::run()
{
    while (true) {
        poll();
        absl::MutexLock lock(&m_mutex);
        if (!m_stopping)
            m_wake.WaitWithTimeout(&m_mutex, pollInterval);
        if (m_stopping)
            return;
    }
}

void VmListWatcher::poll()
{
    httplib::Client client(m_server.host, m_server.port);
    client.set_connection_timeout(timeoutSeconds);
    client.set_read_timeout(timeoutSeconds);
    const auto response = client.Get("/v1/vms");
    if (!response || response->status != 200) {
        LOG_EVERY_N(WARNING, 60) << "cannot read the VM list; keeping the last one read";
        return;
    }
    size_t skipped = 0;
    auto list = parseVmList(response->body, skipped);
    if (!list) {
        LOG(WARNING) << describe(list.error());
        return;
    }
    LOG_IF(WARNING, skipped > 0) << skipped << " malformed entries of the VM list were skipped";
    m_loop.post([this, list = std::move(list.value())]() mutable { m_backEnds.update(std::move(list)); });
}

} // namespace cicada
