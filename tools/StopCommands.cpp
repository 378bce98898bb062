#include "OperatorTool.h"

#include "CommandLine.h"
#include "Json.h"
#include "Uuid.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <iomanip>
#include <iostream>

namespace cicada {

namespace {

    using Internal::Json;

    httplib::Headers changeHeaders(const OperatorOptions& options)
    {
        return { { "Cicada-Change-Id", options.changeId.empty() ? randomUuid() : options.changeId } };
    }

    bool succeeded(const httplib::Result& response) { return response && response->status == 200; }

} // namespace

int planStop(httplib::Client& client, const OperatorOptions& options)
{
    const Json stop { { "kind", options.arguments[2] }, { "target", options.arguments[3] } };
    const auto response = client.Post("/v1/stops", changeHeaders(options), stop.dump(), "application/json");
    if (!succeeded(response))
        return reportCallFailure(response);
    std::cout << "planned the stop of " << options.arguments[2] << " " << options.arguments[3] << " with id "
              << Json::parse(response->body).value("id", "") << "\n";
    return exitSuccess;
}

int listStops(httplib::Client& client, const OperatorOptions& options)
{
    const auto response = client.Get("/v1/stops");
    if (!succeeded(response))
        return reportCallFailure(response);
    if (options.json) {
        std::cout << response->body << "\n";
        return exitSuccess;
    }
    std::cout << std::left << std::setw(38) << "ID" << std::setw(10) << "KIND" << std::setw(24) << "TARGET"
              << "STILL RUNNING\n";
    for (const auto& stop : Json::parse(response->body))
        std::cout << std::setw(38) << stop.value("id", "") << std::setw(10) << stop.value("kind", "") << std::setw(24)
                  << stop.value("target", "")
                  << (stop["remaining"].is_null() ? "not known yet" : stop["remaining"].dump()) << "\n";
    return exitSuccess;
}

int cancelStop(httplib::Client& client, const OperatorOptions& options)
{
    const auto response = client.Delete(absl::StrCat("/v1/stops/", options.arguments[2]), changeHeaders(options));
    if (!succeeded(response))
        return reportCallFailure(response);
    std::cout << "the stop is cancelled\n";
    return exitSuccess;
}

} // namespace cicada
