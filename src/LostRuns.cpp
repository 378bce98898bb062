#include "LostRuns.h"

#include "ExecutorClient.h"

namespace cicada {

LostRuns::LostRuns(const Clock& clock, absl::AnyInvocable<void(const StartGrant&)> ended)
    : m_clock(clock)
    , m_ended(std::move(ended))
{
}

LostRuns::~LostRuns() { stop(); }

Result<void> LostRuns::start()
{
    m_thread = std::thread([this] { run(); });
    return success();
}

void LostRuns::stop()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    if (m_thread.joinable())
        m_thread.join();
}

void LostRuns::add(StartGrant grant, std::string runId)
{
    absl::MutexLock lock(&m_mutex);
    m_runs.push_back({ std::move(grant), std::move(runId), m_clock.now() });
}

size_t LostRuns::size() const
{
    absl::MutexLock lock(&m_mutex);
    return m_runs.size();
}

bool LostRuns::stopping() const
{
    absl::MutexLock lock(&m_mutex);
    return m_stopping;
}

void LostRuns::run()
{
    while (true) {
        {
            absl::MutexLock lock(&m_mutex);
            if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), askInterval))
                return;
        }
        askAll();
    }
}

void LostRuns::askAll()
{
    std::list<LostRun> runs;
    {
        absl::MutexLock lock(&m_mutex);
        runs.swap(m_runs);
    }
    for (auto it = runs.begin(); it != runs.end() && !stopping();) {
        if (runIsOver(it->grant.address, it->runId, m_clock.now() - it->since)) {
            m_ended(it->grant);
            it = runs.erase(it);
        } else {
            ++it;
        }
    }
    absl::MutexLock lock(&m_mutex);
    m_runs.splice(m_runs.end(), runs);
}

} // namespace cicada
