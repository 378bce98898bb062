#pragma once

/** \file
 * The HTTP server of an entry: callers' requests, operators' profiles and status, health and metrics. It only
 * translates between HTTP and the services behind it, which make all decisions.
 */

#include "RequestHandler.h"
#include "ServiceRegistry.h"
#include "Settings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
struct Request;
struct Response;
}

namespace cicada {

/** The response of a route that another service adds. */
struct RouteResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/** An HTTP request as passed to a route that another service adds. */
struct RouteRequest {
    std::string method;
    std::string path;
    /** The capture groups of the route's pattern, in order. */
    std::vector<std::string> matches;
    std::string body;
    std::function<std::string(const std::string&)> header;
    std::function<std::string(const std::string&)> parameter;
};

/** The response for an error: the matching HTTP status, and the error as problem+json. */
RouteResponse problemResponse(const Error& error, Outcome outcome);

/** The HTTP server as a service. */
class Frontend final : public Service {
public:
    using Route = std::function<RouteResponse(const RouteRequest&)>;

    /** All arguments must outlive the frontend. */
    Frontend(const Settings&, RequestHandler&);
    ~Frontend() override;

    /** Adds a route: a method and a regular expression for the path. Call before start(). */
    void route(const std::string& method, const std::string& pattern, Route route);

    absl::string_view name() const override { return "frontend"; }
    Result<void> start() override;
    void stop() override;

    /** From now on /readyz returns 503, so that the load balancer sends callers to other entries. */
    void setStopping() { m_stopping = true; }
    void setReady(bool ready) { m_ready = ready; }
    /** The number of caller requests in flight. */
    int inFlight() const { return m_inFlight; }

private:
    void addRequestRoute();
    void addHealthRoutes();
    void handleRequest(const httplib::Request&, httplib::Response&);

    const Settings& m_settings;
    RequestHandler& m_handler;
    std::unique_ptr<httplib::Server> m_server;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_ready { false };
    std::atomic<int> m_inFlight { 0 };
    std::thread m_thread;
};

} // namespace cicada
