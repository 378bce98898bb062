/** \file
 * cicada-call, the command-line tool for callers: sends one request, or a generated load that it summarizes.
 */

#include "CommandLine.h"
#include "LoadRunner.h"
#include "Settings.h"
#include "Uuid.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <algorithm>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <optional>

namespace {

using namespace cicada;

constexpr const char* program = "cicada-call";

constexpr const char* usage = R"(Usage: cicada-call [options] --service NAME --profile NAME
       cicada-call [options] --load PLAN

Sends one request and prints the response body, or sends a generated load and prints a summary.

  -e, --entry HOST:PORT   the entry to call (default 127.0.0.1:7100); repeat it to spread a load

One request:
  -s, --service NAME      the service to call
  -p, --profile NAME      the profile of the request
  -i, --id UUID           the Idempotency-Key (default: a random one)
  -d, --data TEXT         the body ("@FILE" reads a file, "-" standard input)
  -v, --verbose           print status and outcome to standard error

A load:
  -l, --load PLAN         the plan, in JSON: kinds, rate, seconds, swing
  -r, --rate N            requests per second; overrides the plan
  -t, --seconds N         duration in seconds; overrides the plan
  -n, --concurrency N     maximum number of requests in flight (default 200)
      --seed N            seed of the generated load; the same seed repeats it (default 1)
      --verify-echo       check that each response is the echo of its request
      --direct            --entry names executors, which are called directly
      --record FILE       write a line for each request: kind, id, outcome, status, milliseconds, attempts, cut
  -j, --json              print the summary as JSON

  -h, --help              print this text
  -V, --version           print the version

Exit codes: 0 the request ran, or no response of the load was wrong; 1 the request did not run or its outcome is
unknown, or a response of the load was wrong; 2 invalid command line.
)";

constexpr time_t responseTimeoutSeconds = 900;
constexpr int64_t maxNumber = 1000000;

struct Options {
    std::vector<Endpoint> entries;
    std::string service;
    std::string profile;
    std::string id;
    std::string data;
    bool verbose = false;
    std::string planPath;
    std::optional<int64_t> rate;
    std::optional<int64_t> seconds;
    uint64_t seed = 1;
    std::string recordPath;
    bool json = false;
    LoadOptions load;
};

enum LongOption {
    Seed = 256,
    VerifyEcho,
    Direct,
    Record,
};

Result<std::string> readData(const std::string& data)
{
    if (data == "-")
        return readFile("/dev/stdin");
    if (!data.empty() && data[0] == '@')
        return readFile(data.substr(1));
    return data;
}

int sendRequest(const Options& options, const std::string& body)
{
    httplib::Client client(options.entries[0].host, options.entries[0].port);
    client.set_read_timeout(responseTimeoutSeconds);
    client.set_tcp_nodelay(true);
    const std::string id = options.id.empty() ? randomUuid() : options.id;
    const httplib::Headers headers { { "Cicada-Profile", options.profile }, { "Idempotency-Key", id } };
    const auto response = client.Post(
        absl::StrCat("/v1/services/", options.service, "/requests"), headers, body, "application/octet-stream");
    if (!response)
        return reportError(program,
            { ErrorKind::PeerUnavailable, "The entry gave no answer.",
                absl::StrCat("Resend the request with --id ", id, ", to this or another entry.") },
            exitFailure);
    const std::string outcome = response->get_header_value("Cicada-Outcome");
    if (options.verbose)
        std::cerr << "status " << response->status << ", outcome " << outcome << ", id " << id << "\n";
    std::cout << response->body;
    return outcome == "ran" ? exitSuccess : exitFailure;
}

Result<LoadPlan> readPlan(const Options& options)
{
    BOOST_OUTCOME_TRY(text, readFile(options.planPath));
    BOOST_OUTCOME_TRY(plan, parseLoadPlan(text));
    if (options.rate)
        plan.rate = static_cast<double>(*options.rate);
    if (options.seconds)
        plan.duration = absl::Seconds(*options.seconds);
    return plan;
}

void writeRecord(const std::string& path, const LoadPlan& plan, absl::Span<const LoadResult> results)
{
    std::ofstream file(path);
    for (const LoadResult& result : results)
        file << plan.kinds[result.kind].name << " " << result.id << " " << result.outcome << " " << result.status << " "
             << absl::ToInt64Milliseconds(result.latency) << " " << result.attempts << " " << result.interruptedAttempts
             << "\n";
}

