#include "Admission.h"

#include <algorithm>

namespace cicada {

bool AdmitInTime::admit(const Profile& profile, const AdmissionInput& input) const
{
    if (profile.whenShort != ShortageAction::Shed || input.canUseOtherRegion)
        return true;
    return input.expectedWait <= input.maxWait * usableWaitShare;
}

absl::Duration expectedWait(absl::Duration workAhead, double slots, bool isFree)
{
    if (isFree)
        return absl::ZeroDuration();
    return workAhead / std::max(slots, 1.0);
}

} // namespace cicada
