#include "LoadRunner.h"

#include "Clock.h"
#include "Json.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace cicada {

namespace {

    constexpr time_t connectTimeoutSeconds = 2;
    constexpr time_t responseTimeoutSeconds = 120;
    constexpr int serviceUnavailable = 503;
    constexpr absl::Duration retryDelay = absl::Milliseconds(200);

    /** Sends the requests of one thread, over one connection to each entry. */
    class Sender {
    public:
        Sender(const LoadPlan& plan, const LoadOptions& options)
            : m_plan(plan)
            , m_options(options)
            , m_clients(options.entries.size())
        {
        }

        LoadResult send(const PlannedRequest& request, size_t firstEntry)
        {
            const LoadKind& kind = m_plan.kinds[request.kind];
            LoadResult result;
            result.kind = request.kind;
            result.id = request.id;
            const std::string body = makeBody(request, kind);
            const int attempts = kind.retry ? m_options.maxAttempts : 1;
            while (result.attempts < attempts) {
                if (result.attempts > 0)
                    absl::SleepFor(retryDelay);
                attempt(kind, request, body, (firstEntry + result.attempts) % m_clients.size(), result);
                ++result.attempts;
                // An entry that is stopping answers not-run with status 503; the request is then retried at the next
                // entry.
                const bool stopping = result.outcome == "not-run" && result.status == serviceUnavailable;
                if (result.outcome != "none" && !stopping)
                    break;
            }
            return result;
        }

    private:
        static std::string makeBody(const PlannedRequest& request, const LoadKind& kind)
        {
            std::string body = absl::StrCat("work-ms=", request.workMs, " id=", request.id, " ");
            if (body.size() < static_cast<size_t>(kind.bodyBytes))
                body.resize(kind.bodyBytes, '.');
            return body;
        }

        void attempt(const LoadKind& kind, const PlannedRequest& request, const std::string& body, size_t entry,
            LoadResult& result)
        {
            const httplib::Headers headers { { "Cicada-Profile", kind.profile }, { "Idempotency-Key", request.id } };
            const auto response = m_options.direct
                ? client(entry).Put(absl::StrCat("/v1/runs/", request.id), body, "application/octet-stream")
                : client(entry).Post(absl::StrCat("/v1/services/", kind.service, "/requests"), headers, body,
                    "application/octet-stream");
            // An executor allows few connections, so a direct call closes its connection afterwards, as the entries do.
            if (m_options.direct)
                m_clients[entry].reset();
            if (!response) {
                result.interruptedAttempts += response.error() != httplib::Error::Connection;
                m_clients[entry].reset();
                return;
            }
            result.status = response->status;
            result.outcome = response->get_header_value("Cicada-Outcome");
            if (m_options.direct)
                result.outcome = response->get_header_value("Cicada-Run") == "done" ? "ran" : "not-run";
            result.wrongResponse = m_options.verifyEcho && result.outcome == "ran" && response->body != body;
        }

        httplib::Client& client(size_t entry)
        {
            auto& client = m_clients[entry];
            if (!client) {
                const Endpoint& address = m_options.entries[entry];
                client = std::make_unique<httplib::Client>(address.host, address.port);
                client->set_keep_alive(true);
                client->set_tcp_nodelay(true);
                client->set_connection_timeout(connectTimeoutSeconds);
                client->set_read_timeout(responseTimeoutSeconds);
            }
            return *client;
        }

        const LoadPlan& m_plan;
        const LoadOptions& m_options;
        std::vector<std::unique_ptr<httplib::Client>> m_clients;
    };

    struct KindSummary {
        std::map<std::string, size_t> outcomes;
        size_t wrongResponses = 0;
        size_t interruptedAttempts = 0;
        std::vector<double> latenciesMs;

        double percentile(double fraction) const
        {
            if (latenciesMs.empty())
                return 0;
            const auto index = static_cast<size_t>(fraction * static_cast<double>(latenciesMs.size() - 1));
            return latenciesMs[index];
        }
    };

    std::vector<KindSummary> summarize(const LoadPlan& plan, absl::Span<const LoadResult> results)
    {
        std::vector<KindSummary> kinds(plan.kinds.size());
        for (const LoadResult& result : results) {
            KindSummary& kind = kinds[result.kind];
            ++kind.outcomes[result.outcome];
            kind.wrongResponses += result.wrongResponse;
            kind.interruptedAttempts += result.interruptedAttempts;
            if (result.outcome == "ran")
                kind.latenciesMs.push_back(absl::ToDoubleMilliseconds(result.latency));
        }
        for (KindSummary& kind : kinds)
            std::sort(kind.latenciesMs.begin(), kind.latenciesMs.end());
        return kinds;
    }

} // namespace

std::vector<LoadResult> runLoad(
    const LoadPlan& plan, absl::Span<const PlannedRequest> requests, const LoadOptions& options)
{
    std::vector<LoadResult> results(requests.size());
    std::atomic<size_t> next { 0 };
    const SystemClock clock;
    const Instant start = clock.now();
    std::vector<std::thread> threads;
    threads.reserve(options.concurrency);
    for (int i = 0; i < options.concurrency; ++i) {
        threads.emplace_back([&] {
            Sender sender(plan, options);
            for (size_t index = next++; index < requests.size(); index = next++) {
                const PlannedRequest& request = requests[index];
                absl::SleepFor(start + request.sendOffset - clock.now());
                results[index] = sender.send(request, index);
                results[index].latency = clock.now() - (start + request.sendOffset);
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    return results;
}

std::string summarizeAsTable(const LoadPlan& plan, absl::Span<const LoadResult> results)
{
    std::string table = absl::StrFormat("%-18s %8s %8s %8s %8s %8s %8s %8s %9s %9s %9s %9s\n", "KIND", "SENT", "RAN",
        "NOT-RUN", "UNKNOWN", "NONE", "WRONG", "CUT", "P50 MS", "P90 MS", "P99 MS", "MAX MS");
    const std::vector<KindSummary> kinds = summarize(plan, results);
    for (size_t i = 0; i < kinds.size(); ++i) {
        KindSummary kind = kinds[i];
        size_t sent = 0;
        for (const auto& [outcome, count] : kind.outcomes)
            sent += count;
        absl::StrAppendFormat(&table, "%-18s %8d %8d %8d %8d %8d %8d %8d %9.1f %9.1f %9.1f %9.1f\n", plan.kinds[i].name,
            sent, kind.outcomes["ran"], kind.outcomes["not-run"], kind.outcomes["unknown"], kind.outcomes["none"],
            kind.wrongResponses, kind.interruptedAttempts, kind.percentile(0.5), kind.percentile(0.9),
            kind.percentile(0.99), kind.percentile(1));
    }
    return table;
}

std::string summarizeAsJson(const LoadPlan& plan, absl::Span<const LoadResult> results)
{
    Internal::Json document = Internal::Json::array();
    const std::vector<KindSummary> kinds = summarize(plan, results);
    for (size_t i = 0; i < kinds.size(); ++i) {
        const KindSummary& kind = kinds[i];
        document.push_back({ { "kind", plan.kinds[i].name }, { "outcomes", kind.outcomes },
            { "wrong", kind.wrongResponses }, { "cut", kind.interruptedAttempts }, { "p50Ms", kind.percentile(0.5) },
            { "p90Ms", kind.percentile(0.9) }, { "p99Ms", kind.percentile(0.99) }, { "maxMs", kind.percentile(1) } });
    }
    return document.dump();
}

} // namespace cicada
