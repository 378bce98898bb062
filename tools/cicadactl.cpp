/** \file
 * cicadactl, the command-line tool for operators. It sends HTTP requests to any entry.
 */

#include "CommandLine.h"
#include "Json.h"
#include "OperatorTool.h"
#include "Settings.h"
#include "Uuid.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <getopt.h>
#include <iomanip>
#include <iostream>

namespace {

using namespace cicada;
using Internal::Json;

constexpr const char* program = "cicadactl";

constexpr const char* usage = R"(Usage: cicadactl [options] COMMAND

Commands:
  profile list                  list the profiles in force
  profile get NAME              print a profile as JSON
  profile explain NAME          explain how requests with that profile are handled
  profile set NAME FILE         create or change a profile ("-" reads standard input)
  profile delete NAME           delete a profile
  stop plan KIND TARGET         plan the graceful shutdown of a back-end, a rack or an entry
  stop list                     list the planned stops and how much still runs on each target
  stop cancel ID                cancel a planned stop
  trace ID FILE...              print a request as a tree of spans; ID is a trace id or a request id
  status                        show members, back ends and load as seen by the entry

Options:
  -e, --entry HOST:PORT         the entry to contact (default 127.0.0.1:7100)
  -m, --if-match VERSION        change only if the profile is at this version
  -i, --change-id UUID          id of the change; repeat it to resend after a lost response
  -j, --json                    print JSON
  -h, --help                    print this text
  -V, --version                 print the version

Exit codes: 0 done, 1 rejected or failed, 2 invalid command line.
)";

constexpr time_t responseTimeoutSeconds = 10;

using Options = OperatorOptions;

int reportFailure(const std::string& message, const std::string& remedy)
{
    return reportError(program, { ErrorKind::Internal, message, remedy }, exitFailure);
}

bool succeeded(const httplib::Result& response) { return response && response->status == 200; }

void printStatus(const Json& status)
{
    std::cout << "entry " << status.value("name", "") << " in " << status.value("region", "")
              << ", profiles at version " << status.value("profileVersion", 0) << ", " << status.value("queued", 0)
              << " requests queued\n\n";
    std::cout << std::left << std::setw(20) << "MEMBER" << std::setw(14) << "REGION"
              << "DOMAIN\n";
    for (const auto& member : status["members"])
        std::cout << std::setw(20) << member.value("name", "") << std::setw(14) << member.value("region", "")
                  << member.value("failureDomain", "") << "\n";
    std::cout << "\n"
              << std::setw(20) << "BACK END" << std::setw(14) << "REGION" << std::setw(20) << "OWNER" << std::setw(8)
              << "SLOTS"
              << "STATE\n";
    for (const auto& backEnd : status["backEnds"])
        std::cout << std::setw(20) << backEnd.value("name", "") << std::setw(14) << backEnd.value("region", "")
                  << std::setw(20) << backEnd.value("owner", "") << std::setw(8) << backEnd.value("slots", 0)
                  << (backEnd.value("leaving", false) ? "leaving" : "live") << "\n";
}

int runStatus(httplib::Client& client, const Options& options)
{
    const auto response = client.Get("/v1/status");
    if (!succeeded(response))
        return reportCallFailure(response);
    if (options.json)
        std::cout << response->body << "\n";
    else
        printStatus(Json::parse(response->body));
    return exitSuccess;
}

int listProfiles(httplib::Client& client, const Options& options)
{
    const auto response = client.Get("/v1/profiles");
    if (!succeeded(response))
        return reportCallFailure(response);
    if (options.json) {
        std::cout << response->body << "\n";
        return exitSuccess;
    }
    std::cout << std::left << std::setw(24) << "PROFILE" << std::setw(10) << "VERSION" << std::setw(12) << "MAX WAIT"
              << std::setw(12) << "RUN TWICE"
              << "WHEN SHORT\n";
    const Json document = Json::parse(response->body);
    for (const auto& profile : document["profiles"])
        std::cout << std::setw(24) << profile.value("name", "") << std::setw(10) << profile.value("version", 0)
                  << std::setw(12) << absl::StrCat(profile.value("maxWaitMs", 0), " ms") << std::setw(12)
                  << (profile.value("mayRunTwice", false) ? "may" : "never") << profile.value("whenShort", "") << "\n";
    return exitSuccess;
}

