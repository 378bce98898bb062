#include "StopRoutes.h"

#include "Json.h"
#include "OperatorCall.h"

namespace cicada {

namespace {

    using Internal::Json;

    constexpr absl::string_view planSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["kind", "target"],
  "properties": {
    "kind": {"enum": ["back-end", "rack", "entry"]},
    "target": {"type": "string", "minLength": 1}
  }
})";

    Result<PlannedStop> readStop(const RouteRequest& request)
    {
        BOOST_OUTCOME_TRY(document, Internal::parseJson(request.body, "planned stop", ErrorKind::InvalidRequest));
        BOOST_OUTCOME_TRY(Internal::checkSchema(document, planSchema, "planned stop", ErrorKind::InvalidRequest));
        PlannedStop stop;
        stop.id = Internal::changeIdOf(request);
        stop.kind = BOOST_OUTCOME_TRYX(parseStopKind(document["kind"].get<std::string>()));
        stop.target = document["target"].get<std::string>();
        return stop;
    }

    RouteResponse plan(EventLoop& loop, PlannedStopRegistry& book, const RouteRequest& request)
    {
        auto stop = readStop(request);
        if (!stop)
            return problemResponse(stop.error(), Outcome::NotRun);
        const std::string id = stop.value().id;
        auto result = Internal::waitForChange(loop,
            [&book, stop = stop.value()](ConfigDocument::ChangeCallback done) { book.plan(stop, std::move(done)); });
        if (!result)
            return problemResponse(result.error(), Outcome::NotRun);
        return { 200, "application/json", Json { { "id", id }, { "version", result.value() } }.dump(), {} };
    }

    RouteResponse list(EventLoop& loop, PlannedStopRegistry& book)
    {
        Json document = Json::array();
        loop.call([&] {
            for (const auto& [id, stop] : book.all()) {
                const StopProgress progress = book.progress(stop);
                document.push_back(
                    { { "id", id }, { "kind", std::string(stopKindName(stop.kind)) }, { "target", stop.target },
                        { "remaining", progress.remaining ? Json(*progress.remaining) : Json() } });
            }
        });
        return { 200, "application/json", document.dump(), {} };
    }

    RouteResponse cancel(EventLoop& loop, PlannedStopRegistry& book, const RouteRequest& request)
    {
        const std::string changeId = Internal::changeIdOf(request);
        auto result = Internal::waitForChange(
            loop, [&book, id = request.matches[0], changeId](ConfigDocument::ChangeCallback done) {
                book.cancel(id, changeId, std::move(done));
            });
        if (!result)
            return problemResponse(result.error(), Outcome::NotRun);
        return { 200, "application/json", Json { { "version", result.value() } }.dump(), {} };
    }

} // namespace

void addStopRoutes(Frontend& frontend, EventLoop& loop, PlannedStopRegistry& book)
{
    frontend.route("POST", "/v1/stops", [&](const RouteRequest& request) { return plan(loop, book, request); });
    frontend.route("GET", "/v1/stops", [&](const RouteRequest&) { return list(loop, book); });
    frontend.route(
        "DELETE", "/v1/stops/([^/]+)", [&](const RouteRequest& request) { return cancel(loop, book, request); });
}

} // namespace cicada
