#pragma once

/** \file
 * A store that passes all calls on to another one and notes when that one last answered. A process whose own work is
 * late, or whose single calls time out, is thereby told from one that the store does not answer at all.
 */

#include "Clock.h"
#include "TransactionalStore.h"

namespace cicada {

/** Used on the decision thread only. */
class ObservedStore final : public TransactionalStore {
public:
    /** Both must outlive this object and all calls. */
    ObservedStore(TransactionalStore& store, const Clock& clock)
        : m_store(store)
        , m_clock(clock)
    {
    }

    /** When the store last answered any call of this process. A refusal is not an answer, since the store gives it
     * without doing anything, also to a machine that it turns away. */
    Instant lastAnsweredAt() const { return m_lastAnsweredAt; }

    void transact(Transaction, absl::AnyInvocable<void(TransactionReply)>) override;
    void listPage(const std::string& prefix, const std::string& afterKey, absl::AnyInvocable<void(StorePage)>) override;
    void awaitChange(const std::string& prefix, uint64_t revision, absl::Duration wait,
        absl::AnyInvocable<void(WatchReply)>) override;
    void grantLease(absl::Duration ttl, absl::AnyInvocable<void(LeaseReply)>) override;
    void keepLease(uint64_t lease, absl::AnyInvocable<void(LeaseStatus)>) override;
    void endLease(uint64_t lease) override { m_store.endLease(lease); }

private:
    /** Wraps a callback so that an answer is noted before it is handled. */
    template <typename Reply>
    absl::AnyInvocable<void(Reply)> observed(bool (*isAnswer)(const Reply&), absl::AnyInvocable<void(Reply)> callback);

    TransactionalStore& m_store;
    const Clock& m_clock;
    Instant m_lastAnsweredAt = absl::ZeroDuration() - absl::Hours(1);
};

} // namespace cicada
