/** \file
 * The callers' command line: one request, or a counted load with a summary.
 */

#include "CommandLine.h"
#include "Settings.h"
#include "Uuid.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <getopt.h>
#include <iostream>

namespace {

using namespace cicada;

constexpr const char* program = "cicada-call";

constexpr const char* usage = R"(Usage: cicada-call [options] --service NAME --profile NAME

Sends one request and prints the answer's body.

  -e, --entry HOST:PORT   the entry to call (default 127.0.0.1:7100)
  -s, --service NAME      the service to call
  -p, --profile NAME      the profile of the request
  -i, --id UUID           the Idempotency-Key (default: a new one)
  -d, --data TEXT         the body ("@FILE" reads a file, "-" standard input)
  -v, --verbose           print status and outcome to standard error
  -h, --help              print this text
  -V, --version           print the version

Exit codes: 0 ran, 1 did not run or is unknown, 2 the command line is wrong.
)";

constexpr time_t timeoutSeconds = 900;

struct Options {
    Endpoint entry { "127.0.0.1", 7100 };
    std::string service;
    std::string profile;
    std::string id;
    std::string data;
    bool verbose = false;
};

Result<std::string> readData(const std::string& data)
{
    if (data == "-")
        return readFile("/dev/stdin");
    if (!data.empty() && data[0] == '@')
        return readFile(data.substr(1));
    return data;
}

int callOnce(const Options& options, const std::string& body)
{
    httplib::Client client(options.entry.host, options.entry.port);
    client.set_read_timeout(timeoutSeconds);
    client.set_tcp_nodelay(true);
    const std::string id = options.id.empty() ? randomUuid() : options.id;
    const httplib::Headers headers { { "Cicada-Profile", options.profile }, { "Idempotency-Key", id } };
    const auto response = client.Post(
        absl::StrCat("/v1/services/", options.service, "/requests"), headers, body, "application/octet-stream");
    if (!response)
        return reportError(program,
            { ErrorKind::PeerUnavailable, "The entry gave no answer.",
                absl::StrCat("Send it again with --id ", id, ", to this or another entry.") },
            exitFailure);
    const std::string outcome = response->get_header_value("Cicada-Outcome");
    if (options.verbose)
        std::cerr << "status " << response->status << ", outcome " << outcome << ", id " << id << "\n";
    std::cout << response->body;
    return outcome == "ran" ? exitSuccess : exitFailure;
}

} // namespace

int main(int argc, char** argv)
{
    const option options[]
        = { { "entry", required_argument, nullptr, 'e' }, { "service", required_argument, nullptr, 's' },
              { "profile", required_argument, nullptr, 'p' }, { "id", required_argument, nullptr, 'i' },
              { "data", required_argument, nullptr, 'd' }, { "verbose", no_argument, nullptr, 'v' },
              { "help", no_argument, nullptr, 'h' }, { "version", no_argument, nullptr, 'V' }, {} };
    Options chosen;
    for (int option; (option = getopt_long(argc, argv, "e:s:p:i:d:vhV", options, nullptr)) != -1;) {
        switch (option) {
        case 'e': {
            auto endpoint = parseEndpoint(optarg);
            if (!endpoint)
                return reportError(program, endpoint.error(), exitUsage);
            chosen.entry = endpoint.value();
            break;
        }
        case 's':
            chosen.service = optarg;
            break;
        case 'p':
            chosen.profile = optarg;
            break;
        case 'i':
            chosen.id = optarg;
            break;
        case 'd':
            chosen.data = optarg;
            break;
        case 'v':
            chosen.verbose = true;
            break;
        case 'h':
            std::cout << usage;
            return exitSuccess;
        case 'V':
            return printVersion(program);
        default:
            std::cerr << usage;
            return exitUsage;
        }
    }
    if (chosen.service.empty() || chosen.profile.empty()) {
        std::cerr << usage;
        return exitUsage;
    }
    auto body = readData(chosen.data);
    if (!body)
        return reportError(program, body.error(), exitUsage);
    return callOnce(chosen, body.value());
}
