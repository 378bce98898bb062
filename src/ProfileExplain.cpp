#include "ProfileExplain.h"

#include "Admission.h"
#include "RequestQueue.h"

#include "absl/strings/str_cat.h"

#include <cmath>

namespace cicada {

namespace {

    std::string percent(double part) { return absl::StrCat(std::lround(part * 100), "%"); }

    std::string text(absl::Duration duration)
    {
        // Observed times have more digits than are significant.
        return absl::FormatDuration(absl::Trunc(duration, absl::Milliseconds(1)));
    }

    std::string explainWait(const Profile& profile)
    {
        return absl::StrCat("Waiting: it may wait ", text(profile.maxWait),
            " from its arrival until its run starts. After that it is answered \"not-run\" (deadline-exceeded, 504) "
            "and "
            "nothing was run.");
    }

    std::string explainShortage(const Profile& profile)
    {
        switch (profile.whenShort) {
        case ShortageAction::Wait:
            return "Short of capacity: it waits for its whole time. It is refused on arrival only when the entry's "
                   "queue is full (too-busy, 429).";
        case ShortageAction::Shed:
            return absl::StrCat("Short of capacity: it is refused at once (too-busy, 429, \"not-run\") when it is "
                                "expected to wait longer than ",
                text(profile.maxWait * AdmitInTime::usableWaitShare), ", which is ",
                percent(AdmitInTime::usableWaitShare), " of its time.");
        case ShortageAction::Preempt:
            return "Short of capacity: it waits for its whole time, and never takes the slots that are reserved for "
                   "short work. A task of a job may also be stopped at a checkpoint and goes on later; a request that "
                   "runs is not stopped. Requests need mayRunTwice with it.";
        }
        return "";
    }

    std::string explainRepeat(const Profile& profile)
    {
        if (profile.mayRunTwice)
            return "Running twice: it may be run again when it is not known how the first run ended. The "
                   "Idempotency-Key may be left out.";
        return "Running twice: never. Each request needs an Idempotency-Key, and when it is not known how a run ended "
               "the answer is \"unknown\".";
    }

    std::string explainOrder(const Profile& profile)
    {
        return absl::StrCat("Order: urgency ", profile.urgency, " of 9. Less urgent work that waits gets ",
            percent(FairDeadlineQueue::minLessUrgentShare),
            " of the run time between all its classes, and more urgent work ", "comes first. Within urgency ",
            profile.urgency, " the earliest deadline comes first, and under lasting ",
            "shortage each profile gets run time by its share, here ", profile.share, ".");
    }

    std::string explainRun(const Profile& profile)
    {
        return absl::StrCat("Run time: ", text(profile.expectedRun), " is expected until ",
            static_cast<int>(RunTimes::minTrustedRuns),
            " runs were seen, then what was learnt counts. Runs that outlast ",
            "the shortest maxWaitMs in use on their service are long work and keep off the reserve for short work. A ",
            "run longer than ", text(profile.maxRun), " counts as hung.");
    }

    std::string explainObserved(const ObservedRuns& observed)
    {
        return absl::StrCat("Learnt on service ", observed.service, ": a run takes about ",
            text(observed.estimate.typical), ", nineteen of twenty take at most ", text(observed.estimate.p95),
            ", and one that takes over ", text(observed.estimate.suspectAfter), " counts as a straggler (from ",
            static_cast<int>(observed.estimate.runs), " runs at this entry).");
    }

} // namespace

std::string explainProfile(const Profile& profile, absl::Span<const ObservedRuns> observed)
{
    std::string all = absl::StrCat("Profile ", profile.name, "\n");
    for (const std::string& line : { explainWait(profile), explainShortage(profile), explainRepeat(profile),
             explainOrder(profile), explainRun(profile) })
        absl::StrAppend(&all, "  ", line, "\n");
    for (const ObservedRuns& runs : observed)
        absl::StrAppend(&all, "  ", explainObserved(runs), "\n");
    return all;
}

} // namespace cicada
