#pragma once

/** \file
 * One part of the operators' configuration as a document with one growing version: the profiles, the planned stops.
 * A change is accepted only when it is in the store; it then also travels from peer to peer, so that a store outage
 * right after the acceptance holds nothing up. The highest version wins everywhere, so that no version goes back.
 */

#include "Clock.h"
#include "ConfigWatch.h"
#include "Error.h"
#include "PeerBus.h"

#include "absl/functional/any_invocable.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicada {

/** A document that all entries share. Used on the decision thread only. */
class ConfigDocument {
public:
    /** Makes the new body (JSON) from the current one, which is empty at first, and the version that the change will
     * have; an error refuses the change. Called again when another change came first. */
    using Edit = std::function<Result<std::string>(const std::string& body, uint64_t newVersion)>;
    using ChangeCallback = absl::AnyInvocable<void(Result<uint64_t>)>;
    using Observer = absl::AnyInvocable<void(const std::string& body, uint64_t version)>;

    /** `name` is the document's key below configPrefix. The other arguments must outlive the document. */
    ConfigDocument(std::string name, Store&, PeerBus&, ConfigWatch&, const Clock&);
    ~ConfigDocument();

    /** Asks for a change. `changeId` names it: a change whose reply was lost is found to be made already and is not
     * made twice. Calls back with the new version, the edit's error, or StoreUnavailable after changeTimeout. */
    void change(std::string changeId, Edit edit, ChangeCallback callback);
    /** Called with each newer version, from wherever it came. */
    void onAdopt(Observer observer) { m_observer = std::move(observer); }
    /** 0 until anything was learnt. */
    uint64_t version() const { return m_version; }
    void tick(Instant now);

    static constexpr absl::Duration gossipInterval = absl::Seconds(1);
    /** How long a change is tried before its operator is told that the store is out. */
    static constexpr absl::Duration changeTimeout = absl::Seconds(5);

private:
    struct Pending;
    struct Content;
    using PendingPtr = std::shared_ptr<Pending>;

    void attempt(const PendingPtr& pending);
    void handleCurrent(const PendingPtr& pending, const StoreReply& reply);
    void retryLater(const PendingPtr& pending);
    bool adopt(absl::string_view text);
    void handlePeerMessage(absl::string_view from, absl::string_view bytes);
    void sendDocument(absl::string_view peer);

    const std::string m_name;
    const std::string m_key;
    const std::string m_service;
    Store& m_store;
    PeerBus& m_peers;
    const Clock& m_clock;
    Observer m_observer;
    uint64_t m_version = 0;
    std::string m_text;
    std::vector<PendingPtr> m_waiting;
    Instant m_nextGossip = absl::ZeroDuration();
};

} // namespace cicada
