#include "ExecutorClient.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <atomic>
#include <thread>

namespace cicada {

namespace {

    constexpr absl::Duration connectTimeout = absl::Milliseconds(500);
    /** A run's connection without a byte for this long is checked on by asking for the id on a new one. */
    constexpr absl::Duration silenceBound = absl::Seconds(3);
    constexpr absl::Duration askTimeout = absl::Seconds(1);
    /** Between two questions a twentieth of the time that the run took so far passes, within these bounds. */
    constexpr absl::Duration leastAskInterval = absl::Milliseconds(20);
    constexpr absl::Duration mostAskInterval = absl::Seconds(2);
    /** An executor that gave no answer for this long counts as gone. */
    constexpr absl::Duration goneAfter = absl::Seconds(5);
    /** How long a run that was told to stop may take to do so. */
    constexpr absl::Duration stopPatience = absl::Seconds(5);
    constexpr size_t searchThreads = 8;

    constexpr const char* goneReason = "The executor can't be reached and may have run it.";

    void setTimeouts(httplib::Client& client, absl::Duration reply)
    {
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(0, absl::ToInt64Microseconds(connectTimeout));
        client.set_read_timeout(absl::ToInt64Seconds(reply), absl::ToInt64Microseconds(reply) % 1000000);
        client.set_write_timeout(absl::ToInt64Seconds(reply), absl::ToInt64Microseconds(reply) % 1000000);
    }

    RunResult failed(RunEnd end, std::string reason) { return { end, 0, {}, {}, std::move(reason) }; }

    /** One reply about a run. `state` is "done", "running", "stopping", "never", "stopped", "refused", or "forgotten"
     * from an executor that has started anew since; empty when there was no reply. */
    struct RunState {
        std::string state;
        RunResult answer;
    };

    RunState readState(const httplib::Result& response)
    {
        RunState result;
        if (!response)
            return result;
        result.state = response->get_header_value("Cicada-Run");
        result.answer
            = { RunEnd::Answered, response->status, response->get_header_value("Content-Type"), response->body, {} };
        return result;
    }

    enum class Question {
        Ask,
        StopUnstarted,
        Stop,
    };

    /** Puts one question on a connection of its own. */
    RunState askOnce(const Endpoint& executor, const std::string& runId, absl::Duration age, Question question)
    {
        httplib::Client client(executor.host, executor.port);
        setTimeouts(client, askTimeout);
        const std::string path = absl::StrCat("/v1/runs/", runId);
        const httplib::Headers headers { { "Cicada-Age-Ms", absl::StrCat(absl::ToInt64Milliseconds(age) + 1) } };
        if (question == Question::Ask)
            return readState(client.Get(path, headers));
        const char* parameters = question == Question::StopUnstarted ? "?only=unstarted" : "";
        return readState(client.Delete(absl::StrCat(path, parameters), headers));
    }

    absl::Duration askInterval(absl::Duration elapsed)
    {
        return std::clamp(elapsed / 20, leastAskInterval, mostAskInterval);
    }

    /** Asks for the run until it ended. With `own`, a run that did not start is refused for good, and one that takes
     * too long is stopped. */
    class Follower {
    public:
        Follower(const Endpoint& executor, const std::string& runId, Instant startedAt, absl::Duration patience,
            bool own, const Clock& clock)
            : m_executor(executor)
            , m_runId(runId)
            , m_startedAt(startedAt)
            , m_stopAt(clock.now() + patience)
            , m_own(own)
            , m_clock(clock)
        {
        }

        RunResult follow()
        {
            Instant heardAt = m_clock.now();
            while (true) {
                const Instant now = m_clock.now();
                const RunState reply = askOnce(m_executor, m_runId, now - m_startedAt, nextQuestion(now));
                if (auto end = endOf(reply))
                    return *end;
                if (!reply.state.empty())
                    heardAt = now;
                if (now - heardAt > goneAfter)
                    return failed(RunEnd::Unknown, goneReason);
                if (now > m_stopAt + stopPatience)
                    return failed(RunEnd::Unknown, "It took longer than it may and did not stop.");
                absl::SleepFor(askInterval(now - m_startedAt));
            }
        }

    private:
        Question nextQuestion(Instant now) const
        {
            if (!m_own)
                return Question::Ask;
            return now > m_stopAt ? Question::Stop : m_stopUnstarted ? Question::StopUnstarted : Question::Ask;
        }

