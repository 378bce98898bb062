#include "ClaimsHome.h"

#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

#include <glog/logging.h>
#include <xxhash.h>

namespace cicada {

namespace {

    constexpr absl::string_view claimsPrefix = "claims/";
    /** Maximum number of old segments of other entries removed per purge, to limit the load on the store. */
    constexpr size_t maxRemovals = 10;

    uint32_t toMillisRoundedUp(absl::Duration duration)
    {
        const int64_t millis = absl::ToInt64Milliseconds(duration + absl::Milliseconds(1));
        return static_cast<uint32_t>(std::clamp<int64_t>(millis, 0, UINT32_MAX));
    }

    bool isNewer(const ClaimRecord& a, const ClaimRecord& b)
    {
        // A write of a previous home may reach the store after the partition has changed owner; the epoch orders them.
        return std::make_pair(a.epoch, a.version) > std::make_pair(b.epoch, b.version);
    }

} // namespace

uint32_t claimPartition(absl::string_view id)
{
    return static_cast<uint32_t>(XXH3_64bits(id.data(), id.size()) % claimPartitions);
}

ClaimsHome::ClaimsHome(
    Store& store, Journal& journal, Ownership& ownership, const Clock& clock, absl::Duration retention)
    : m_store(store)
    , m_journal(journal)
    , m_ownership(ownership)
    , m_clock(clock)
    , m_retention(retention)
{
    ownership.onChange([this](absl::string_view group, uint64_t epoch, bool owned) {
        uint32_t partition = 0;
        if (!absl::ConsumePrefix(&group, claimsPrefix) || !absl::SimpleAtoi(group, &partition))
            return;
        m_partitions.erase(partition);
        if (owned)
            m_partitions[partition].epoch = epoch;
    });
}

size_t ClaimsHome::size() const
{
    size_t size = 0;
    for (const auto& [number, partition] : m_partitions)
        size += partition.claims.size();
    return size;
}

ClaimsHome::Partition* ClaimsHome::servablePartition(uint32_t partition)
{
    const auto term = m_ownership.term(claimGroup(partition));
    auto it = m_partitions.find(partition);
    if (!term || m_clock.now() > term->until || it == m_partitions.end())
        return nullptr;
    return it->second.epoch == term->epoch && it->second.ready ? &it->second : nullptr;
}

void ClaimsHome::handleRequest(const std::string& claimer, const ClaimRequest& request)
{
    ClaimReply reply { request.id, request.token, ClaimStatus::NotHome, 0, "", 0, 0, 0, request.stamp };
    Partition* partition = servablePartition(claimPartition(request.id));
    if (!partition)
        return m_reply(claimer, reply);
    auto it = partition->claims.find(request.id);
    if (it == partition->claims.end())
        return record(*partition, claimer, request, 1);
    Claim& claim = it->second;
    if (claim.record.fingerprint != request.fingerprint) {
        reply.status = ClaimStatus::Mismatch;
        return m_reply(claimer, reply);
    }
    if (claim.record.token == request.token) {
        extend(claim);
        reply.status = claim.stored ? ClaimStatus::Granted : ClaimStatus::Pending;
        reply.version = claim.record.version;
        return m_reply(claimer, reply);
    }
    if (request.supersedes != 0 && request.supersedes == claim.record.token)
        return record(*partition, claimer, request, claim.record.version + 1);
    replyHeld(claim, claimer, request);
}

void ClaimsHome::extend(Claim& claim)
{
    const Instant now = m_clock.now();
    claim.extendedAt = now;
    if (!claim.stored || now - claim.knownSince < m_retention / 2)
        return;
    // The attempt is still active, so the claim is stored again before its stored record expires.
    if (m_journal.append(claim.record, [] {}))
        claim.knownSince = now;
}

void ClaimsHome::record(Partition& partition, const std::string& claimer, const ClaimRequest& request, uint32_t version)
{
    const ClaimRecord record { request.id, version, request.token, claimer, request.fingerprint, request.startWithinMs,
        partition.epoch };
    ClaimReply reply { request.id, request.token, ClaimStatus::Pending, version, "", 0, 0, 0, request.stamp };
    const uint32_t number = claimPartition(request.id);
    // If the journal is full, the claimer's next request tries again.
    const bool queued
        = m_journal.append(record, [this, number, record, stamp = request.stamp] { stored(number, record, stamp); });
    if (queued) {
        const Instant now = m_clock.now();
        partition.claims[request.id] = Claim { record, false, now, false, now };
    }
    m_reply(claimer, reply);
}

void ClaimsHome::stored(uint32_t number, const ClaimRecord& record, int64_t stamp)
{
    // If the term was interrupted since the claim was made, a successor may have read the store before this write.
    Partition* partition = servablePartition(number);
    if (!partition || partition->epoch != record.epoch)
        return;
    auto it = partition->claims.find(record.id);
    if (it == partition->claims.end() || it->second.record.token != record.token)
        return;
    it->second.stored = true;
    m_reply(record.claimer, { record.id, record.token, ClaimStatus::Granted, record.version, "", 0, 0, 0, stamp });
}

void ClaimsHome::replyHeld(const Claim& claim, const std::string& claimer, const ClaimRequest& request)
{
    const Instant now = m_clock.now();
    const absl::Duration startWithin
        = absl::Milliseconds(claim.record.startWithinMs) * (1 + clockMargin) + roundingMargin;
    const absl::Duration age = claim.readFromStore ? m_retention : now - claim.knownSince;
    ClaimReply reply { request.id, request.token, ClaimStatus::Held, claim.record.version, claim.record.claimer,
        claim.record.token, toMillisRoundedUp(claim.extendedAt + startWithin - now),
        toMillisRoundedUp(age * (1 + clockMargin) + startWithin), request.stamp };
    m_reply(claimer, reply);
}

void ClaimsHome::tick(Instant now)
{
    if (!m_recovering && now >= m_nextRecovery)
        startRecovery();
    if (now < m_nextPurge)
        return;
    m_nextPurge = now + purgeInterval;
    removeExpiredClaims(now);
    removeExpiredSegments(now);
}

void ClaimsHome::startRecovery()
{
    std::vector<std::pair<uint32_t, uint64_t>> wanted;
    for (const auto& [number, partition] : m_partitions) {
        if (!partition.ready)
            wanted.emplace_back(number, partition.epoch);
    }
    if (wanted.empty())
        return;
    m_recovering = true;
    m_store.list(journalPrefix, [this, wanted](const StoreReply& reply) {
        m_recovering = false;
        if (reply.status == StoreStatus::Unavailable) {
            m_nextRecovery = m_clock.now() + retryDelay;
            return;
        }
        std::vector<uint32_t> partitions;
        for (const auto& [number, epoch] : wanted) {
            auto it = m_partitions.find(number);
            // If the partition was lost and regained meanwhile, the list predates the new epoch and is not valid.
            if (it != m_partitions.end() && it->second.epoch == epoch && !it->second.ready)
                partitions.push_back(number);
        }
        recover(reply.entries, partitions);
        trackSegments(reply.entries);
    });
}

void ClaimsHome::recover(const std::vector<StoreEntry>& entries, const std::vector<uint32_t>& partitions)
{
    for (const StoreEntry& entry : entries) {
        auto claims = decodeClaims(entry.value);
        if (!claims) {
            // Without the segment an id could run twice, so none of these partitions is served until it is repaired.
            LOG(ERROR) << "cannot decode journal segment " << entry.key << ": " << describe(claims.error());
            m_nextRecovery = m_clock.now() + retryDelay;
            return;
        }
        for (ClaimRecord& record : claims.value()) {
            const uint32_t number = claimPartition(record.id);
            if (std::find(partitions.begin(), partitions.end(), number) == partitions.end())
                continue;
            Claim& claim = m_partitions[number].claims[record.id];
            if (claim.record.token != 0 && !isNewer(record, claim.record))
                continue;
            const Instant now = m_clock.now();
            claim = Claim { std::move(record), true, now, true, now };
        }
    }
    for (const uint32_t number : partitions)
        m_partitions[number].ready = true;
}

void ClaimsHome::trackSegments(const std::vector<StoreEntry>& entries)
{
    const Instant now = m_clock.now();
    for (const StoreEntry& entry : entries) {
        SeenSegment& seen = m_seenSegments[entry.key];
        if (seen.index != entry.index)
            seen = { entry.index, now };
    }
}

void ClaimsHome::removeExpiredSegments(Instant now)
{
    size_t removals = 0;
    for (auto it = m_seenSegments.begin(); it != m_seenSegments.end() && removals < maxRemovals;) {
        // Unchanged for that long, so all claims in it are older than the retention. If its writer has reused it since,
        // the index differs and the removal does nothing.
        if (now - it->second.seenAt <= m_retention * 2) {
            ++it;
            continue;
        }
        if (m_ownership.term(claimGroup(claimPartition(it->first)))) {
            m_store.remove(it->first, it->second.index, [](const StoreReply&) {});
            ++removals;
        }
        it = m_seenSegments.erase(it);
    }
}

void ClaimsHome::removeExpiredClaims(Instant now)
{
    for (auto& [number, partition] : m_partitions) {
        absl::erase_if(partition.claims,
            [&](const auto& item) { return item.second.stored && now - item.second.knownSince > m_retention; });
    }
}

} // namespace cicada
