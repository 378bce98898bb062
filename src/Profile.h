#pragma once

/** \file
 * Profiles: the operator's description of how a kind of work is to be treated. Every decision about a request follows
 * from its profile.
 */

#include "Error.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <string>

namespace cicada {

/** What happens to work of this kind when capacity is short. */
enum class ShortageAction {
    /** It waits until its wait bound. */
    Wait,
    /** It is refused at once, with the outcome "not-run", if it isn't expected to start in time. */
    Shed,
    /** It may be stopped at a checkpoint to free capacity for more urgent work, and is resumed later. */
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
    /** The expected run time, until enough runs have been observed. */
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
