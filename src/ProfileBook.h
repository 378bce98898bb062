#pragma once

/** \file
 * All profiles in force, as one book with one growing version. A change is accepted only when it is in the store; it
 * then also travels from peer to peer, so that an outage right after the acceptance holds nothing up.
 */

#include "Clock.h"
#include "ConfigWatch.h"
#include "PeerBus.h"
#include "Profile.h"

#include "absl/container/btree_map.h"
#include "absl/functional/any_invocable.h"

#include <memory>
#include <optional>
#include <string>

namespace cicada {

/** One profile in the book. */
struct ProfileRecord {
    Profile profile;
    /** The book's version at this profile's last change; operators see it as the ETag. */
    uint64_t version = 0;
    /** Names the change, so that one whose reply was lost is recognised when it is sent again. */
    std::string changeId;
};

/** A change that an operator asks for. */
struct ProfileChange {
    std::string name;
    /** The new profile as JSON; nothing deletes it. */
    std::optional<std::string> json;
    /** The version that the operator saw: 0 for "must not exist yet", nothing for any. */
    std::optional<uint64_t> expectedVersion;
    std::string changeId;
};

/** The profiles in force at this entry. Used on the decision thread only. */
class ProfileBook {
public:
    using ChangeCallback = absl::AnyInvocable<void(Result<uint64_t>)>;

    /** All arguments must outlive the book. */
    ProfileBook(Store&, PeerBus&, ConfigWatch&, const Clock&);
    ~ProfileBook();

    const ProfileRecord* find(absl::string_view name) const;
    const absl::btree_map<std::string, ProfileRecord>& all() const { return m_profiles; }
    /** Grows with every accepted change and never goes back. */
    uint64_t version() const { return m_version; }
    /** Asks for a change; calls back with the new version, or with a Conflict that shows both sides. */
    void change(ProfileChange change, ChangeCallback callback);
    void tick(Instant now);

    static constexpr absl::Duration spreadInterval = absl::Seconds(1);
    /** How long a change is tried before its operator is told that the store is out. */
    static constexpr absl::Duration changeTimeout = absl::Seconds(5);

private:
    struct Pending;
    using PendingPtr = std::shared_ptr<Pending>;

    void attempt(const PendingPtr& pending);
    void handleCurrent(const PendingPtr& pending, const StoreReply& reply);
    void handleWritten(const PendingPtr& pending, const std::string& text, const StoreReply& reply);
    void retryLater(const PendingPtr& pending);
    Result<void> checkExpected(const Pending& pending) const;
    bool adopt(absl::string_view text);
    void spread();
    void handlePeerBook(absl::string_view bytes);
    void handlePeerVersion(absl::string_view from, absl::string_view bytes);

    Store& m_store;
    PeerBus& m_peers;
    const Clock& m_clock;
    absl::btree_map<std::string, ProfileRecord> m_profiles;
    uint64_t m_version = 0;
    std::string m_text;
    std::vector<PendingPtr> m_waiting;
    Instant m_nextSpread = absl::ZeroDuration();
};

} // namespace cicada
