#pragma once

/** \file
 * Profiles: what an operator states about a kind of work, in plain terms. Everything that the system does with a
 * request follows from its profile.
 */

#include "Error.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <string>

namespace cicada {

/** What happens to work of this kind when capacity is short. */
enum class ShortageAction {
    /** It waits for as long as it may. */
    Wait,
    /** It is refused at once, truthfully, when it can't be started in time. */
    Shed,
    /** It may be stopped at a checkpoint to make room for more urgent work, and goes on later. */
    Preempt,
};

/** How a kind of work is to be treated. */
struct Profile {
    std::string name;
    /** How long the work may wait before it starts. */
    absl::Duration maxWait = absl::Seconds(10);
    /** Whether the work may be run again when it is not known how the first run ended. */
    bool mayRunTwice = false;
    ShortageAction whenShort = ShortageAction::Wait;
    /** 0 (least) to 9 (most urgent). */
    int urgency = 5;
    /** The weight of this kind of work against others of the same urgency. */
    int share = 1;
    /** How long a run is expected to take, until it is learnt. */
    absl::Duration expectedRun = absl::Milliseconds(100);
    /** How long a run may take before it counts as hung. */
    absl::Duration maxRun = absl::Seconds(600);
};

/** Reads and checks one profile from JSON. */
Result<Profile> parseProfile(absl::string_view name, absl::string_view json);
/** The profile as JSON. */
std::string profileToJson(const Profile&);
/** The JSON schema that profiles are checked against. */
absl::string_view profileSchema();

} // namespace cicada
