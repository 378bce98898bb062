#include "ExecutorClient.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <atomic>
#include <thread>

namespace cicada {

namespace {

    constexpr absl::Duration connectTimeout = absl::Milliseconds(500);
    /** If the connection of a run delivers no data for this long, the run is queried by its id on a new connection. */
    constexpr absl::Duration responseTimeout = absl::Seconds(3);
    constexpr absl::Duration queryTimeout = absl::Seconds(1);
    /** Bounds of the poll interval, which is a twentieth of the time that the run has taken so far. */
    constexpr absl::Duration minPollInterval = absl::Milliseconds(20);
    constexpr absl::Duration maxPollInterval = absl::Seconds(2);
    /** An executor that has not replied for this long is considered unreachable. */
    constexpr absl::Duration unreachableTimeout = absl::Seconds(5);
    /** Maximum time that a run may take to stop after it was told to. */
    constexpr absl::Duration stopTimeout = absl::Seconds(5);
    constexpr size_t maxSearchThreads = 8;

    constexpr const char* unreachableReason = "The executor can't be reached and may have run the request.";

    void setTimeouts(httplib::Client& client, absl::Duration reply)
    {
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(0, absl::ToInt64Microseconds(connectTimeout));
        client.set_read_timeout(absl::ToInt64Seconds(reply), absl::ToInt64Microseconds(reply) % 1000000);
        client.set_write_timeout(absl::ToInt64Seconds(reply), absl::ToInt64Microseconds(reply) % 1000000);
    }

    RunResult makeFailedResult(RunEnd end, std::string reason) { return { end, 0, {}, {}, std::move(reason) }; }

    /** One reply about a run. `state` is "done", "running", "stopping", "never", "stopped", "refused", or "forgotten"
     * from an executor that has restarted since; empty if there was no reply. */
    struct RunState {
        std::string state;
        RunResult result;
    };

    RunState readState(const httplib::Result& response)
    {
        RunState result;
        if (!response)
            return result;
        result.state = response->get_header_value("Cicada-Run");
        result.result
            = { RunEnd::Answered, response->status, response->get_header_value("Content-Type"), response->body, {} };
        return result;
    }

    enum class RunCommand {
        Query,
        StopUnstarted,
        Stop,
    };

    /** Sends one command on a connection of its own. */
    RunState sendRunCommand(const Endpoint& executor, const std::string& runId, absl::Duration age, RunCommand command)
    {
        httplib::Client client(executor.host, executor.port);
        setTimeouts(client, queryTimeout);
        const std::string path = absl::StrCat("/v1/runs/", runId);
        const httplib::Headers headers { { "Cicada-Age-Ms", absl::StrCat(absl::ToInt64Milliseconds(age) + 1) } };
        if (command == RunCommand::Query)
            return readState(client.Get(path, headers));
        const char* parameters = command == RunCommand::StopUnstarted ? "?only=unstarted" : "";
        return readState(client.Delete(absl::StrCat(path, parameters), headers));
    }

    absl::Duration pollInterval(absl::Duration elapsed)
    {
        return std::clamp(elapsed / 20, minPollInterval, maxPollInterval);
    }

    /** Polls a run until it ends. With `isOwnRun`, a run that did not start is refused permanently, and one that takes
     * longer than the timeout is stopped. */
    class RunPoller {
    public:
        RunPoller(const Endpoint& executor, const std::string& runId, Instant startedAt, absl::Duration timeout,
            bool isOwnRun, const Clock& clock)
            : m_executor(executor)
            , m_runId(runId)
            , m_startedAt(startedAt)
            , m_stopAt(clock.now() + timeout)
            , m_isOwnRun(isOwnRun)
            , m_clock(clock)
        {
        }

        RunResult waitForEnd()
        {
            Instant lastReplyAt = m_clock.now();
            while (true) {
                const Instant now = m_clock.now();
                const RunState reply = sendRunCommand(m_executor, m_runId, now - m_startedAt, nextCommand(now));
                if (auto end = resultFrom(reply))
                    return *end;
                if (!reply.state.empty())
                    lastReplyAt = now;
                if (now - lastReplyAt > unreachableTimeout)
                    return makeFailedResult(RunEnd::Unknown, unreachableReason);
                if (now > m_stopAt + stopTimeout)
                    return makeFailedResult(RunEnd::Unknown, "The run exceeded its maximum run time and did not stop.");
                absl::SleepFor(pollInterval(now - m_startedAt));
            }
        }

