#include "ObservedStore.h"

namespace cicada {

template <typename Reply>
absl::AnyInvocable<void(Reply)> ObservedStore::observed(
    bool (*isAnswer)(const Reply&), absl::AnyInvocable<void(Reply)> callback)
{
    return [this, isAnswer, callback = std::move(callback)](Reply reply) mutable {
        if (isAnswer(reply))
            m_lastAnsweredAt = m_clock.now();
        callback(std::move(reply));
    };
}

void ObservedStore::transact(Transaction transaction, absl::AnyInvocable<void(TransactionReply)> callback)
{
    const auto isAnswer = [](const TransactionReply& reply) {
        return reply.status != TransactionStatus::NotApplied && reply.status != TransactionStatus::Unknown;
    };
    m_store.transact(std::move(transaction), observed<TransactionReply>(isAnswer, std::move(callback)));
}

void ObservedStore::listPage(
    const std::string& prefix, const std::string& afterKey, absl::AnyInvocable<void(StorePage)> callback)
{
    const auto isAnswer = [](const StorePage& page) { return page.isValid; };
    m_store.listPage(prefix, afterKey, observed<StorePage>(isAnswer, std::move(callback)));
}

void ObservedStore::awaitChange(
    const std::string& prefix, uint64_t revision, absl::Duration wait, absl::AnyInvocable<void(WatchReply)> callback)
{
    const auto isAnswer = [](const WatchReply& reply) { return reply.status != WatchStatus::Failed; };
    m_store.awaitChange(prefix, revision, wait, observed<WatchReply>(isAnswer, std::move(callback)));
}

void ObservedStore::grantLease(absl::Duration ttl, absl::AnyInvocable<void(LeaseReply)> callback)
{
    const auto isAnswer = [](const LeaseReply& reply) { return reply.status != LeaseStatus::Failed; };
    m_store.grantLease(ttl, observed<LeaseReply>(isAnswer, std::move(callback)));
}

void ObservedStore::keepLease(uint64_t lease, absl::AnyInvocable<void(LeaseStatus)> callback)
{
    const auto isAnswer = [](const LeaseStatus& status) { return status != LeaseStatus::Failed; };
    m_store.keepLease(lease, observed<LeaseStatus>(isAnswer, std::move(callback)));
}

} // namespace cicada
