#include "OperatorTool.h"

#include "CommandLine.h"
#include "Json.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>

namespace cicada {

namespace {

    using Internal::Json;

    constexpr int64_t nanosPerMicro = 1000;
    constexpr size_t indentPerLevel = 2;
    /** Deeper than any trace of cicadaspread; stops the recursion over spans that name each other as parents. */
    constexpr size_t maxDepth = 32;

    struct ParsedSpan {
        std::string traceId;
        std::string spanId;
        std::string parentId;
        std::string name;
        std::string process;
        std::string attributes;
        std::string requestId;
        int64_t startMicros = 0;
        int64_t endMicros = 0;
    };

    int64_t parseMicros(const Json& span, const char* field)
    {
        int64_t nanos = 0;
        if (!absl::SimpleAtoi(span.value(field, ""), &nanos))
            return 0;
        return nanos / nanosPerMicro;
    }

    ParsedSpan parseSpan(const Json& span, const std::string& process)
    {
        ParsedSpan parsed;
        parsed.traceId = span.value("traceId", "");
        parsed.spanId = span.value("spanId", "");
        parsed.parentId = span.value("parentSpanId", "");
        parsed.name = span.value("name", "");
        parsed.process = process;
        parsed.startMicros = parseMicros(span, "startTimeUnixNano");
        parsed.endMicros = parseMicros(span, "endTimeUnixNano");
        for (const auto& attribute : span["attributes"]) {
            const std::string key = attribute.value("key", "");
            const std::string value = attribute["value"].value("stringValue", "");
            absl::StrAppend(&parsed.attributes, " ", key, "=", value);
            if (key == "request.id")
                parsed.requestId = value;
        }
        return parsed;
    }

    /** Adds the spans of one line. Lines that hold no spans are skipped, because logs may be written to the same file.
     */
    void parseLine(const std::string& line, std::vector<ParsedSpan>& spans)
    {
        const Json document = Json::parse(line, nullptr, false);
        if (!document.is_object() || !document.contains("resourceSpans"))
            return;
        try {
            for (const auto& resource : document["resourceSpans"]) {
                const std::string process = resource["resource"]["attributes"].at(0)["value"].value("stringValue", "");
                for (const auto& scope : resource["scopeSpans"]) {
                    for (const auto& span : scope["spans"])
                        spans.push_back(parseSpan(span, process));
                }
            }
        } catch (const Json::exception&) {
            return;
        }
    }

    using Children = std::multimap<std::string, const ParsedSpan*>;

    void printTree(const Children& children, const std::string& parent, size_t depth, int64_t origin)
    {
        if (depth > maxDepth)
            return;
        const auto [first, last] = children.equal_range(parent);
        for (auto it = first; it != last; ++it) {
            const ParsedSpan& span = *it->second;
            std::cout << absl::StrFormat("%9.3f ms %9.3f ms  ", static_cast<double>(span.startMicros - origin) / 1000,
                static_cast<double>(span.endMicros - span.startMicros) / 1000)
                      << std::string(depth * indentPerLevel, ' ') << span.name << " (" << span.process << ")"
                      << span.attributes << "\n";
            printTree(children, span.spanId, depth + 1, origin);
        }
    }

    /** Returns the id of the trace that has `id` as its trace id or request id, or an empty string if there is none. */
    std::string findTrace(const std::vector<ParsedSpan>& spans, const std::string& id)
    {
        for (const ParsedSpan& span : spans) {
            if (span.traceId == id || span.requestId == id)
                return span.traceId;
        }
        return "";
    }

    void printSpans(std::vector<ParsedSpan>& spans, const std::string& traceId)
    {
        std::sort(spans.begin(), spans.end(),
            [](const ParsedSpan& a, const ParsedSpan& b) { return a.startMicros < b.startMicros; });
        std::map<std::string, bool> spanIds;
        for (const ParsedSpan& span : spans)
            spanIds[span.spanId] = true;
        Children children;
        int64_t origin = 0;
        for (const ParsedSpan& span : spans) {
            if (span.traceId != traceId)
                continue;
            origin = origin == 0 ? span.startMicros : origin;
            // A span whose parent is not in the files, because it is a span of the caller, is shown as a root.
            children.emplace(spanIds.contains(span.parentId) ? span.parentId : "", &span);
        }
        std::cout << "trace " << traceId << "\n    start         took\n";
        printTree(children, "", 0, origin);
    }

} // namespace

int printTrace(const OperatorOptions& options)
{
    std::vector<ParsedSpan> spans;
    for (size_t i = 2; i < options.arguments.size(); ++i) {
        std::ifstream file(options.arguments[i]);
        if (!file)
            return reportError("cicadactl",
                { ErrorKind::InvalidRequest, absl::StrCat("The file '", options.arguments[i], "' can't be read."),
                    "Pass the spanOutput files of the entries." },
                exitUsage);
        for (std::string line; std::getline(file, line);)
            parseLine(line, spans);
    }
    const std::string traceId = findTrace(spans, options.arguments[1]);
    if (traceId.empty())
        return reportError("cicadactl",
            { ErrorKind::InvalidRequest,
                absl::StrCat("No span has the trace id or request id '", options.arguments[1], "'."),
                "Pass the span files of all entries that the request may have passed through." },
            exitFailure);
    printSpans(spans, traceId);
    return exitSuccess;
}

} // namespace cicada