    private:
        RunCommand nextCommand(Instant now) const
        {
            if (!m_isOwnRun)
                return RunCommand::Query;
            return now > m_stopAt ? RunCommand::Stop : m_stopUnstarted ? RunCommand::StopUnstarted : RunCommand::Query;
        }

        std::optional<RunResult> resultFrom(const RunState& reply)
        {
            if (reply.state == "done")
                return fetchResult(reply);
            if (reply.state == "forgotten")
                return makeFailedResult(
                    RunEnd::Unknown, "The executor restarted and does not know whether the request ran.");
            if (reply.state == "stopped")
                return makeFailedResult(
                    m_stopUnstarted ? RunEnd::NotStarted : RunEnd::Refused, "The executor will not start the run.");
            if (reply.state != "never")
                return std::nullopt;
            if (!m_isOwnRun)
                return makeFailedResult(RunEnd::NotStarted, "The executor has not started the run.");
            m_stopUnstarted = true;
            return std::nullopt;
        }

        /** The reply to a stop contains only the state, so the response itself is queried. */
        std::optional<RunResult> fetchResult(const RunState& reply)
        {
            if (nextCommand(m_clock.now()) == RunCommand::Query)
                return reply.result;
            const RunState whole = sendRunCommand(m_executor, m_runId, m_clock.now() - m_startedAt, RunCommand::Query);
            return whole.state == "done" ? std::optional<RunResult>(whole.result) : std::nullopt;
        }

        const Endpoint m_executor;
        const std::string m_runId;
        const Instant m_startedAt;
        const Instant m_stopAt;
        const bool m_isOwnRun;
        const Clock& m_clock;
        bool m_stopUnstarted = false;
    };

    RunResult resolveRefusal(const RunRequest& request, const RunState& refusal, Instant sentAt, const Clock& clock)
    {
        const Endpoint& address = request.grant.address;
        const RunState known = sendRunCommand(address, request.requestId, clock.now() - sentAt, RunCommand::Query);
        if (known.state == "never")
            return makeFailedResult(RunEnd::NotStarted, refusal.result.body);
        if (known.state == "stopped")
            return makeFailedResult(RunEnd::Refused, refusal.result.body);
        return joinRun(address, request.requestId, clock.now() - sentAt, request.maxRun, clock);
    }

} // namespace

RunResult runOnExecutor(const RunRequest& request, const Clock& clock)
{
    const Endpoint& address = request.grant.address;
    httplib::Client client(address.host, address.port);
    setTimeouts(client, responseTimeout);
    const Instant sentAt = clock.now();
    const absl::Duration validity = request.grant.startBy - sentAt;
    if (validity <= absl::ZeroDuration())
        return makeFailedResult(RunEnd::NotStarted, "The grant expired before the start could be sent.");
    const httplib::Headers headers {
        { "Cicada-Epoch", absl::StrCat(request.grant.epoch) },
        { "Cicada-Valid-Ms", absl::StrCat(std::max<int64_t>(1, absl::ToInt64Milliseconds(validity))) },
        { "traceparent", request.traceparent },
    };
    const auto response
        = client.Put(absl::StrCat("/v1/runs/", request.requestId), headers, *request.body, request.contentType.c_str());
    if (!response && response.error() == httplib::Error::Connection)
        return makeFailedResult(RunEnd::NotStarted, "The executor can't be reached.");
    const RunState state = readState(response);
    if (state.state == "done")
        return state.result;
    if (state.state == "refused")
        return resolveRefusal(request, state, sentAt, clock);
    return RunPoller(address, request.requestId, sentAt, request.maxRun, true, clock).waitForEnd();
}

RunResult joinRun(
    const Endpoint& executor, const std::string& runId, absl::Duration age, absl::Duration timeout, const Clock& clock)
{
    return RunPoller(executor, runId, clock.now() - age, timeout, false, clock).waitForEnd();
}

RunSearch searchRun(absl::Span<const Endpoint> executors, const std::string& runId, absl::Duration age)
{
    std::atomic<size_t> next { 0 };
    std::vector<std::string> states(executors.size());
    const auto work = [&] {
        for (size_t i = next++; i < executors.size(); i = next++)
            states[i] = sendRunCommand(executors[i], runId, age, RunCommand::StopUnstarted).state;
    };
    std::vector<std::thread> threads;
    for (size_t i = 0; i < std::min(maxSearchThreads, executors.size()); ++i)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    RunSearch result;
    for (size_t i = 0; i < executors.size(); ++i) {
        if (states[i] == "running" || states[i] == "done" || states[i] == "stopping")
            result.found = executors[i];
        else if (states[i] != "stopped")
            ++result.unresolved;
    }
    return result;
}

} // namespace cicada
