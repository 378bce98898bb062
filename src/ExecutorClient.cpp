#include "ExecutorClient.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

namespace cicada {

namespace {

    constexpr absl::Duration connectTimeout = absl::Milliseconds(500);
    /** A run's connection without a byte for this long is checked on by asking for the id on a new one. */
    constexpr absl::Duration silenceBound = absl::Seconds(3);
    constexpr absl::Duration askTimeout = absl::Seconds(1);
    constexpr absl::Duration askInterval = absl::Milliseconds(100);

    void setTimeouts(httplib::Client& client, absl::Duration connect, absl::Duration reply)
    {
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(0, absl::ToInt64Microseconds(connect));
        client.set_read_timeout(absl::ToInt64Seconds(reply), absl::ToInt64Microseconds(reply) % 1000000);
        client.set_write_timeout(absl::ToInt64Seconds(reply), absl::ToInt64Microseconds(reply) % 1000000);
    }

    RunResult answered(const httplib::Response& response)
    {
        return { RunEnd::Answered, response.status, response.get_header_value("Content-Type"), response.body, {} };
    }

    RunResult notStarted(std::string reason) { return { RunEnd::NotStarted, 0, {}, {}, std::move(reason) }; }

    /** What the executor says of the run: "done", "running", "never", "stopped" or "refused". */
    std::string runState(const httplib::Response& response) { return response.get_header_value("Cicada-Run"); }

    /** Stops a run that has not started; true when the executor confirmed that it never will. */
    bool stopUnstarted(const Endpoint& executor, const std::string& requestId)
    {
        httplib::Client client(executor.host, executor.port);
        setTimeouts(client, connectTimeout, askTimeout);
        const auto response = client.Delete(absl::StrCat("/v1/runs/", requestId, "?only=unstarted"));
        return response && runState(*response) == "stopped";
    }

} // namespace

RunResult runOnExecutor(const RunRequest& request, const Clock& clock)
{
    const Endpoint& address = request.grant.address;
    httplib::Client client(address.host, address.port);
    setTimeouts(client, connectTimeout, silenceBound);
    const absl::Duration validity = request.grant.startBy - clock.now();
    if (validity <= absl::ZeroDuration())
        return notStarted("The grant ran out before the start could be sent.");
    const httplib::Headers headers {
        { "Cicada-Epoch", absl::StrCat(request.grant.epoch) },
        { "Cicada-Valid-Ms", absl::StrCat(std::max<int64_t>(1, absl::ToInt64Milliseconds(validity))) },
        { "traceparent", request.traceparent },
    };
    const auto response
        = client.Put(absl::StrCat("/v1/runs/", request.requestId), headers, *request.body, request.contentType.c_str());
    if (response) {
        if (runState(*response) == "done")
            return answered(*response);
        if (runState(*response) == "refused")
            return notStarted(response->body);
    } else if (response.error() == httplib::Error::Connection) {
        return notStarted("The executor can't be reached.");
    }
    return settleRun(address, request.requestId, request.maxRun, clock);
}

RunResult settleRun(const Endpoint& executor, const std::string& requestId, absl::Duration patience, const Clock& clock)
{
    const Instant giveUp = clock.now() + patience;
    RunResult result;
    result.reason = "The executor can't be reached and may have run it.";
    int unreachable = 0;
    constexpr int maxUnreachable = 10;
    while (clock.now() < giveUp && unreachable < maxUnreachable) {
        httplib::Client client(executor.host, executor.port);
        setTimeouts(client, connectTimeout, askTimeout);
        const auto response = client.Get(absl::StrCat("/v1/runs/", requestId));
        const std::string state = response ? runState(*response) : "";
        if (state == "done")
            return answered(*response);
        if (state == "stopped")
            return notStarted("The run was stopped before it started.");
        if (state == "never" && stopUnstarted(executor, requestId))
            return notStarted("The executor never started it and will not.");
        unreachable = state.empty() ? unreachable + 1 : 0;
        absl::SleepFor(askInterval);
    }
    return result;
}

} // namespace cicada
