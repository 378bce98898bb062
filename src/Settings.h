#pragma once

/** \file
 * The settings file of an entry: its name, the addresses that it listens on and the addresses of the platform. It is
 * the only source of a process's addresses and failure domain.
 */

#include "Error.h"

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace cicada {

/** An IP address and a port to listen on or connect to. */
struct Endpoint {
    std::string host;
    uint16_t port = 0;
};

/** "host:port". */
std::string toString(const Endpoint&);
/** Parses "host:port", where host is an IPv4 address. */
Result<Endpoint> parseEndpoint(absl::string_view text);

/** The configuration that an entry gets at its start. */
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
    /** The maximum relative drift between the monotonic clocks of two machines. */
    double clockDriftBound = 0.01;
    /** How long a planned stop waits for requests in flight. */
    absl::Duration stopTimeout = absl::Seconds(60);
    /** How long the id of an at-most-once request is retained. */
    absl::Duration claimRetention = absl::Seconds(600);
};

/** Reads and checks settings. The error names the field and the remedy. */
Result<Settings> parseSettings(absl::string_view json);
/** Reads and checks a settings file. */
Result<Settings> loadSettings(const std::string& path);
/** The JSON schema that settings are checked against. */
absl::string_view settingsSchema();

} // namespace cicada