httplib::Headers changeHeaders(const Options& options)
{
    httplib::Headers headers { { "Cicada-Change-Id", options.changeId.empty() ? randomUuid() : options.changeId } };
    if (!options.ifMatch.empty())
        headers.emplace("If-Match", absl::StrCat("\"", options.ifMatch, "\""));
    return headers;
}

int setProfile(httplib::Client& client, const Options& options)
{
    auto text = readFile(options.arguments[3] == "-" ? "/dev/stdin" : options.arguments[3]);
    if (!text)
        return reportError(program, text.error(), exitUsage);
    const auto response = client.Put(
        absl::StrCat("/v1/profiles/", options.arguments[2]), changeHeaders(options), text.value(), "application/json");
    if (!succeeded(response))
        return reportCallFailure(response);
    std::cout << "profile " << options.arguments[2] << " is at version "
              << Json::parse(response->body).value("version", 0) << "\n";
    return exitSuccess;
}

int getProfile(httplib::Client& client, const Options& options)
{
    const auto response = client.Get(absl::StrCat("/v1/profiles/", options.arguments[2]));
    if (!succeeded(response))
        return reportCallFailure(response);
    std::cout << Json::parse(response->body).dump(2) << "\n";
    return exitSuccess;
}

int explainProfile(httplib::Client& client, const Options& options)
{
    const auto response = client.Get(absl::StrCat("/v1/profiles/", options.arguments[2], "/explain"));
    if (!succeeded(response))
        return reportCallFailure(response);
    std::cout << response->body;
    return exitSuccess;
}

int deleteProfile(httplib::Client& client, const Options& options)
{
    const auto response = client.Delete(absl::StrCat("/v1/profiles/", options.arguments[2]), changeHeaders(options));
    if (!succeeded(response))
        return reportCallFailure(response);
    std::cout << "profile " << options.arguments[2] << " is deleted\n";
    return exitSuccess;
}

int runCommand(const Options& options)
{
    httplib::Client client(options.entry.host, options.entry.port);
    client.set_read_timeout(responseTimeoutSeconds);
    const auto& arguments = options.arguments;
    const auto matches = [&arguments](const char* first, const char* second, size_t count) {
        return arguments.size() == count && arguments[0] == first && (!second || arguments[1] == second);
    };
    if (matches("status", nullptr, 1))
        return runStatus(client, options);
    if (matches("stop", "plan", 4))
        return planStop(client, options);
    if (matches("stop", "list", 2))
        return listStops(client, options);
    if (matches("stop", "cancel", 3))
        return cancelStop(client, options);
    if (arguments.size() >= 3 && arguments[0] == "trace")
        return printTrace(options);
    if (matches("profile", "list", 2))
        return listProfiles(client, options);
    if (matches("profile", "get", 3))
        return getProfile(client, options);
    if (matches("profile", "explain", 3))
        return explainProfile(client, options);
    if (matches("profile", "set", 4))
        return setProfile(client, options);
    if (matches("profile", "delete", 3))
        return deleteProfile(client, options);
    std::cerr << usage;
    return exitUsage;
}

} // namespace

int cicada::reportCallFailure(const httplib::Result& response)
{
    if (!response)
        return reportFailure("The entry can't be reached.", "Check --entry, or try another entry.");
    const Json problem = Json::parse(response->body, nullptr, false);
    if (!problem.is_object())
        return reportFailure(
            absl::StrCat("The entry responded with HTTP status ", response->status, " and no error description."),
            "Check --entry.");
    return reportFailure(problem.value("detail", ""), problem.value("remedy", ""));
}

int main(int argc, char** argv)
{
    const option options[]
        = { { "entry", required_argument, nullptr, 'e' }, { "if-match", required_argument, nullptr, 'm' },
              { "change-id", required_argument, nullptr, 'i' }, { "json", no_argument, nullptr, 'j' },
              { "help", no_argument, nullptr, 'h' }, { "version", no_argument, nullptr, 'V' }, {} };
    Options chosen;
    for (int option; (option = getopt_long(argc, argv, "e:m:i:jhV", options, nullptr)) != -1;) {
        switch (option) {
        case 'e': {
            auto endpoint = parseEndpoint(optarg);
            if (!endpoint)
                return reportError(program, endpoint.error(), exitUsage);
            chosen.entry = endpoint.value();
            break;
        }
        case 'm':
            chosen.ifMatch = optarg;
            break;
        case 'i':
            chosen.changeId = optarg;
            break;
        case 'j':
            chosen.json = true;
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
    chosen.arguments.assign(argv + optind, argv + argc);
    return runCommand(chosen);
}
