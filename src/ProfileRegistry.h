#pragma once

/** \file
 * All profiles in force at this entry, read from the shared configuration document of the profiles.
 */

#include "ConfigDocument.h"
#include "Profile.h"

#include "absl/container/btree_map.h"

#include <optional>
#include <string>

namespace cicada {

/** One profile in the registry. */
struct ProfileRecord {
    Profile profile;
    /** The registry's version at this profile's last change; operators see it as the ETag. */
    uint64_t version = 0;
};

/** A change that an operator requests. */
struct ProfileChange {
    std::string name;
    /** The new profile as JSON; nullopt deletes it. */
    std::optional<std::string> json;
    /** The version that the operator saw: 0 for "must not exist yet", nullopt for any. */
    std::optional<uint64_t> expectedVersion;
    std::string changeId;
};

/** The profiles in force at this entry. Used on the decision thread only. */
class ProfileRegistry {
public:
    /** All arguments must outlive the registry. */
    ProfileRegistry(Store&, PeerBus&, ConfigWatch&, const Clock&);

    const ProfileRecord* find(absl::string_view name) const;
    const absl::btree_map<std::string, ProfileRecord>& all() const { return m_profiles; }
    /** Grows with every accepted change and never goes back. */
    uint64_t version() const { return m_document.version(); }
    /** Requests a change; calls back with the new version, or with a Conflict that shows both sides. */
    void change(ProfileChange change, ConfigDocument::ChangeCallback callback);
    void tick(Instant now) { m_document.tick(now); }

private:
    void adopt(const std::string& body);

    ConfigDocument m_document;
    absl::btree_map<std::string, ProfileRecord> m_profiles;
};

} // namespace cicada
