#pragma once

/** \file
 * Which entries there are. Each registers itself in the store under a new incarnation and learns of the others from
 * the watch.
 */

#include "ConfigWatch.h"
#include "Ownership.h"
#include "PeerBus.h"
#include "Settings.h"

#include "absl/functional/any_invocable.h"

#include <string>
#include <vector>

namespace cicada {

/** One entry as it registered. */
struct Member {
    std::string name;
    std::string address;
    std::string region;
    std::string failureDomain;
};

/** Registers this entry and keeps the list of all entries. Used on the decision thread only. */
class Membership {
public:
    /** All arguments must outlive the membership. */
    Membership(const Settings&, Store&, PeerBus&, ConfigWatch&, const Clock&);

    /** Begins to register; repeated until it succeeds. */
    void start();
    void tick(Instant now);
    /** True once this entry is in the store. */
    bool registered() const { return m_registered; }
    absl::Span<const Member> members() const { return m_members; }
    void onChange(absl::AnyInvocable<void()> observer) { m_observers.push_back(std::move(observer)); }

private:
    void registerSelf();
    void handleEntries(absl::Span<const StoreEntry>);

    const Settings& m_settings;
    Store& m_store;
    PeerBus& m_peers;
    const Clock& m_clock;
    std::vector<Member> m_members;
    std::vector<absl::AnyInvocable<void()>> m_observers;
    bool m_registered = false;
    bool m_registering = false;
    Instant m_nextAttempt = absl::ZeroDuration();
};

} // namespace cicada
