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

    Result<PlannedStop> readStop(const HttpQuestion& question)
    {
        BOOST_OUTCOME_TRY(document, Internal::parseJson(question.body, "planned stop", ErrorKind::InvalidRequest));
        BOOST_OUTCOME_TRY(Internal::checkSchema(document, planSchema, "planned stop", ErrorKind::InvalidRequest));
        PlannedStop stop;
        stop.id = Internal::changeIdOf(question);
        stop.kind = BOOST_OUTCOME_TRYX(parseStopKind(document["kind"].get<std::string>()));
        stop.target = document["target"].get<std::string>();
        return stop;
    }

    HttpAnswer plan(EventLoop& loop, StopBook& book, const HttpQuestion& question)
    {
        auto stop = readStop(question);
        if (!stop)
            return problemAnswer(stop.error(), Outcome::NotRun);
        const std::string id = stop.value().id;
        auto result = Internal::waitForChange(loop,
            [&book, stop = stop.value()](ConfigDocument::ChangeCallback done) { book.plan(stop, std::move(done)); });
        if (!result)
            return problemAnswer(result.error(), Outcome::NotRun);
        return { 200, "application/json", Json { { "id", id }, { "version", result.value() } }.dump(), {} };
    }

    HttpAnswer list(EventLoop& loop, StopBook& book)
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

    HttpAnswer cancel(EventLoop& loop, StopBook& book, const HttpQuestion& question)
    {
        const std::string changeId = Internal::changeIdOf(question);
        auto result = Internal::waitForChange(
            loop, [&book, id = question.matches[0], changeId](ConfigDocument::ChangeCallback done) {
                book.cancel(id, changeId, std::move(done));
            });
        if (!result)
            return problemAnswer(result.error(), Outcome::NotRun);
        return { 200, "application/json", Json { { "version", result.value() } }.dump(), {} };
    }

} // namespace

void addStopRoutes(Frontend& frontend, EventLoop& loop, StopBook& book)
{
    frontend.route("POST", "/v1/stops", [&](const HttpQuestion& question) { return plan(loop, book, question); });
    frontend.route("GET", "/v1/stops", [&](const HttpQuestion&) { return list(loop, book); });
    frontend.route(
        "DELETE", "/v1/stops/([^/]+)", [&](const HttpQuestion& question) { return cancel(loop, book, question); });
}

} // namespace cicada
