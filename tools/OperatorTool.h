#pragma once

/** \file
 * Declarations shared by the commands of cicadactl: the parsed command line and the report of a failed call.
 */

#include "Error.h"
#include "Settings.h"

#include <string>
#include <vector>

namespace httplib {
class Client;
class Result;
}

namespace cicada {

/** The parsed command line of cicadactl. */
struct OperatorOptions {
    Endpoint entry { "127.0.0.1", 7100 };
    std::string ifMatch;
    std::string changeId;
    bool json = false;
    std::vector<std::string> arguments;
};

/** Prints why a call failed, with the entry's own error message if it sent one, and returns the exit code. */
int reportCallFailure(const httplib::Result& response);

/** The commands `stop plan KIND TARGET`, `stop list` and `stop cancel ID`. They return the exit code. */
int planStop(httplib::Client& client, const OperatorOptions& options);
int listStops(httplib::Client& client, const OperatorOptions& options);
int cancelStop(httplib::Client& client, const OperatorOptions& options);

/** The command `trace ID FILE...`: prints one request as a tree of spans. ID is a trace id or a request id. */
int printTrace(const OperatorOptions& options);

} // namespace cicada
