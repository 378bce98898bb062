#pragma once

/** \file
 * The single watch that an entry holds on the store's configuration prefix. Each subscriber receives the entries below
 * its own part of the prefix.
 */

#include "Store.h"

#include "absl/functional/any_invocable.h"

#include <string>
#include <utility>
#include <vector>

namespace cicada {

/** Everything below this prefix is watched: members, owners, profiles and planned stops. The data below it is small. */
constexpr absl::string_view configPrefix = "cicada/config/";

/** Distributes watch snapshots to subscribers. Used on the decision thread only. */
class ConfigWatch {
public:
    using Callback = absl::AnyInvocable<void(absl::Span<const StoreEntry>)>;

    explicit ConfigWatch(Store& store)
        : m_store(store)
    {
    }
    /** Calls back with all entries below configPrefix + `part` whenever the watch reports. Call before start(). */
    void subscribe(absl::string_view part, Callback callback);
    void start();
    /** Lists the whole prefix once, for a caller that needs the current state before the watch reports it. A call while
     * a listing is in progress does nothing. */
    void refresh();
    /** The number of snapshots delivered. Each snapshot shows the store at one instant, and all subscribers get their
     * parts of it in turn. After a refresh a snapshot may be older than the one before it. */
    uint64_t snapshots() const { return m_snapshots; }

private:
    void deliver(absl::Span<const StoreEntry> entries);

    Store& m_store;
    std::vector<std::pair<std::string, Callback>> m_subscribers;
    uint64_t m_snapshots = 0;
    bool m_refreshing = false;
};

} // namespace cicada
