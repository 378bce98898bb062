#pragma once

/** \file
 * Admission control: decides on arrival whether a request is queued or refused. An early refusal is worth more to a
 * caller than a late failure, so work whose profile allows shedding is refused as soon as it is not expected to start
 * within its wait bound.
 */

#include "Error.h"
#include "Profile.h"

#include <optional>

namespace cicada {

/** The inputs of an admission decision, as known when the request arrives. */
struct AdmissionInput {
    /** Expected queueing delay until the run starts. */
    absl::Duration expectedWait;
    /** Time left of the request's wait bound. */
    absl::Duration maxWait;
    /** Whether another region could start it now. */
    bool canUseOtherRegion = false;
};

/** Decides whether an arriving request is admitted. Used on the decision thread only. */
class Admission {
public:
    virtual ~Admission() = default;
    virtual bool admit(const Profile&, const AdmissionInput&) const = 0;
};

/** Admits every request; one that has not started by its wait bound is refused then. */
class AdmitAll final : public Admission {
public:
    bool admit(const Profile&, const AdmissionInput&) const override { return true; }
};

/** Refuses sheddable work that is not expected to start within its wait bound. */
class AdmitInTime final : public Admission {
public:
    bool admit(const Profile&, const AdmissionInput&) const override;

    /** The fraction of the wait bound that the expected wait may use; the rest is a margin for estimation errors. */
    static constexpr double usableWaitShare = 0.7;
};

/** The expected wait behind `workAhead` of run time on `slots` slots; zero if `isFree`, that is, a slot is free now. */
absl::Duration expectedWait(absl::Duration workAhead, double slots, bool isFree);

} // namespace cicada
