#include "JobRoutes.h"

#include "Json.h"
#include "Uuid.h"

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"

namespace cicada {

namespace {

    using Answer = Result<std::string>;

    /** Runs `ask` on the loop and waits for its callback. */
    Answer waitForResult(EventLoop& loop, std::function<void(JobDirectory::ReplyCallback)> ask)
    {
        struct Waiter {
            absl::Notification done;
            Answer answer = Error { ErrorKind::Stopping, "The entry stopped.", "Send the request to another entry." };
        };
        auto waiter = std::make_shared<Waiter>();
        const bool posted = loop.post([waiter, ask = std::move(ask)] {
            ask([waiter](Answer answer) {
                waiter->answer = std::move(answer);
                waiter->done.Notify();
            });
        });
        if (!posted)
            return Error { ErrorKind::TooBusy, "The event queue of this entry is full.", "Try again later." };
        waiter->done.WaitForNotification();
        return waiter->answer;
    }

    RouteResponse submit(
        EventLoop& loop, ProfileRegistry& profiles, JobDirectory& directory, const RouteRequest& question)
    {
        std::string id = question.header("Idempotency-Key");
        if (id.empty())
            id = randomUuid();
        if (!isUuid(id))
            return problemResponse({ ErrorKind::InvalidRequest, "The Idempotency-Key is not a UUID.",
                                       "Send it as in 123e4567-e89b-12d3-a456-426614174000." },
                Outcome::NotRun);
        auto spec = parseJob(id, question.body);
        if (!spec)
            return problemResponse(spec.error(), Outcome::NotRun);
        const auto answer = waitForResult(loop, [&](JobDirectory::ReplyCallback callback) {
            const ProfileRecord* profile = profiles.find(spec.value().profile);
            if (!profile)
                return callback(Error { ErrorKind::UnknownProfile,
                    absl::StrCat("There is no profile '", spec.value().profile, "'."),
                    "Name one of the operators' profiles in 'profile'." });
            directory.submit(spec.value(), profile->profile, std::move(callback));
        });
        if (!answer) {
            // Without a confirmation from the store the job may be stored, and it then runs.
            const bool isUnknown = answer.error().kind == ErrorKind::StoreUnavailable;
            return problemResponse(answer.error(), isUnknown ? Outcome::Unknown : Outcome::NotRun);
        }
        return { 202, "application/json", answer.value(), { { "Location", absl::StrCat("/v1/jobs/", id) } } };
    }

    RouteResponse jobResponse(const Answer& answer)
    {
        if (!answer)
            return problemResponse(answer.error(), Outcome::Unknown);
        return { 200, "application/json", answer.value(), {} };
    }

} // namespace

void addJobRoutes(Frontend& frontend, EventLoop& loop, ProfileRegistry& profiles, JobDirectory& directory)
{
    const std::string jobPath = R"(/v1/jobs/([0-9a-fA-F-]{36}))";
    frontend.route(
        "POST", "/v1/jobs", [&](const RouteRequest& question) { return submit(loop, profiles, directory, question); });
    frontend.route("GET", jobPath, [&](const RouteRequest& question) {
        return jobResponse(
            waitForResult(loop, [&directory, id = question.matches[0]](JobDirectory::ReplyCallback callback) {
                directory.find(id, std::move(callback));
            }));
    });
    frontend.route("DELETE", jobPath, [&](const RouteRequest& question) {
        return jobResponse(
            waitForResult(loop, [&directory, id = question.matches[0]](JobDirectory::ReplyCallback callback) {
                directory.cancel(id, std::move(callback));
            }));
    });
}

} // namespace cicada
