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

    HttpAnswer list(EventLoop& loop, ProfileBook& book)
    {
        Json document { { "version", 0 }, { "profiles", Json::array() } };
        loop.call([&] {
            document["version"] = book.version();
            for (const auto& [name, record] : book.all())
                document["profiles"].push_back(toJson(record));
        });
        return { 200, "application/json", document.dump(), {} };
    }

    std::optional<ProfileRecord> findRecord(EventLoop& loop, ProfileBook& book, const std::string& name)
    {
        std::optional<ProfileRecord> record;
        loop.call([&] {
            if (const ProfileRecord* found = book.find(name))
                record = *found;
        });
        return record;
    }

    HttpAnswer noSuchProfile(const std::string& name)
    {
        HttpAnswer answer
            = problemAnswer({ ErrorKind::UnknownProfile, absl::StrCat("There is no profile '", name, "'."),
                                "List the profiles to see their names." },
                Outcome::NotRun);
        answer.status = 404;
        return answer;
    }

    HttpAnswer explain(EventLoop& loop, ProfileBook& book, const Dispatcher& dispatcher, const std::string& name)
    {
        const auto record = findRecord(loop, book, name);
        if (!record)
            return noSuchProfile(name);
        std::vector<LearntRuns> learnt;
        loop.call([&] {
            const RunTimes& times = dispatcher.runTimes();
            for (const std::string& service : times.servicesOf(name))
                learnt.push_back({ service, times.estimate(service, name, record->profile.expectedRun) });
        });
        return { 200, "text/plain", explainProfile(record->profile, learnt), {} };
    }

    HttpAnswer get(EventLoop& loop, ProfileBook& book, const std::string& name)
    {
        const auto record = findRecord(loop, book, name);
        if (!record)
            return noSuchProfile(name);
        return { 200, "application/json", toJson(*record).dump(), { { "ETag", etag(record->version) } } };
    }

    Result<std::optional<uint64_t>> expectedVersion(const HttpQuestion& question)
    {
        if (question.header("If-None-Match") == "*")
            return std::optional<uint64_t>(0);
        const std::string match = question.header("If-Match");
        if (match.empty() || match == "*")
            return std::optional<uint64_t>();
        absl::string_view digits = match;
        absl::ConsumePrefix(&digits, "\"");
        absl::ConsumeSuffix(&digits, "\"");
        uint64_t version = 0;
        if (!absl::SimpleAtoi(digits, &version))
            return Error { ErrorKind::InvalidRequest, "The If-Match header is not an ETag of this interface.",
                "Send the ETag that came with the profile." };
        return std::optional<uint64_t>(version);
    }

    HttpAnswer change(EventLoop& loop, ProfileBook& book, const HttpQuestion& question, std::optional<std::string> json)
    {
        auto expected = expectedVersion(question);
        if (!expected)
            return problemAnswer(expected.error(), Outcome::NotRun);
        ProfileChange change { question.matches[0], std::move(json), expected.value(), Internal::changeIdOf(question) };
        auto result = Internal::waitForChange(
            loop, [&book, change](ConfigDocument::ChangeCallback done) { book.change(change, std::move(done)); });
        if (!result)
            return problemAnswer(result.error(), Outcome::NotRun);
        const uint64_t version = result.value();
        return { 200, "application/json", Json { { "version", version }, { "changeId", change.changeId } }.dump(),
            { { "ETag", etag(version) } } };
    }

} // namespace

void addProfileRoutes(Frontend& frontend, EventLoop& loop, ProfileBook& book, const Dispatcher& dispatcher)
{
    const std::string one = R"(/v1/profiles/([a-z0-9][a-z0-9.-]*))";
    frontend.route("GET", "/v1/profiles", [&](const HttpQuestion&) { return list(loop, book); });
    frontend.route("GET", one, [&](const HttpQuestion& question) { return get(loop, book, question.matches[0]); });
    frontend.route("GET", one + "/explain",
        [&](const HttpQuestion& question) { return explain(loop, book, dispatcher, question.matches[0]); });
    frontend.route(
        "PUT", one, [&](const HttpQuestion& question) { return change(loop, book, question, question.body); });
    frontend.route(
        "DELETE", one, [&](const HttpQuestion& question) { return change(loop, book, question, std::nullopt); });
}

} // namespace cicada
