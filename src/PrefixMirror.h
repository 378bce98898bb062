#pragma once

/** \file
 * A local copy of all keys below a prefix of the store. It lists the prefix once and watches it from that revision; it
 * lists again when the store no longer has the changes since then. The copy may be stale: its users check
 * lastContact().
 */

#include "EventLog.h"
#include "TimerQueue.h"
#include "TransactionalStore.h"

#include "absl/container/btree_map.h"

#include <functional>
#include <memory>

namespace cicada {

/** Mirrors one prefix. Used on the decision thread only. */
class PrefixMirror {
public:
    /** Called with each key that changed; `entry` is null when the key was removed. */
    using OnChange = std::function<void(const std::string& key, const StoreEntry* entry)>;
    /** Called after each reply of the store has been applied. */
    using OnSynced = std::function<void()>;

    /** The referenced objects must outlive the mirror. `watchTimeout` bounds one watch call, and so how long an
     * unresponsive connection goes unnoticed. */
    PrefixMirror(TransactionalStore& store, TimerQueue& timers, EventLog& log, std::string prefix,
        absl::Duration watchTimeout, OnChange onChange, OnSynced onSynced);
    ~PrefixMirror();

    void start();
    /** Stops watching; replies that are still outstanding are ignored. */
    void stop();
    /** Whether the first listing has completed. */
    bool isPopulated() const { return m_isPopulated; }
    /** All changes up to this revision of the store have been applied. */
    uint64_t knownRevision() const { return m_revision; }
    /** When the store last replied. */
    Instant lastContact() const { return m_lastContact; }
    const absl::btree_map<std::string, StoreEntry>& entries() const { return m_entries; }
    /** The entry of a key, or null. */
    const StoreEntry* find(const std::string& key) const
    {
        const auto found = m_entries.find(key);
        return found == m_entries.end() ? nullptr : &found->second;
    }

private:
    void list(const std::string& afterKey);
    void handlePage(StorePage page);
    void finishListing();
    void watch();
    void handleWatch(WatchReply reply);
    void retry(absl::AnyInvocable<void()> step);
    void recordContact(bool isReached);
    void apply(StoreChange change);
    /** Wraps a callback so that it does nothing after the mirror was stopped. */
    template <typename Reply> auto guarded(void (PrefixMirror::*handler)(Reply));

    TransactionalStore& m_store;
    TimerQueue& m_timers;
    EventLog& m_log;
    const std::string m_prefix;
    const absl::Duration m_watchTimeout;
    OnChange m_onChange;
    OnSynced m_onSynced;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    absl::btree_map<std::string, StoreEntry> m_entries;
    absl::btree_map<std::string, StoreEntry> m_listed;
    uint64_t m_listRevision = 0;
    uint64_t m_revision = 0;
    bool m_isPopulated = false;
    bool m_isStoreReachable = true;
    Instant m_lastContact = absl::ZeroDuration();
};

} // namespace cicada
