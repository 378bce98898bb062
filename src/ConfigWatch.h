#pragma once

/** \file
 * The one watch that an entry keeps on the store. It fans out what it sees to those that asked for a part of it.
 */

#include "Store.h"

#include "absl/functional/any_invocable.h"

#include <string>
#include <utility>
#include <vector>

namespace cicada {

/** Everything below this prefix is watched: members, owners, profiles and planned stops. It stays small. */
constexpr absl::string_view configPrefix = "cicada/config/";

/** Fans out the watch. Used on the decision thread only. */
class ConfigWatch {
public:
    using Callback = absl::AnyInvocable<void(absl::Span<const StoreEntry>)>;

    explicit ConfigWatch(Store& store)
        : m_store(store)
    {
    }
    /** Calls back with all entries below configPrefix + `part` whenever the watch reports. Call before start(). */
    void subscribe(absl::string_view part, Callback callback);
    /** Begins the watch. */
    void start();
    /** Reads everything once, for whoever must know now and can't wait for the watch; one read at a time. */
    void refresh();
    /** How many snapshots have been delivered. Each is of one instant in the store, and all subscribers get their parts
     * of it in turn. After a refresh one may be older than the one before it. */
    uint64_t snapshots() const { return m_snapshots; }

private:
    void deliver(absl::Span<const StoreEntry> entries);

    Store& m_store;
    std::vector<std::pair<std::string, Callback>> m_subscribers;
    uint64_t m_snapshots = 0;
    bool m_refreshing = false;
};

} // namespace cicada
