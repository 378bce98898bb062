#include "Json.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace cicada::Internal {

namespace {

    using Adapter = valijson::adapters::NlohmannJsonAdapter;

    std::string fieldPath(const std::vector<std::string>& context)
    {
        std::string path;
        for (const auto& step : context)
            absl::StrAppend(&path, step == "<root>" ? "" : step);
        return path.empty() ? "the document" : path;
    }

    /** Counts brackets outside strings. For text that is not JSON the result is unspecified. */
    bool isTooDeep(absl::string_view text)
    {
        size_t depth = 0;
        bool inString = false;
        for (size_t i = 0; i < text.size(); ++i) {
            const char c = text[i];
            if (inString && c == '\\')
                ++i;
            else if (c == '"')
                inString = !inString;
            else if (!inString && (c == '[' || c == '{') && ++depth > maxJsonNesting)
                return true;
            else if (!inString && (c == ']' || c == '}') && depth > 0)
                --depth;
        }
        return false;
    }

} // namespace

Result<Json> parseJson(absl::string_view text, absl::string_view what, ErrorKind kind)
{
    if (isTooDeep(text))
        return Error { kind, absl::StrCat("The ", what, " is nested deeper than ", maxJsonNesting, " levels."),
            "Reduce the nesting." };
    try {
        return Json::parse(text.begin(), text.end());
    } catch (const Json::exception& error) {
        // Besides text that is not JSON, the parser throws for numbers that a double can't hold.
        return Error { kind, absl::StrCat("The ", what, " is not valid JSON: ", error.what(), "."),
            "Correct the text at that position." };
    }
}

Result<void> checkSchema(const Json& document, absl::string_view schema, absl::string_view what, ErrorKind kind)
{
    const Json schemaJson = Json::parse(schema.begin(), schema.end());
    valijson::Schema parsed;
    valijson::SchemaParser().populateSchema(Adapter(schemaJson), parsed);
    valijson::ValidationResults results;
    if (valijson::Validator().validate(parsed, Adapter(document), &results))
        return success();
    // The most deeply nested error is reported last and names the field itself.
    valijson::ValidationResults::Error finding;
    valijson::ValidationResults::Error next;
    while (results.popError(next)) {
        if (finding.context.size() <= next.context.size())
            finding = next;
    }
    return Error { kind,
        absl::StrCat("In the ", what, ", ", fieldPath(finding.context), " is invalid: ", finding.description),
        "Correct that field; the allowed fields, types and ranges are in the shipped schema." };
}

} // namespace cicada::Internal
