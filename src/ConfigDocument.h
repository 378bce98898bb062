#pragma once

/** \file
 * One part of the operators' configuration, such as the profiles or the planned stops, as a document with a single
 * increasing version. A change is accepted only once it is in the store. Accepted documents are also gossiped between
 * peers, so that a store outage right after the acceptance does not delay them. Every entry adopts the highest version
 * that it has seen, so a version never goes back.
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
    /** Returns the new body (JSON), given the current body, which is empty at first, and the version that the change
     * will have; an error rejects the change. Called again when a concurrent change was stored first. */
    using Edit = std::function<Result<std::string>(const std::string& body, uint64_t newVersion)>;
    using ChangeCallback = absl::AnyInvocable<void(Result<uint64_t>)>;
    using Observer = absl::AnyInvocable<void(const std::string& body, uint64_t version)>;

    /** `name` is the document's key below configPrefix. The other arguments must outlive the document. */
    ConfigDocument(std::string name, Store&, PeerBus&, ConfigWatch&, const Clock&);
    ~ConfigDocument();

    /** Submits a change. `changeId` makes it idempotent: a change whose reply was lost is found in the document and is
     * not made twice. Calls back with the new version, the edit's error, or StoreUnavailable after changeTimeout. */
    void change(std::string changeId, Edit edit, ChangeCallback callback);
    /** Called with each newer version, whether it came from the store, from a peer or from a local change. */
    void onAdopt(Observer observer) { m_observer = std::move(observer); }
    /** 0 until the first version has been adopted. */
    uint64_t version() const { return m_version; }
    void tick(Instant now);

    static constexpr absl::Duration gossipInterval = absl::Seconds(1);
    /** How long a change is retried before the operator gets StoreUnavailable. */
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
