#include "Admission.h"

#include <algorithm>

namespace cicada {

bool AdmitInTime::admit(const Profile& profile, const AdmissionView& view) const
{
    if (profile.whenShort != ShortageAction::Shed || view.canCross)
        return true;
    return view.expectedWait <= view.maxWait * usablePart;
}

absl::Duration expectedWait(absl::Duration workAhead, double slots, bool isFree)
{
    if (isFree)
        return absl::ZeroDuration();
    return workAhead / std::max(slots, 1.0);
}

} // namespace cicada
