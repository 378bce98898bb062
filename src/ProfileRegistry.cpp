#include "ProfileRegistry.h"

#include "Json.h"

#include "absl/strings/str_cat.h"

#include <glog/logging.h>

namespace cicada {

namespace {

    using Internal::Json;

    /** Refuses a change that is not based on the profile in force, and shows both sides. */
    Result<void> checkExpectedVersion(const ProfileChange& change, const Json& profiles)
    {
        const auto it = profiles.find(change.name);
        const uint64_t version
            = it == profiles.end() ? 0 : Internal::toInteger<uint64_t>(it->value("version", Json(0))).value_or(0);
        if (!change.json && version == 0)
            return Error { ErrorKind::UnknownProfile, absl::StrCat("There is no profile '", change.name, "'."),
                "List the profiles to see their names." };
        if (!change.expectedVersion || *change.expectedVersion == version)
            return success();
        return Error { ErrorKind::Conflict,
            absl::StrCat("Profile '", change.name, "' is at version ", version, " and not at ", *change.expectedVersion,
                ". In force: ", version == 0 ? "none" : it->at("profile").dump(),
                ". Yours: ", change.json.value_or("delete"), "."),
            "Read the profile in force, and retry the change with its version." };
    }

    Result<ProfileRecord> readRecord(const std::string& name, const Json& item)
    {
        try {
            BOOST_OUTCOME_TRY(profile, parseProfile(name, item.at("profile").dump()));
            return ProfileRecord { std::move(profile), Internal::integerOf<uint64_t>(item.at("version")) };
        } catch (const Json::exception& error) {
            return Error { ErrorKind::MalformedMessage, error.what(), "Set the profile again." };
        }
    }

    Result<std::string> applyChange(const ProfileChange& change, const std::string& body, uint64_t newVersion)
    {
        Json profiles = body.empty() ? Json::object() : Json::parse(body);
        BOOST_OUTCOME_TRY(checkExpectedVersion(change, profiles));
        if (change.json)
            profiles[change.name] = { { "version", newVersion }, { "profile", Json::parse(*change.json) } };
        else
            profiles.erase(change.name);
        return profiles.dump();
    }

} // namespace

ProfileRegistry::ProfileRegistry(Store& store, PeerBus& peers, ConfigWatch& watch, const Clock& clock)
    : m_document("profiles", store, peers, watch, clock)
{
    m_document.onAdopt([this](const std::string& body, uint64_t) { adopt(body); });
}

const ProfileRecord* ProfileRegistry::find(absl::string_view name) const
{
    auto it = m_profiles.find(name);
    return it == m_profiles.end() ? nullptr : &it->second;
}

void ProfileRegistry::change(ProfileChange change, ConfigDocument::ChangeCallback callback)
{
    if (change.json) {
        auto parsed = parseProfile(change.name, *change.json);
        if (!parsed)
            return callback(parsed.error());
    }
    std::string changeId = change.changeId;
    m_document.change(
        std::move(changeId),
        [change = std::move(change)](
            const std::string& body, uint64_t newVersion) { return applyChange(change, body, newVersion); },
        std::move(callback));
}

void ProfileRegistry::adopt(const std::string& body)
{
    absl::btree_map<std::string, ProfileRecord> profiles;
    const Json document = Json::parse(body);
    for (const auto& [name, item] : document.items()) {
        auto record = readRecord(name, item);
        if (record)
            profiles[name] = std::move(record.value());
        else
            LOG(ERROR) << "profile " << name << " in the store is invalid and ignored: " << describe(record.error());
    }
    m_profiles = std::move(profiles);
}

} // namespace cicada
