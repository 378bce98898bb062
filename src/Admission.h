#pragma once

/** \file
 * Whether a request is taken in at all. A refusal at once is worth more to a caller than a late answer, so work
 * that says so in its profile is refused as soon as it can be foreseen that it can't start in time.
 */

#include "Error.h"
#include "Profile.h"

#include <optional>

namespace cicada {

/** What is known at a request's arrival. */
struct AdmissionInput {
    /** How long it is expected to wait. */
    absl::Duration expectedWait;
    /** How long it may still wait. */
    absl::Duration maxWait;
    /** Whether another region could start it now. */
    bool canUseOtherRegion = false;
};

/** Decides on arrival. Used on the decision thread only. */
class Admission {
public:
    virtual ~Admission() = default;
    virtual bool admit(const Profile&, const AdmissionInput&) const = 0;
};

/** Takes everything in; what can't start in time is refused when its time is over. */
class AdmitAll final : public Admission {
public:
    bool admit(const Profile&, const AdmissionInput&) const override { return true; }
};

/** Refuses work that may be shed when it isn't expected to start within its bound. */
class AdmitInTime final : public Admission {
public:
    bool admit(const Profile&, const AdmissionInput&) const override;

    /** The part of the bound that the expected wait may fill; the rest is for what the estimate misses. */
    static constexpr double usableWaitShare = 0.7;
};

/** How long a request waits behind `workAhead` of run time on `slots` slots; zero when one is free. */
absl::Duration expectedWait(absl::Duration workAhead, double slots, bool isFree);

} // namespace cicada
