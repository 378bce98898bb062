#include "JobRoutes.h"

#include "Json.h"
#include "Uuid.h"

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"

namespace cicada {

namespace {

    using JobResult = Result<std::string>;

    /** Runs `operation` on the loop and waits for its callback. */
    JobResult waitForResult(EventLoop& loop, std::function<void(JobDirectory::ReplyCallback)> operation)
    {
        struct Waiter {
            absl::Notification done;
            JobResult result
                = Error { ErrorKind::Stopping, "The entry stopped.", "Send the request to another entry." };
        };
        auto waiter = std::make_shared<Waiter>();
        const bool posted = loop.post([waiter, operation = std::move(operation)] {
            operation([waiter](JobResult result) {
                waiter->result = std::move(result);
                waiter->done.Notify();
            });
        });
        if (!posted)
            return Error { ErrorKind::TooBusy, "The event queue of this entry is full.", "Try again later." };
        waiter->done.WaitForNotification();
        return waiter->result;
    }

    RouteResponse submit(
        EventLoop& loop, ProfileRegistry& profiles, JobDirectory& directory, const RouteRequest& request)
    {
        std::string id = request.header("Idempotency-Key");
        if (id.empty())
            id = randomUuid();
        if (!isUuid(id))
            return problemResponse({ ErrorKind::InvalidRequest, "The Idempotency-Key is not a UUID.",
                                       "Send it as in 123e4567-e89b-12d3-a456-426614174000." },
                Outcome::NotRun);
        auto spec = parseJob(id, request.body);
        if (!spec)
            return problemResponse(spec.error(), Outcome::NotRun);
        const auto result = waitForResult(loop, [&](JobDirectory::ReplyCallback callback) {
            const ProfileRecord* profile = profiles.find(spec.value().profile);
            if (!profile)
                return callback(Error { ErrorKind::UnknownProfile,
                    absl::StrCat("There is no profile '", spec.value().profile, "'."),
                    "Name one of the operators' profiles in 'profile'." });
            directory.submit(spec.value(), profile->profile, std::move(callback));
        });
        if (!result) {
            // Without a confirmation from the store the job may be stored, and it then runs.
            const bool isUnknown = result.error().kind == ErrorKind::StoreUnavailable;
            return problemResponse(result.error(), isUnknown ? Outcome::Unknown : Outcome::NotRun);
        }
        return { 202, "application/json", result.value(), { { "Location", absl::StrCat("/v1/jobs/", id) } } };
    }

    RouteResponse jobResponse(const JobResult& result)
    {
        if (!result)
            return problemResponse(result.error(), Outcome::Unknown);
        return { 200, "application/json", result.value(), {} };
    }

} // namespace

void addJobRoutes(Frontend& frontend, EventLoop& loop, ProfileRegistry& profiles, JobDirectory& directory)
{
    const std::string jobPath = R"(/v1/jobs/([0-9a-fA-F-]{36}))";
    frontend.route(
        "POST", "/v1/jobs", [&](const RouteRequest& request) { return submit(loop, profiles, directory, request); });
    frontend.route("GET", jobPath, [&](const RouteRequest& request) {
        return jobResponse(
            waitForResult(loop, [&directory, id = request.matches[0]](JobDirectory::ReplyCallback callback) {
                directory.find(id, std::move(callback));
            }));
    });
    frontend.route("DELETE", jobPath, [&](const RouteRequest& request) {
        return jobResponse(
            waitForResult(loop, [&directory, id = request.matches[0]](JobDirectory::ReplyCallback callback) {
                directory.cancel(id, std::move(callback));
            }));
    });
}

} // namespace cicada
