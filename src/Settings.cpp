#include "Settings.h"

#include "CommandLine.h"
#include "Json.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <arpa/inet.h>

namespace cicada {

namespace {

    constexpr absl::string_view schemaText = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of cicada-entry",
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "region", "failureDomain", "callers", "peers", "store", "vmList"],
  "properties": {
    "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "region": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "failureDomain": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "callers": {"type": "string"},
    "peers": {"type": "string"},
    "store": {"type": "string"},
    "vmList": {"type": "string"},
    "spanOutput": {"type": "string"},
    "maxBodyBytes": {"type": "integer", "minimum": 1024, "maximum": 1073741824},
    "maxCallerConnections": {"type": "integer", "minimum": 8, "maximum": 900},
    "maxQueuedRequests": {"type": "integer", "minimum": 1, "maximum": 1000000},
    "policy": {"enum": ["standard", "fifo", "no-admission", "no-reserve", "least-loaded", "random", "simple"]},
    "promiseMs": {"type": "integer", "minimum": 100, "maximum": 60000},
    "clockDriftBound": {"type": "number", "minimum": 0, "maximum": 0.2},
    "stopTimeoutSeconds": {"type": "integer", "minimum": 1, "maximum": 86400},
    "claimRetentionSeconds": {"type": "integer", "minimum": 10, "maximum": 86400}
  }
})";

    Result<Endpoint> readEndpoint(const Internal::Json& document, const char* field)
    {
        auto endpoint = parseEndpoint(document.at(field).get<std::string>());
        if (!endpoint)
            return Error { ErrorKind::InvalidSettings,
                absl::StrCat("In the settings, '", field, "' is invalid: ", endpoint.error().message),
                endpoint.error().remedy };
        return endpoint;
    }

    Result<void> readEndpoints(const Internal::Json& document, Settings& settings)
    {
        settings.callers = BOOST_OUTCOME_TRYX(readEndpoint(document, "callers"));
        settings.peers = BOOST_OUTCOME_TRYX(readEndpoint(document, "peers"));
        settings.store = BOOST_OUTCOME_TRYX(readEndpoint(document, "store"));
        settings.vmList = BOOST_OUTCOME_TRYX(readEndpoint(document, "vmList"));
        return success();
    }

    void readOptional(const Internal::Json& document, Settings& settings)
    {
        settings.spanOutput = document.value("spanOutput", settings.spanOutput);
        settings.maxBodyBytes = document.value("maxBodyBytes", settings.maxBodyBytes);
        settings.maxCallerConnections = document.value("maxCallerConnections", settings.maxCallerConnections);
        settings.maxQueuedRequests = document.value("maxQueuedRequests", settings.maxQueuedRequests);
        settings.policy = document.value("policy", settings.policy);
        settings.clockDriftBound = document.value("clockDriftBound", settings.clockDriftBound);
        settings.promiseTime
            = absl::Milliseconds(document.value("promiseMs", absl::ToInt64Milliseconds(settings.promiseTime)));
        settings.stopTimeout
            = absl::Seconds(document.value("stopTimeoutSeconds", absl::ToInt64Seconds(settings.stopTimeout)));
        settings.claimRetention
            = absl::Seconds(document.value("claimRetentionSeconds", absl::ToInt64Seconds(settings.claimRetention)));
    }

} // namespace

std::string toString(const Endpoint& endpoint) { return absl::StrCat(endpoint.host, ":", endpoint.port); }

Result<Endpoint> parseEndpoint(absl::string_view text)
{
    const Error error { ErrorKind::InvalidSettings, absl::StrCat("'", text, "' is not an IPv4 address and a port."),
        "Write it as in \"127.0.0.1:7200\"." };
    const size_t colon = text.rfind(':');
    if (colon == absl::string_view::npos)
        return error;
    Endpoint endpoint;
    endpoint.host = std::string(text.substr(0, colon));
    in_addr address;
    if (inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1)
        return error;
    uint32_t port = 0;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 || port > 65535)
        return error;
    endpoint.port = static_cast<uint16_t>(port);
    return endpoint;
}

Result<Settings> parseSettings(absl::string_view json)
{
    BOOST_OUTCOME_TRY(document, Internal::parseJson(json, "settings", ErrorKind::InvalidSettings));
    BOOST_OUTCOME_TRY(Internal::checkSchema(document, schemaText, "settings", ErrorKind::InvalidSettings));
    Settings settings;
    settings.name = document.at("name").get<std::string>();
    settings.region = document.at("region").get<std::string>();
    settings.failureDomain = document.at("failureDomain").get<std::string>();
    BOOST_OUTCOME_TRY(readEndpoints(document, settings));
    readOptional(document, settings);
    return settings;
}

Result<Settings> loadSettings(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, readFile(path, ErrorKind::InvalidSettings, "settings file"));
    return parseSettings(text);
}

absl::string_view settingsSchema() { return schemaText; }

} // namespace cicada
