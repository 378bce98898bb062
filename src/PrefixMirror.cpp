#include "PrefixMirror.h"

namespace cicada {

namespace {

    constexpr absl::Duration retryDelay = absl::Milliseconds(250);

} // namespace

PrefixMirror::PrefixMirror(TransactionalStore& store, TimerQueue& timers, EventLog& log, std::string prefix,
    absl::Duration watchTimeout, OnChange onChange, OnSynced onSynced)
    : m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_prefix(std::move(prefix))
    , m_watchTimeout(watchTimeout)
    , m_onChange(std::move(onChange))
    , m_onSynced(std::move(onSynced))
{
}

PrefixMirror::~PrefixMirror() { stop(); }

template <typename Reply> auto PrefixMirror::guarded(void (PrefixMirror::*handler)(Reply))
{
    return [this, alive = m_alive, handler](Reply reply) {
        if (*alive)
            (this->*handler)(std::move(reply));
    };
}

void PrefixMirror::start() { list(""); }

void PrefixMirror::stop() { *m_alive = false; }

void PrefixMirror::list(const std::string& afterKey)
{
    if (afterKey.empty()) {
        m_listed.clear();
        m_listRevision = 0;
    }
    m_store.listPage(m_prefix, afterKey, guarded(&PrefixMirror::handlePage));
}

void PrefixMirror::handlePage(StorePage page)
{
    recordContact(page.isValid);
    if (!page.isValid)
        return retry([this] { list(""); });
    // The pages are not one snapshot. Watching from the first page's revision repeats some changes that later pages
    // already showed, but loses none.
    if (m_listRevision == 0)
        m_listRevision = page.storeRevision;
    std::string last;
    for (StoreEntry& entry : page.entries) {
        last = entry.key;
        m_listed[last] = std::move(entry);
    }
    if (page.hasMore && !last.empty())
        return list(last);
    finishListing();
}

void PrefixMirror::finishListing()
{
    std::vector<std::string> removed;
    for (const auto& [key, entry] : m_entries) {
        if (!m_listed.contains(key))
            removed.push_back(key);
    }
    for (const std::string& key : removed)
        apply({ StoreEntry { key, "", m_listRevision }, true });
    for (auto& [key, entry] : m_listed)
        apply({ std::move(entry), false });
    m_listed.clear();
    m_revision = m_listRevision;
    m_isPopulated = true;
    m_onSynced();
    watch();
}

void PrefixMirror::apply(StoreChange change)
{
    const std::string key = change.entry.key;
    const auto found = m_entries.find(key);
    const bool isOld = found != m_entries.end() && found->second.index >= change.entry.index;
    if (change.isRemoved) {
        if (found == m_entries.end() || found->second.index > change.entry.index)
            return;
        m_entries.erase(found);
        return m_onChange(key, nullptr);
    }
    if (isOld)
        return;
    const StoreEntry& kept = m_entries[key] = std::move(change.entry);
    m_onChange(key, &kept);
}

void PrefixMirror::watch()
{
    m_store.awaitChange(m_prefix, m_revision, m_watchTimeout, guarded(&PrefixMirror::handleWatch));
}

void PrefixMirror::handleWatch(WatchReply reply)
{
    recordContact(reply.status != WatchStatus::Failed);
    if (reply.status == WatchStatus::HistoryGone) {
        m_log.write("watch-history-gone", "prefix", m_prefix, "revision", m_revision);
        return list("");
    }
    if (reply.status == WatchStatus::Failed)
        return retry([this] { watch(); });
    for (StoreChange& change : reply.changes)
        apply(std::move(change));
    m_revision = std::max(m_revision, reply.storeRevision);
    m_onSynced();
    watch();
}

void PrefixMirror::retry(absl::AnyInvocable<void()> step)
{
    m_timers.after(retryDelay, [alive = m_alive, step = std::move(step)]() mutable {
        if (*alive)
            step();
    });
}

void PrefixMirror::recordContact(bool isReached)
{
    if (isReached)
        m_lastContact = m_timers.clock().now();
    if (isReached == m_isStoreReachable)
        return;
    m_isStoreReachable = isReached;
    m_log.write(isReached ? "store-regained" : "store-lost", "prefix", m_prefix, "revision", m_revision);
}

} // namespace cicada
