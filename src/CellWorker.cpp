#include "CellWorker.h"

#include "Job.h"

#include <algorithm>

namespace cicada {

namespace {

    /** An order that has not arrived after this long is taken as lost. */
    constexpr absl::Duration unansweredMemory = absl::Seconds(20);

} // namespace

void WorkerClock::note(int64_t workerMillis, Instant now)
{
    // A reply that was overtaken says less than what is known already.
    if (m_isKnown && workerMillis < estimate(now))
        return;
    m_isKnown = true;
    m_readMillis = workerMillis;
    m_readAt = now;
}

int64_t WorkerClock::estimate(Instant now) const
{
    return m_readMillis + static_cast<int64_t>(absl::ToDoubleMilliseconds(now - m_readAt) * slowest);
}

bool WorkerClock::leasesOver(Instant now) const { return m_isKnown && estimate(now) > m_latestLease; }

void CellWorker::occupy(const TaskRun& run, const Resources& demand)
{
    if (occupants.try_emplace(run, Occupant { demand }).second)
        used = used + demand;
}

void CellWorker::release(const TaskRun& run)
{
    const auto found = occupants.find(run);
    if (found == occupants.end())
        return;
    used = used - found->second.demand;
    occupants.erase(found);
}

Resources CellWorker::free() const { return listed.capacity - used - reserved; }

bool CellWorker::isUsable(Instant now) const
{
    return isListed && isHeard && clock.isKnown() && !listed.isDraining && failedSyncs == 0 && restUntil <= now;
}

void CellWorker::noteUnanswered(const TaskRun& run, Instant now)
{
    const auto found = occupants.find(run);
    if (found == occupants.end() || !found->second.wasSent || found->second.wasThere)
        return;
    unanswered.erase(std::remove_if(unanswered.begin(), unanswered.end(),
                         [now](const Unanswered& old) { return now - old.at > unansweredMemory; }),
        unanswered.end());
    unanswered.push_back({ run, found->second.demand, now });
}

void CellWorker::noteDurable(uint64_t sequence)
{
    for (auto& [through, isDurable] : pendingAcks) {
        if (through == sequence)
            isDurable = true;
    }
    while (!pendingAcks.empty() && pendingAcks.front().second) {
        acknowledgedThrough = std::max(acknowledgedThrough, pendingAcks.front().first);
        pendingAcks.pop_front();
    }
}

} // namespace cicada
