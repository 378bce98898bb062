#pragma once

/** \file
 * The settings file of an entry: who it is, where it listens, and where the platform is. A process learns its
 * addresses and failure domain from here and from nowhere else.
 */

#include "Error.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace cicada {

/** An IP number and a port to listen on or connect to. */
struct Endpoint {
    std::string host;
    uint16_t port = 0;
};

/** "host:port". */
std::string toString(const Endpoint&);
/** Reads "host:port", where host is an IPv4 number. */
Result<Endpoint> parseEndpoint(absl::string_view text);

/** Everything that an entry is told at its start. */
struct Settings {
    std::string name;
    std::string region;
    std::string failureDomain;
    Endpoint callers;
    Endpoint peers;
    Endpoint store;
    Endpoint vmList;
    /** Where spans are written: a file's path, "stderr", or empty for none. */
    std::string spanOutput;
    uint64_t maxBodyBytes = 16 << 20;
    uint32_t maxCallerConnections = 600;
    uint32_t maxQueuedRequests = 20000;
    /** How requests are admitted, ordered and placed: a name that policyOptions() knows. */
    std::string policy = "standard";
    /** How long a guardian's promise lasts. */
    absl::Duration promiseTime = absl::Milliseconds(1500);
    /** The largest relative error between two machines' monotonic clocks. */
    double clockDriftBound = 0.01;
    /** How long a planned stop waits for requests in flight. */
    absl::Duration stopTimeout = absl::Seconds(60);
    /** How long the id of a request that must not run twice is remembered. */
    absl::Duration claimRetention = absl::Seconds(600);
};

/** Reads and checks settings. The error names the field and the remedy. */
Result<Settings> parseSettings(absl::string_view json);
/** Reads and checks a settings file. */
Result<Settings> loadSettings(const std::string& path);
/** The JSON schema that settings are checked against. */
absl::string_view settingsSchema();

} // namespace cicada
