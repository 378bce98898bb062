#pragma once

/** \file
 * The HTTP side of an entry: callers' requests, operators' profiles and status, health and metrics. It only
 * translates; what is decided is decided behind it.
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

/** An answer of our own to an HTTP request, for routes that other services add. */
struct HttpAnswer {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/** An HTTP request as the routes of other services see it. */
struct HttpQuestion {
    std::string method;
    std::string path;
    /** What the groups of the route's pattern matched, in order. */
    std::vector<std::string> matches;
    std::string body;
    std::function<std::string(const std::string&)> header;
    std::function<std::string(const std::string&)> parameter;
};

/** The HTTP status that fits an error, and the error as problem+json. */
HttpAnswer problemAnswer(const Error& error, Outcome outcome);

/** The HTTP server as a service. */
class Frontend final : public Service {
public:
    using Route = std::function<HttpAnswer(const HttpQuestion&)>;

    /** All arguments must outlive the frontend. */
    Frontend(const Settings&, RequestHandler&);
    ~Frontend() override;

    /** Adds a route: a method and a regular expression for the path. Call before start(). */
    void route(const std::string& method, const std::string& pattern, Route route);

    absl::string_view name() const override { return "frontend"; }
    Result<void> start() override;
    void stop() override;

    /** From now on /readyz says no, so that the balancer sends callers elsewhere. */
    void setStopping() { m_stopping = true; }
    void setReady(bool ready) { m_ready = ready; }
    /** Requests that callers wait for at this moment. */
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
