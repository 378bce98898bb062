/** \file
 * The part of JobController that takes over partitions, reads their jobs from the store and waits until all runs are
 * known.
 */

#include "JobController.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration auditInterval = absl::Seconds(2);
    constexpr absl::Duration listRetry = absl::Milliseconds(500);
    constexpr absl::string_view claimGroupPrefix = "claims/";

} // namespace

void JobController::refreshRacks()
{
    m_racks.clear();
    for (const BackEnd& backEnd : m_parts.backEnds.all()) {
        if (backEnd.kind == BackEndKind::Worker)
            m_racks.push_back(backEnd.rack);
    }
    std::sort(m_racks.begin(), m_racks.end());
    m_racks.erase(std::unique(m_racks.begin(), m_racks.end()), m_racks.end());
}

std::string JobController::rackOwner(const std::string& rack) const
{
    return m_parts.ownership.owner(absl::StrCat("rack/", rack));
}

void JobController::handleOwnership(absl::string_view group, uint64_t epoch, bool owned)
{
    uint32_t partition = 0;
    if (!absl::ConsumePrefix(&group, claimGroupPrefix) || !absl::SimpleAtoi(group, &partition))
        return;
    if (owned)
        gain(partition, epoch);
    else
        lose(partition);
}

void JobController::gain(uint32_t number, uint64_t epoch)
{
    lose(number);
    Partition& partition = m_partitions[number];
    partition.epoch = epoch;
    partition.nextList = -absl::InfiniteDuration();
}

void JobController::lose(uint32_t number)
{
    if (m_partitions.erase(number) == 0)
        return;
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        if (jobPartition(it->first) != number) {
            ++it;
            continue;
        }
        const auto holds = it->second.holds;
        for (const uint64_t hold : holds)
            dropHold(hold);
        m_waiting.erase(it->second.order);
        for (ReplyCallback& callback : it->second.cancelCallbacks)
            callback(Error { ErrorKind::NoAuthority, "The job has a new owner.", "Send the request again." });
        it = m_jobs.erase(it);
    }
    for (auto& [name, view] : m_views)
        view.partitions.erase(number);
}

void JobController::listJobs(uint32_t number)
{
    m_partitions[number].isListing = true;
    m_parts.records.list(
        number, [this, number, epoch = m_partitions[number].epoch](Result<std::vector<JobRecord>> records) {
            auto it = m_partitions.find(number);
            if (it == m_partitions.end() || it->second.epoch != epoch)
                return;
            Partition& partition = it->second;
            partition.isListing = false;
            partition.nextList = m_parts.clock.now() + listRetry;
            if (!records)
                return;
            for (JobRecord& record : records.value())
                addRecord(std::move(record));
            if (partition.recovery == Recovery::Listing)
                partition.recovery = Recovery::AwaitingReports;
        });
}

void JobController::addRecord(JobRecord record)
{
    const std::string id = record.spec.id;
    auto partition = m_partitions.find(jobPartition(id));
    if (partition == m_partitions.end() || m_jobs.contains(id))
        return;
    Job& job = m_jobs[id];
    job.isEndStored = record.state != JobState::Accepted;
    job.active = std::make_unique<ActiveJob>(std::move(record));
    job.order = job.active->order();
    job.isFirstOwner = partition->second.recovery == Recovery::Ready;
    job.addedAt = m_parts.clock.now();
    job.nextAttempt = -absl::InfiniteDuration();
    job.nextCheck = -absl::InfiniteDuration();
    if (partition->second.recovery == Recovery::Ready)
        job.active->finishRecovery();
}

void JobController::noteStored(const std::string& id)
{
    auto it = m_partitions.find(jobPartition(id));
    if (it == m_partitions.end() || m_jobs.contains(id))
        return;
    m_parts.records.read(id, [this, number = it->first, epoch = it->second.epoch](Result<JobRecord> record) {
        auto partition = m_partitions.find(number);
        if (record && partition != m_partitions.end() && partition->second.epoch == epoch)
            addRecord(std::move(record.value()));
    });
}

void JobController::checkRecovered(uint32_t number, Partition& partition)
{
    for (const std::string& rack : m_racks) {
        const PartitionView* view = viewOf(rackOwner(rack), number);
        if (!view || view->epoch != partition.epoch || !view->racks->contains(rack))
            return;
    }
    partition.recovery = Recovery::Ready;
    for (auto& [id, job] : m_jobs) {
        if (jobPartition(id) != number)
            continue;
        job.active->finishRecovery();
        job.isDirty = true;
    }
}

bool JobController::isReady(const std::string& id) const
{
    auto it = m_partitions.find(jobPartition(id));
    return it != m_partitions.end() && it->second.recovery != Recovery::Listing;
}

std::optional<uint64_t> JobController::epochOf(const std::string& id) const
{
    const uint32_t number = jobPartition(id);
    auto it = m_partitions.find(number);
    const auto term = m_parts.ownership.term(claimGroup(number));
    if (it == m_partitions.end() || !term || term->epoch != it->second.epoch || term->until <= m_parts.clock.now())
        return std::nullopt;
    return term->epoch;
}

void JobController::audit(Instant now)
{
    if (now < m_nextAudit || m_partitions.empty())
        return;
    m_nextAudit = now + auditInterval;
    // Finds jobs whose notice was lost when the entry that accepted them failed.
    auto it = m_partitions.upper_bound(m_auditCursor);
    if (it == m_partitions.end())
        it = m_partitions.begin();
    m_auditCursor = it->first;
    if (it->second.recovery == Recovery::Ready && !it->second.isListing)
        listJobs(it->first);
}

} // namespace cicada
