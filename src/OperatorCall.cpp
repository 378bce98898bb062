#include "OperatorCall.h"

#include "Uuid.h"

#include "absl/synchronization/notification.h"

namespace cicada::Internal {

Result<uint64_t> waitForChange(EventLoop& loop, absl::AnyInvocable<void(ConfigDocument::ChangeCallback)> begin)
{
    struct Waiter {
        absl::Notification done;
        Result<uint64_t> result = uint64_t { 0 };
    };
    auto waiter = std::make_shared<Waiter>();
    loop.postBlocking([waiter, begin = std::move(begin)]() mutable {
        begin([waiter](Result<uint64_t> result) {
            waiter->result = std::move(result);
            waiter->done.Notify();
        });
    });
    waiter->done.WaitForNotification();
    return waiter->result;
}

std::string changeIdOf(const RouteRequest& question)
{
    const std::string given = question.header("Cicada-Change-Id");
    return given.empty() ? randomUuid() : given;
}

} // namespace cicada::Internal
