#include "Frontend.h"

#include "HttpThreadPool.h"
#include "Json.h"

#include "absl/strings/str_cat.h"

#include <cerrno>
#include <cstring>

namespace cicada {

namespace {

    int httpStatus(ErrorKind kind)
    {
        switch (kind) {
        case ErrorKind::InvalidRequest:
        case ErrorKind::InvalidProfile:
        case ErrorKind::UnknownProfile:
        case ErrorKind::InvalidSettings:
        case ErrorKind::MalformedMessage:
            return 400;
        case ErrorKind::UnknownService:
        case ErrorKind::UnknownJob:
            return 404;
        case ErrorKind::DuplicateRequest:
        case ErrorKind::Conflict:
            return 409;
        case ErrorKind::TooLarge:
            return 413;
        case ErrorKind::TooBusy:
            return 429;
        case ErrorKind::DeadlineExceeded:
            return 504;
        case ErrorKind::Stopping:
        case ErrorKind::NoAuthority:
        case ErrorKind::StoreUnavailable:
        case ErrorKind::BackEndFailed:
        case ErrorKind::PeerUnavailable:
            return 503;
        case ErrorKind::Internal:
            return 500;
        }
        return 500;
    }

    bool isRetryable(int status) { return status == 429 || status == 503; }

    constexpr absl::string_view retryAfterSeconds = "1";

    void writeResponse(const RouteResponse& routeResponse, httplib::Response& response)
    {
        response.status = routeResponse.status;
        for (const auto& [name, value] : routeResponse.headers)
            response.set_header(name, value);
        response.set_content(routeResponse.body, routeResponse.contentType);
    }

    /** Refuses a request while the entry stops, and closes the connection so that the caller opens a new one to another
     * entry. */
    void refuseWhileStopping(httplib::Response& response)
    {
        writeResponse(problemResponse({ ErrorKind::Stopping, "This entry is stopping.",
                                          "Nothing was run; retry at another entry." },
                          Outcome::NotRun),
            response);
        response.set_header("Connection", "close");
    }

    RouteRequest toRouteRequest(const httplib::Request& request)
    {
        RouteRequest routeRequest;
        routeRequest.method = request.method;
        routeRequest.path = request.path;
        for (size_t i = 1; i < request.matches.size(); ++i)
            routeRequest.matches.push_back(request.matches[i].str());
        routeRequest.body = request.body;
        routeRequest.header = [&request](const std::string& name) { return request.get_header_value(name.c_str()); };
        routeRequest.parameter = [&request](const std::string& name) { return request.get_param_value(name); };
        return routeRequest;
    }

} // namespace

RouteResponse problemResponse(const Error& error, Outcome outcome)
{
    RouteResponse routeResponse;
    routeResponse.status = httpStatus(error.kind);
    routeResponse.contentType = "application/problem+json";
    routeResponse.headers.emplace_back("Cicada-Outcome", outcomeName(outcome));
    if (isRetryable(routeResponse.status))
        routeResponse.headers.emplace_back("Retry-After", retryAfterSeconds);
    routeResponse.body = Internal::Json {
        { "title", std::string(errorKindName(error.kind)) }, { "status", routeResponse.status },
        { "detail", error.message }, { "kind", std::string(errorKindName(error.kind)) }, { "remedy", error.remedy },
        { "outcome", std::string(outcomeName(outcome)) }
    }.dump(-1, ' ', false, Internal::Json::error_handler_t::replace);
    return routeResponse;
}

Frontend::Frontend(const Settings& settings, RequestHandler& handler)
    : m_settings(settings)
    , m_handler(handler)
    , m_server(std::make_unique<httplib::Server>())
{
    Internal::prepareServer(*m_server, settings.maxCallerConnections, settings.maxBodyBytes);
    m_server->set_error_handler([this](const httplib::Request&, httplib::Response& response) {
        if (!response.body.empty())
            return;
        Error error { ErrorKind::InvalidRequest,
            absl::StrCat("There is no resource at this path (status ", response.status, ")."),
            "See the README for the paths." };
        if (response.status == 413)
            error = { ErrorKind::TooLarge, absl::StrCat("The body is larger than ", m_settings.maxBodyBytes, " bytes."),
                "Send a smaller body, or raise maxBodyBytes in the settings." };
        const int status = response.status;
        writeResponse(problemResponse(error, Outcome::NotRun), response);
        response.status = status;
    });
    addRequestRoute();
    addHealthRoutes();
}

Frontend::~Frontend() { stop(); }

void Frontend::route(const std::string& method, const std::string& pattern, Route route)
{
    auto handler = [route = std::move(route)](const httplib::Request& request, httplib::Response& response) {
        writeResponse(route(toRouteRequest(request)), response);
    };
    if (method == "GET")
        m_server->Get(pattern, handler);
    else if (method == "PUT")
        m_server->Put(pattern, handler);
    else if (method == "POST")
        m_server->Post(pattern, handler);
    else
        m_server->Delete(pattern, handler);
}

Result<void> Frontend::start()
{
    if (!m_server->bind_to_port(m_settings.callers.host, m_settings.callers.port))
        return Error { ErrorKind::InvalidSettings,
            absl::StrCat(
                "The address of 'callers', ", toString(m_settings.callers), ", can't be bound: ", strerror(errno), "."),
            "Use an address of this machine and a port that is free." };
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    return success();
}

void Frontend::stop()
{
    m_server->stop();
    if (m_thread.joinable())
        m_thread.join();
}

void Frontend::addRequestRoute()
{
    m_server->Post(R"(/v1/services/([^/]+)/requests)",
        [this](const httplib::Request& request, httplib::Response& response) { handleRequest(request, response); });
}

void Frontend::handleRequest(const httplib::Request& request, httplib::Response& response)
{
    if (m_stopping)
        return refuseWhileStopping(response);
    ++m_inFlight;
    CallerRequest callerRequest { request.matches[1].str(), request.get_header_value("Cicada-Profile"),
        request.get_header_value("Idempotency-Key"), request.get_header_value("Content-Type"),
        request.get_header_value("traceparent"), &request.body };
    if (callerRequest.contentType.empty())
        callerRequest.contentType = "application/octet-stream";
    CallerResponse result = m_handler.handle(callerRequest);
    if (result.error) {
        writeResponse(problemResponse(*result.error, result.outcome), response);
    } else {
        response.status = result.status;
        response.set_header("Cicada-Outcome", std::string(outcomeName(result.outcome)));
        response.set_content(result.body, result.contentType);
    }
    response.set_header("Idempotency-Key", result.requestId);
    if (m_stopping)
        response.set_header("Connection", "close");
    --m_inFlight;
}

void Frontend::addHealthRoutes()
{
    m_server->Get("/healthz",
        [](const httplib::Request&, httplib::Response& response) { response.set_content("ok\n", "text/plain"); });
    m_server->Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
        const bool ready = m_ready && !m_stopping;
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
}

} // namespace cicada
