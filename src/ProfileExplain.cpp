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
            " from its arrival until its run starts. After that the outcome is \"not-run\" (deadline-exceeded, 504) "
            "and "
            "nothing was run.");
    }

    std::string explainShortage(const Profile& profile)
    {
        switch (profile.whenShort) {
        case ShortageAction::Wait:
            return "Short of capacity: it waits until its wait bound. It is refused on arrival only when the entry's "
                   "queue is full (too-busy, 429).";
        case ShortageAction::Shed:
            return absl::StrCat("Short of capacity: it is refused at once (too-busy, 429, \"not-run\") when it is "
                                "expected to wait longer than ",
                text(profile.maxWait * AdmitInTime::usableWaitShare), ", which is ",
                percent(AdmitInTime::usableWaitShare), " of its wait bound.");
        case ShortageAction::Preempt:
            return "Short of capacity: it waits until its wait bound, and never uses the slots that are reserved for "
                   "short work. A task of a job may also be stopped at a checkpoint and resumed later; a running "
                   "request is not stopped. Requests also need mayRunTwice.";
        }
        return "";
    }

    std::string explainRepeat(const Profile& profile)
    {
        if (profile.mayRunTwice)
            return "Running twice: it may be run again when it is not known how the first run ended. The "
                   "Idempotency-Key may be left out.";
        return "Running twice: never. Each request needs an Idempotency-Key, and when it is not known how a run ended "
               "the outcome is \"unknown\".";
    }

    std::string explainOrder(const Profile& profile)
    {
        return absl::StrCat("Order: urgency ", profile.urgency, " of 9. Less urgent work that waits gets ",
            percent(FairDeadlineQueue::minLessUrgentShare),
            " of the run time for all its classes together, and more urgent work ", "comes first. Within urgency ",
            profile.urgency, " the earliest deadline comes first, and under lasting ",
            "shortage each profile gets run time by its share, here ", profile.share, ".");
    }

    std::string explainRun(const Profile& profile)
    {
        return absl::StrCat("Run time: ", text(profile.expectedRun), " is expected until ",
            static_cast<int>(RunTimes::minTrustedRuns),
            " runs have been observed, after that the observed times count. Runs that take longer than ",
            "the smallest maxWaitMs in use on their service are long work and may not use the slots reserved for short "
            "work. A ",
            "run longer than ", text(profile.maxRun), " counts as hung.");
    }

    std::string explainObserved(const ObservedRuns& observed)
    {
        return absl::StrCat("Observed on service ", observed.service, ": a run takes about ",
            text(observed.estimate.typical), ", 95% of the runs take at most ", text(observed.estimate.p95),
            ", and one that takes more than ", text(observed.estimate.suspectAfter), " counts as a straggler (from ",
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
