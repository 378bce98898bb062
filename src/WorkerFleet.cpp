#include "WorkerFleet.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration tickInterval = absl::Milliseconds(20);
    constexpr absl::string_view rackGroupPrefix = "rack/";

    std::string rackGroup(absl::string_view rack) { return absl::StrCat(rackGroupPrefix, rack); }

} // namespace

WorkerFleet::WorkerFleet(Parts parts, RunObserver observer)
    : m_parts(std::move(parts))
    , m_observer(std::move(observer))
    , m_nextTick(-absl::InfiniteDuration())
{
    m_parts.ownership.onChange(
        [this](absl::string_view group, uint64_t epoch, bool owned) { handleOwnership(group, epoch, owned); });
    m_parts.backEnds.onChange([this] { reconcile(); });
    reconcile();
}

absl::Duration WorkerFleet::leaseExpiryTime() const
{
    // In the worst case the worker's clock runs slow and this one fast, each by the bound.
    const double drift = 1 + m_parts.clockDriftBound;
    return (taskLease + ticketValidity) * (drift * drift);
}

void WorkerFleet::handleOwnership(absl::string_view group, uint64_t epoch, bool owned)
{
    if (!absl::ConsumePrefix(&group, rackGroupPrefix))
        return;
    const std::string rack(group);
    if (!owned)
        return lose(rack);
    gain(rack, epoch);
    refreshWorkers();
}

void WorkerFleet::reconcile()
{
    for (const BackEnd& backEnd : m_parts.backEnds.all()) {
        if (backEnd.kind != BackEndKind::Worker)
            continue;
        if (const auto term = m_parts.ownership.term(backEnd.group()))
            gain(backEnd.rack, term->epoch);
    }
    refreshWorkers();
}

void WorkerFleet::gain(const std::string& rack, uint64_t epoch)
{
    auto it = m_racks.find(rack);
    if (it != m_racks.end() && it->second.epoch == epoch)
        return;
    lose(rack);
    m_racks[rack] = { epoch, { epoch, m_parts.session + ++m_recoveries }, {} };
}

void WorkerFleet::lose(const std::string& rack)
{
    auto it = m_racks.find(rack);
    if (it == m_racks.end())
        return;
    for (const std::string& name : it->second.workers) {
        for (const RunId& id : m_workers[name].runs) {
            auto run = m_runs.extract(id);
            m_observer(run.mapped().report, true);
        }
        m_workers.erase(name);
        m_ledger.remove(name);
    }
    m_racks.erase(it);
}

void WorkerFleet::refreshWorkers()
{
    for (auto& [name, worker] : m_workers)
        worker.isListed = false;
    for (const BackEnd& backEnd : m_parts.backEnds.all()) {
        auto rack = m_racks.find(backEnd.rack);
        if (backEnd.kind != BackEndKind::Worker || rack == m_racks.end())
            continue;
        auto [it, isNew] = m_workers.try_emplace(backEnd.name);
        Worker& worker = it->second;
        // A worker that moved to another rack is taken over once its old rack has released it.
        if (!isNew && worker.info.rack != backEnd.rack)
            continue;
        worker.info = backEnd;
        worker.isListed = true;
        if (isNew) {
            worker.lastReplyAt = m_parts.clock.now();
            worker.nextSync = worker.lastReplyAt;
            rack->second.workers.push_back(backEnd.name);
        }
        m_ledger.upsert({ backEnd.name, backEnd.rack, backEnd.failureDomain, backEnd.capacity, {}, false });
        updateUsable(worker, m_parts.clock.now());
    }
}

std::vector<RackView> WorkerFleet::recoveredRacks() const
{
    std::vector<RackView> views;
    for (const auto& [name, rack] : m_racks) {
        const bool recovered = std::all_of(rack.workers.begin(), rack.workers.end(),
            [this](const std::string& worker) { return m_workers.at(worker).isRecovered; });
        if (recovered && currentTerm(name))
            views.push_back({ name, rack.recovery });
    }
    return views;
}

RackRecovery WorkerFleet::recovery(absl::string_view rack) const
{
    auto it = m_racks.find(rack);
    return it == m_racks.end() ? RackRecovery {} : it->second.recovery;
}

std::optional<Term> WorkerFleet::currentTerm(const std::string& rack) const
{
    const auto term = m_parts.ownership.term(rackGroup(rack));
    auto it = m_racks.find(rack);
    if (!term || it == m_racks.end() || term->epoch != it->second.epoch || term->until <= m_parts.clock.now())
        return std::nullopt;
    return term;
}

void WorkerFleet::tick(Instant now)
{
    if (now < m_nextTick)
        return;
    m_nextTick = now + tickInterval;
    for (auto& [name, rack] : m_racks) {
        const auto term = currentTerm(name);
        for (const std::string& workerName : rack.workers) {
            Worker& worker = m_workers[workerName];
            if (now - worker.lastReplyAt > leaseExpiryTime())
                expireLeases(worker, now);
            if (term)
                tickWorker(worker, *term, now);
            updateUsable(worker, now);
            if (isLeaving(worker))
                checkpointLeaving(worker);
        }
    }
    removeDrained();
    sendStarts(now);
    sendStops(now);
}

void WorkerFleet::checkpointLeaving(const Worker& worker)
{
    constexpr int moreThanMaxUrgency = 10;
    for (const RunStatus& run : preemptible(worker.info.name, moreThanMaxUrgency))
        stopRun(run.id, true);
}

void WorkerFleet::removeDrained()
{
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        const Worker& worker = it->second;
        const bool isGone = !worker.isListed && worker.isRecovered && worker.ticket.empty() && worker.runs.empty();
        if (!isGone) {
            ++it;
            continue;
        }
        auto& names = m_racks[worker.info.rack].workers;
        names.erase(std::find(names.begin(), names.end(), it->first));
        m_ledger.remove(it->first);
        it = m_workers.erase(it);
    }
}

void WorkerFleet::updateUsable(Worker& worker, Instant now)
{
    const bool isResponsive = worker.isRecovered && !worker.ticket.empty() && now - worker.lastReplyAt < ticketValidity;
    m_ledger.setUsable(
        worker.info.name, isResponsive && worker.isListed && !isLeaving(worker) && !worker.suspension.isSuspended(now));
}

} // namespace cicada
