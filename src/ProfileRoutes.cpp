#include "ProfileRoutes.h"

#include "Json.h"
#include "OperatorCall.h"
#include "ProfileExplain.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace cicada {

namespace {

    using Internal::Json;

    std::string etag(uint64_t version) { return absl::StrCat("\"", version, "\""); }

    Json toJson(const ProfileRecord& record)
    {
        Json document = Json::parse(profileToJson(record.profile));
        document["name"] = record.profile.name;
        document["version"] = record.version;
        return document;
    }

    RouteResponse list(EventLoop& loop, ProfileRegistry& registry)
    {
        Json document { { "version", 0 }, { "profiles", Json::array() } };
        loop.call([&] {
            document["version"] = registry.version();
            for (const auto& [name, record] : registry.all())
                document["profiles"].push_back(toJson(record));
        });
        return { 200, "application/json", document.dump(), {} };
    }

    std::optional<ProfileRecord> findRecord(EventLoop& loop, ProfileRegistry& registry, const std::string& name)
    {
        std::optional<ProfileRecord> record;
        loop.call([&] {
            if (const ProfileRecord* found = registry.find(name))
                record = *found;
        });
        return record;
    }

    RouteResponse noSuchProfile(const std::string& name)
    {
        RouteResponse response
            = problemResponse({ ErrorKind::UnknownProfile, absl::StrCat("There is no profile '", name, "'."),
                                  "List the profiles to see their names." },
                Outcome::NotRun);
        response.status = 404;
        return response;
    }

    RouteResponse explain(
        EventLoop& loop, ProfileRegistry& registry, const Dispatcher& dispatcher, const std::string& name)
    {
        const auto record = findRecord(loop, registry, name);
        if (!record)
            return noSuchProfile(name);
        std::vector<ObservedRuns> observed;
        loop.call([&] {
            const RunTimes& times = dispatcher.runTimes();
            for (const std::string& service : times.servicesOf(name))
                observed.push_back({ service, times.estimate(service, name, record->profile.expectedRun) });
        });
        return { 200, "text/plain", explainProfile(record->profile, observed), {} };
    }

    RouteResponse get(EventLoop& loop, ProfileRegistry& registry, const std::string& name)
    {
        const auto record = findRecord(loop, registry, name);
        if (!record)
            return noSuchProfile(name);
        return { 200, "application/json", toJson(*record).dump(), { { "ETag", etag(record->version) } } };
    }

    Result<std::optional<uint64_t>> expectedVersion(const RouteRequest& request)
    {
        if (request.header("If-None-Match") == "*")
            return std::optional<uint64_t>(0);
        const std::string match = request.header("If-Match");
        if (match.empty() || match == "*")
            return std::optional<uint64_t>();
        absl::string_view digits = match;
        absl::ConsumePrefix(&digits, "\"");
        absl::ConsumeSuffix(&digits, "\"");
        uint64_t version = 0;
        if (!absl::SimpleAtoi(digits, &version))
            return Error { ErrorKind::InvalidRequest, "The If-Match header is not an ETag of this API.",
                "Send the ETag that was returned with the profile." };
        return std::optional<uint64_t>(version);
    }

    RouteResponse change(
        EventLoop& loop, ProfileRegistry& registry, const RouteRequest& request, std::optional<std::string> json)
    {
        auto expected = expectedVersion(request);
        if (!expected)
            return problemResponse(expected.error(), Outcome::NotRun);
        ProfileChange change { request.matches[0], std::move(json), expected.value(), Internal::changeIdOf(request) };
        auto result = Internal::waitForChange(loop,
            [&registry, change](ConfigDocument::ChangeCallback done) { registry.change(change, std::move(done)); });
        if (!result)
            return problemResponse(result.error(), Outcome::NotRun);
        const uint64_t version = result.value();
        return { 200, "application/json", Json { { "version", version }, { "changeId", change.changeId } }.dump(),
            { { "ETag", etag(version) } } };
    }

} // namespace

void addProfileRoutes(Frontend& frontend, EventLoop& loop, ProfileRegistry& registry, const Dispatcher& dispatcher)
{
    const std::string profilePath = R"(/v1/profiles/([a-z0-9][a-z0-9.-]*))";
    frontend.route("GET", "/v1/profiles", [&](const RouteRequest&) { return list(loop, registry); });
    frontend.route(
        "GET", profilePath, [&](const RouteRequest& request) { return get(loop, registry, request.matches[0]); });
    frontend.route("GET", profilePath + "/explain",
        [&](const RouteRequest& request) { return explain(loop, registry, dispatcher, request.matches[0]); });
    frontend.route(
        "PUT", profilePath, [&](const RouteRequest& request) { return change(loop, registry, request, request.body); });
    frontend.route("DELETE", profilePath,
        [&](const RouteRequest& request) { return change(loop, registry, request, std::nullopt); });
}

} // namespace cicada
