#pragma once

/** \file
 * What the commands of cicadactl share: the entry to ask, the words of the command, and how a failed call is told.
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

/** The command line of cicadactl. */
struct OperatorOptions {
    Endpoint entry { "127.0.0.1", 7100 };
    std::string ifMatch;
    std::string changeId;
    bool json = false;
    std::vector<std::string> arguments;
};

/** Prints why a call failed, in the words of the entry when it answered; gives the exit code. */
int reportCallFailure(const httplib::Result& response);

/** stop plan KIND TARGET, stop list, stop cancel ID. */
int planStop(httplib::Client& client, const OperatorOptions& options);
int listStops(httplib::Client& client, const OperatorOptions& options);
int cancelStop(httplib::Client& client, const OperatorOptions& options);

/** trace ID FILE...: prints one request as a tree of its spans. ID is a trace's or a request's. */
int printTrace(const OperatorOptions& options);

} // namespace cicada
