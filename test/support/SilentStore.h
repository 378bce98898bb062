#pragma once

/** \file
 * A store for tests of what needs none.
 */

#include "TransactionalStore.h"

namespace cicada::test {

/** A store of which nothing is ever heard. */
class SilentStore final : public TransactionalStore {
public:
    void transact(Transaction, absl::AnyInvocable<void(TransactionReply)>) override { }
    void listPage(const std::string&, const std::string&, absl::AnyInvocable<void(StorePage)>) override { }
    void awaitChange(const std::string&, uint64_t, absl::Duration, absl::AnyInvocable<void(WatchReply)>) override { }
    void grantLease(absl::Duration, absl::AnyInvocable<void(LeaseReply)>) override { }
    void keepLease(uint64_t, absl::AnyInvocable<void(LeaseStatus)>) override { }
    void endLease(uint64_t) override { }
};

} // namespace cicada::test