int sendLoad(Options options)
{
    auto plan = readPlan(options);
    if (!plan)
        return reportError(program, plan.error(), exitUsage);
    options.load.entries = options.entries;
    const auto requests = generateRequests(plan.value(), options.seed);
    const auto results = runLoad(plan.value(), requests, options.load);
    if (options.json)
        std::cout << summarizeAsJson(plan.value(), results) << "\n";
    else
        std::cout << summarizeAsTable(plan.value(), results);
    if (!options.recordPath.empty())
        writeRecord(options.recordPath, plan.value(), results);
    const bool anyWrongResponse
        = std::any_of(results.begin(), results.end(), [](const LoadResult& result) { return result.wrongResponse; });
    return anyWrongResponse ? exitFailure : exitSuccess;
}

/** Parses a number into `target`. If it is invalid or out of range, prints the reason and returns false. */
template <typename T> bool readNumber(const char* name, const char* value, int64_t min, T& target)
{
    auto number = parseNumber(name, value, min, maxNumber);
    if (number)
        target = static_cast<T>(number.value());
    else
        reportError(program, number.error(), exitUsage);
    return number.has_value();
}

bool readEntry(const char* value, Options& options)
{
    auto endpoint = parseEndpoint(value);
    if (endpoint)
        options.entries.push_back(endpoint.value());
    else
        reportError(program, endpoint.error(), exitUsage);
    return endpoint.has_value();
}

/** Applies one option. If it is unknown or its value is invalid, prints the reason and returns false. */
bool readOption(int option, const char* value, Options& options)
{
    switch (option) {
    case 'e':
        return readEntry(value, options);
    case 's':
        options.service = value;
        return true;
    case 'p':
        options.profile = value;
        return true;
    case 'i':
        options.id = value;
        return true;
    case 'd':
        options.data = value;
        return true;
    case 'v':
        options.verbose = true;
        return true;
    case 'l':
        options.planPath = value;
        return true;
    case 'r':
        return readNumber("rate", value, 1, options.rate.emplace());
    case 't':
        return readNumber("seconds", value, 1, options.seconds.emplace());
    case 'n':
        return readNumber("concurrency", value, 1, options.load.concurrency);
    case Seed:
        return readNumber("seed", value, 0, options.seed);
    case VerifyEcho:
        options.load.verifyEcho = true;
        return true;
    case Direct:
        options.load.direct = true;
        return true;
    case Record:
        options.recordPath = value;
        return true;
    case 'j':
        options.json = true;
        return true;
    default:
        std::cerr << usage;
        return false;
    }
}

} // namespace

int main(int argc, char** argv)
{
    const option options[] = { { "entry", required_argument, nullptr, 'e' },
        { "service", required_argument, nullptr, 's' }, { "profile", required_argument, nullptr, 'p' },
        { "id", required_argument, nullptr, 'i' }, { "data", required_argument, nullptr, 'd' },
        { "verbose", no_argument, nullptr, 'v' }, { "load", required_argument, nullptr, 'l' },
        { "rate", required_argument, nullptr, 'r' }, { "seconds", required_argument, nullptr, 't' },
        { "concurrency", required_argument, nullptr, 'n' }, { "seed", required_argument, nullptr, Seed },
        { "verify-echo", no_argument, nullptr, VerifyEcho }, { "record", required_argument, nullptr, Record },
        { "direct", no_argument, nullptr, Direct }, { "json", no_argument, nullptr, 'j' },
        { "help", no_argument, nullptr, 'h' }, { "version", no_argument, nullptr, 'V' }, {} };
    Options chosen;
    for (int option; (option = getopt_long(argc, argv, "e:s:p:i:d:vl:r:t:n:jhV", options, nullptr)) != -1;) {
        if (option == 'h') {
            std::cout << usage;
            return exitSuccess;
        }
        if (option == 'V')
            return printVersion(program);
        if (!readOption(option, optarg, chosen))
            return exitUsage;
    }
    if (chosen.entries.empty())
        chosen.entries.push_back({ "127.0.0.1", 7100 });
    if (!chosen.planPath.empty())
        return sendLoad(std::move(chosen));
    if (chosen.service.empty() || chosen.profile.empty()) {
        std::cerr << usage;
        return exitUsage;
    }
    auto body = readData(chosen.data);
    if (!body)
        return reportError(program, body.error(), exitUsage);
    return sendRequest(chosen, body.value());
}
