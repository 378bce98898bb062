#include "EntryPresence.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration retryDelay = absl::Milliseconds(200);
    /** A store whose fastest reply takes longer than this is assumed to be in another region. A single slow reply shows
     * load only. */
    constexpr absl::Duration maxNearStoreLatency = absl::Milliseconds(45);

} // namespace

bool EntryPresence::isFresh() const
{
    // Measured from when the renewal that got a reply was sent, so that no other entry can have seen the lease expire.
    return m_parts.timers.clock().now() - m_renewedAt < leaseTtl;
}

void EntryPresence::grant()
{
    m_isStored = false;
    const Instant sentAt = m_parts.timers.clock().now();
    m_parts.store.grantLease(leaseTtl, [this, sentAt](LeaseReply reply) {
        if (m_isLeaving)
            return;
        recordContact(reply.status == LeaseStatus::Ok, sentAt);
        if (reply.status != LeaseStatus::Ok)
            return m_parts.timers.after(retryDelay, [this] { grant(); });
        m_lease = reply.lease;
        m_renewedAt = sentAt;
        recordRoundTrip(sentAt);
        writeRecord();
        m_parts.timers.after(renewInterval, [this] { renew(); });
    });
}

void EntryPresence::writeRecord()
{
    if (m_isWriting || m_isLeaving)
        return;
    m_isWriting = true;
    Transaction transaction;
    transaction.writes.push_back({ m_parts.key, encodeEntry(m_parts.self), m_lease });
    m_parts.store.transact(std::move(transaction), [this](const TransactionReply& reply) {
        m_isWriting = false;
        if (m_isLeaving)
            return;
        m_isStored = reply.status == TransactionStatus::Applied;
        if (m_isStored)
            m_parts.log.write("entry-recorded", "lease", m_lease, "revision", reply.revision);
        else if (reply.status != TransactionStatus::LeaseEnded)
            m_parts.timers.after(retryDelay, [this] {
                if (!m_isStored)
                    writeRecord();
            });
    });
}

void EntryPresence::renew()
{
    if (m_isLeaving)
        return;
    const Instant sentAt = m_parts.timers.clock().now();
    m_parts.store.keepLease(m_lease, [this, sentAt](LeaseStatus status) {
        if (m_isLeaving)
            return;
        recordContact(status != LeaseStatus::Failed, sentAt);
        if (status == LeaseStatus::Ended) {
            m_parts.log.write("lease-ended", "lease", m_lease);
            return grant();
        }
        if (status == LeaseStatus::Ok)
            m_renewedAt = sentAt;
        if (status == LeaseStatus::Ok && recordRoundTrip(sentAt))
            writeRecord();
        m_parts.timers.after(status == LeaseStatus::Ok ? renewInterval : retryDelay, [this] { renew(); });
    });
}

void EntryPresence::recordContact(bool isReached, Instant sentAt)
{
    const int before = m_failures;
    const bool wasUnanswered = m_unanswered > 0;
    if (isReached && before > 0)
        m_parts.log.write("lease-regained", "failures", before, "unanswered", m_unanswered);
    if (isReached) {
        m_failures = 0;
        m_unanswered = 0;
    } else {
        recordFailure(sentAt);
    }
    if (!isReached || wasUnanswered)
        m_parts.onContact(isReached);
}

bool EntryPresence::recordRoundTrip(Instant sentAt)
{
    m_minRoundTrip = std::min(m_minRoundTrip, m_parts.timers.clock().now() - sentAt);
    const bool wasFar = m_parts.self.isFarFromStore;
    m_parts.self.isFarFromStore = m_minRoundTrip > maxNearStoreLatency;
    return wasFar && !m_parts.self.isFarFromStore;
}

void EntryPresence::recordFailure(Instant sentAt)
{
    ++m_failures;
    const Instant answeredAt = m_parts.store.lastAnsweredAt();
    if (m_unanswered == 0 || answeredAt >= m_unansweredSince) {
        m_unanswered = 0;
        m_unansweredSince = sentAt;
    }
    if (answeredAt < sentAt)
        ++m_unanswered;
}

void EntryPresence::restore()
{
    if (!m_isStored)
        return;
    m_isStored = false;
    writeRecord();
}

void EntryPresence::leave()
{
    m_isLeaving = true;
    if (m_lease != 0)
        m_parts.store.endLease(m_lease);
}

} // namespace cicada
