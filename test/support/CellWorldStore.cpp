/** \file
 * The part of CellWorld through which an entry reaches the store.
 */

#include "CellWorldEntry.h"

namespace cicada::test {

namespace {

    constexpr absl::Duration callDelay = absl::Milliseconds(4);
    constexpr absl::Duration lateBy = absl::Milliseconds(3000);

} // namespace

template <typename Reply>
void CellWorld::Door::answer(absl::Duration delay, Reply reply, absl::AnyInvocable<void(Reply)> callback)
{
    m_entry.timers.after(
        delay, [reply = std::move(reply), callback = std::move(callback)]() mutable { callback(std::move(reply)); });
}

template <typename Reply>
void CellWorld::Door::call(
    std::function<Reply()> effect, Reply refused, Reply lost, absl::AnyInvocable<void(Reply)> callback, CallKind kind)
{
    if (mood == StoreMood::Busy)
        return answer(callDelay, std::move(refused), std::move(callback));
    if (mood == StoreMood::Silent)
        return answer(replyTimeout, std::move(lost), std::move(callback));
    const absl::Duration delay = m_world.delay() + distance + m_world.congestion(m_entry);
    if (kind == CallKind::Write && mood == StoreMood::WritesLate) {
        m_world.m_timers.after(lateBy, [effect] { effect(); });
        return answer(replyTimeout, std::move(lost), std::move(callback));
    }
    const bool losesReply
        = mood == StoreMood::LosesReplies || (kind == CallKind::Lease && mood == StoreMood::LosesLeaseReplies);
    if (losesReply) {
        m_world.m_timers.after(delay, [effect] { effect(); });
        return answer(replyTimeout, std::move(lost), std::move(callback));
    }
    if (delay * 2 > replyTimeout) {
        m_world.m_timers.after(delay, [effect] { effect(); });
        return answer(replyTimeout, std::move(lost), std::move(callback));
    }
    auto shared = std::make_shared<absl::AnyInvocable<void(Reply)>>(std::move(callback));
    m_world.m_timers.after(delay, [this, effect, shared, delay]() mutable {
        Reply reply = effect();
        if (m_entry.isAlive)
            answer<Reply>(delay, std::move(reply), [shared](Reply r) { (*shared)(std::move(r)); });
    });
}

void CellWorld::Door::awaitChange(
    const std::string& prefix, uint64_t revision, absl::Duration wait, absl::AnyInvocable<void(WatchReply)> callback)
{
    pollWatch(prefix, revision, m_world.now() + wait, std::move(callback));
}

void CellWorld::Door::pollWatch(
    const std::string& prefix, uint64_t revision, Instant until, absl::AnyInvocable<void(WatchReply)> callback)
{
    constexpr absl::Duration pollInterval = absl::Milliseconds(10);
    if (mood != StoreMood::Well && mood != StoreMood::LosesLeaseReplies)
        return answer(mood == StoreMood::Busy ? callDelay : replyTimeout, WatchReply(), std::move(callback));
    auto changes = m_world.m_store.changesSince(prefix, revision);
    WatchReply reply;
    reply.storeRevision = m_world.m_store.revision();
    if (!changes) {
        reply.status = WatchStatus::HistoryGone;
        return answer(callDelay, std::move(reply), std::move(callback));
    }
    if (!changes->empty() || m_world.now() >= until) {
        reply.status = WatchStatus::Ok;
        reply.changes = std::move(*changes);
        return answer(callDelay, std::move(reply), std::move(callback));
    }
    m_entry.timers.after(pollInterval, [this, prefix, revision, until, callback = std::move(callback)]() mutable {
        pollWatch(prefix, revision, until, std::move(callback));
    });
}

} // namespace cicada::test
