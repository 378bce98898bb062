#include "Profile.h"

#include "Json.h"

#include "absl/strings/str_cat.h"

namespace cicada {

namespace {

    constexpr absl::string_view schemaText = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Profile of a kind of work",
  "type": "object",
  "additionalProperties": false,
  "required": ["maxWaitMs", "mayRunTwice", "whenShort"],
  "properties": {
    "maxWaitMs": {"type": "integer", "minimum": 1, "maximum": 86400000},
    "mayRunTwice": {"type": "boolean"},
    "whenShort": {"enum": ["wait", "shed", "preempt"]},
    "urgency": {"type": "integer", "minimum": 0, "maximum": 9},
    "share": {"type": "integer", "minimum": 1, "maximum": 1000},
    "expectedRunMs": {"type": "integer", "minimum": 1, "maximum": 86400000},
    "maxRunMs": {"type": "integer", "minimum": 1, "maximum": 604800000}
  }
})";

    constexpr int maxUrgency = 9;

    Result<ShortageAction> parseShortageAction(absl::string_view text)
    {
        if (text == "wait")
            return ShortageAction::Wait;
        if (text == "shed")
            return ShortageAction::Shed;
        return ShortageAction::Preempt;
    }

    absl::string_view shortageActionName(ShortageAction action)
    {
        switch (action) {
        case ShortageAction::Wait:
            return "wait";
        case ShortageAction::Shed:
            return "shed";
        case ShortageAction::Preempt:
            return "preempt";
        }
        return "wait";
    }

    Result<void> checkConsistency(const Profile& profile)
    {
        if (profile.maxRun < profile.expectedRun)
            return Error { ErrorKind::InvalidProfile,
                absl::StrCat("In profile '", profile.name, "', maxRunMs is shorter than expectedRunMs."),
                "Raise maxRunMs or lower expectedRunMs." };
        if (profile.whenShort == ShortageAction::Preempt && profile.urgency == maxUrgency)
            return Error { ErrorKind::InvalidProfile,
                absl::StrCat("Profile '", profile.name,
                    "' can be preempted only by more urgent work, and the maximum urgency is ", maxUrgency, "."),
                "Lower urgency, or set whenShort to \"wait\" or \"shed\"." };
        return success();
    }

} // namespace

Result<Profile> parseProfile(absl::string_view name, absl::string_view json)
{
    BOOST_OUTCOME_TRY(document, Internal::parseJson(json, "profile", ErrorKind::InvalidProfile));
    BOOST_OUTCOME_TRY(Internal::checkSchema(document, schemaText, "profile", ErrorKind::InvalidProfile));
    Profile profile;
    profile.name = std::string(name);
    profile.maxWait = absl::Milliseconds(Internal::integerOf<int64_t>(document.at("maxWaitMs")));
    profile.mayRunTwice = document.at("mayRunTwice").get<bool>();
    profile.whenShort = BOOST_OUTCOME_TRYX(parseShortageAction(document.at("whenShort").get<std::string>()));
    profile.urgency = document.value("urgency", profile.urgency);
    profile.share = document.value("share", profile.share);
    profile.expectedRun
        = absl::Milliseconds(document.value("expectedRunMs", absl::ToInt64Milliseconds(profile.expectedRun)));
    profile.maxRun = absl::Milliseconds(document.value("maxRunMs", absl::ToInt64Milliseconds(profile.maxRun)));
    BOOST_OUTCOME_TRY(checkConsistency(profile));
    return profile;
}

std::string profileToJson(const Profile& profile)
{
    return Internal::Json {
        { "maxWaitMs", absl::ToInt64Milliseconds(profile.maxWait) },
        { "mayRunTwice", profile.mayRunTwice },
        { "whenShort", std::string(shortageActionName(profile.whenShort)) },
        { "urgency", profile.urgency },
        { "share", profile.share },
        { "expectedRunMs", absl::ToInt64Milliseconds(profile.expectedRun) },
        { "maxRunMs", absl::ToInt64Milliseconds(profile.maxRun) },
    }
        .dump();
}

absl::string_view profileSchema() { return schemaText; }

} // namespace cicada