        std::optional<RunResult> endOf(const RunState& reply)
        {
            if (reply.state == "done")
                return wholeAnswer(reply);
            if (reply.state == "forgotten")
                return failed(RunEnd::Unknown, "The executor started anew and does not know whether it ran.");
            if (reply.state == "stopped")
                return failed(
                    m_stopUnstarted ? RunEnd::NotStarted : RunEnd::Refused, "The executor will not start it.");
            if (reply.state != "never")
                return std::nullopt;
            if (!m_own)
                return failed(RunEnd::NotStarted, "The executor has not started it.");
            m_stopUnstarted = true;
            return std::nullopt;
        }

        /** A stop's reply tells the state only; the answer itself is asked for. */
        std::optional<RunResult> wholeAnswer(const RunState& reply)
        {
            if (nextQuestion(m_clock.now()) == Question::Ask)
                return reply.answer;
            const RunState whole = askOnce(m_executor, m_runId, m_clock.now() - m_startedAt, Question::Ask);
            return whole.state == "done" ? std::optional<RunResult>(whole.answer) : std::nullopt;
        }

        const Endpoint m_executor;
        const std::string m_runId;
        const Instant m_startedAt;
        const Instant m_stopAt;
        const bool m_own;
        const Clock& m_clock;
        bool m_stopUnstarted = false;
    };

    RunResult afterRefusal(const RunRequest& request, const RunState& refusal, Instant sentAt, const Clock& clock)
    {
        const Endpoint& address = request.grant.address;
        const RunState known = askOnce(address, request.requestId, clock.now() - sentAt, Question::Ask);
        if (known.state == "never")
            return failed(RunEnd::NotStarted, refusal.answer.body);
        if (known.state == "stopped")
            return failed(RunEnd::Refused, refusal.answer.body);
        return joinRun(address, request.requestId, clock.now() - sentAt, request.maxRun, clock);
    }

} // namespace

RunResult runOnExecutor(const RunRequest& request, const Clock& clock)
{
    const Endpoint& address = request.grant.address;
    httplib::Client client(address.host, address.port);
    setTimeouts(client, silenceBound);
    const Instant sentAt = clock.now();
    const absl::Duration validity = request.grant.startBy - sentAt;
    if (validity <= absl::ZeroDuration())
        return failed(RunEnd::NotStarted, "The leave to start it ran out before it could be sent.");
    const httplib::Headers headers {
        { "Cicada-Epoch", absl::StrCat(request.grant.epoch) },
        { "Cicada-Valid-Ms", absl::StrCat(std::max<int64_t>(1, absl::ToInt64Milliseconds(validity))) },
        { "traceparent", request.traceparent },
    };
    const auto response
        = client.Put(absl::StrCat("/v1/runs/", request.requestId), headers, *request.body, request.contentType.c_str());
    if (!response && response.error() == httplib::Error::Connection)
        return failed(RunEnd::NotStarted, "The executor can't be reached.");
    const RunState state = readState(response);
    if (state.state == "done")
        return state.answer;
    if (state.state == "refused")
        return afterRefusal(request, state, sentAt, clock);
    return Follower(address, request.requestId, sentAt, request.maxRun, true, clock).follow();
}

RunResult joinRun(
    const Endpoint& executor, const std::string& runId, absl::Duration age, absl::Duration patience, const Clock& clock)
{
    return Follower(executor, runId, clock.now() - age, patience, false, clock).follow();
}

RunSearch searchRun(absl::Span<const Endpoint> executors, const std::string& runId, absl::Duration age)
{
    std::atomic<size_t> next { 0 };
    std::vector<std::string> states(executors.size());
    const auto work = [&] {
        for (size_t i = next++; i < executors.size(); i = next++)
            states[i] = askOnce(executors[i], runId, age, Question::StopUnstarted).state;
    };
    std::vector<std::thread> threads;
    for (size_t i = 0; i < std::min(searchThreads, executors.size()); ++i)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    RunSearch result;
    for (size_t i = 0; i < executors.size(); ++i) {
        if (states[i] == "running" || states[i] == "done" || states[i] == "stopping")
            result.found = executors[i];
        else if (states[i] != "stopped")
            ++result.unsettled;
    }
    return result;
}

} // namespace cicada
