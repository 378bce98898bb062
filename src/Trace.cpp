#include "Trace.h"

#include "Json.h"

#include "absl/random/random.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <fcntl.h>
#include <unistd.h>

namespace cicada {

namespace {

    constexpr size_t maxQueuedSpans = 16384;
    constexpr absl::Duration idleWait = absl::Milliseconds(200);
    constexpr size_t traceIdLength = 32;
    constexpr size_t spanIdLength = 16;

    bool isId(absl::string_view text, size_t length)
    {
        if (text.size() != length || text.find_first_not_of('0') == absl::string_view::npos)
            return false;
        return text.find_first_not_of("0123456789abcdef") == absl::string_view::npos;
    }

    std::string randomHex64()
    {
        thread_local absl::BitGen generator;
        return absl::StrCat(absl::Hex(absl::Uniform<uint64_t>(generator) | 1, absl::kZeroPad16));
    }

    Internal::Json attribute(const std::string& key, const std::string& value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

    std::string toLine(const Span& span, const std::string& process)
    {
        Internal::Json attributes = Internal::Json::array();
        for (const auto& [key, value] : span.attributes)
            attributes.push_back(attribute(key, value));
        const Internal::Json spanJson {
            { "traceId", span.context.traceId },
            { "spanId", span.context.spanId },
            { "parentSpanId", span.parentSpanId },
            { "name", span.name },
            { "startTimeUnixNano", absl::StrCat(span.startMicros * 1000) },
            { "endTimeUnixNano", absl::StrCat(span.endMicros * 1000) },
            { "attributes", attributes },
        };
        const Internal::Json scope { { "scope", { { "name", "cicadaspread" } } }, { "spans", { spanJson } } };
        const Internal::Json resource { { "attributes", { attribute("service.instance.id", process) } } };
        const Internal::Json line { { "resourceSpans",
            { { { "resource", resource }, { "scopeSpans", { scope } } } } } };
        return line.dump(-1, ' ', false, Internal::Json::error_handler_t::replace) + "\n";
    }

} // namespace

TraceContext parseTraceparent(absl::string_view header)
{
    const std::vector<std::string> parts = absl::StrSplit(absl::StripAsciiWhitespace(header), '-');
    if (parts.size() >= 4 && parts[0] != "ff" && isId(parts[1], traceIdLength) && isId(parts[2], spanIdLength))
        return { parts[1], parts[2] };
    return { randomHex64() + randomHex64(), {} };
}

std::string toTraceparent(const TraceContext& context)
{
    return absl::StrCat("00-", context.traceId, "-", context.spanId, "-01");
}

TraceContext childOf(const TraceContext& parent) { return { parent.traceId, randomHex64() }; }

SpanWriter::SpanWriter(std::string output, std::string process)
    : m_output(std::move(output))
    , m_process(std::move(process))
    , m_ring(maxQueuedSpans)
{
}

SpanWriter::~SpanWriter() { stop(); }

Result<void> SpanWriter::start()
{
    if (m_output.empty())
        return success();
    m_fd = m_output == "stderr" ? dup(STDERR_FILENO)
                                : open(m_output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_fd < 0)
        return Error { ErrorKind::InvalidSettings, absl::StrCat("'spanOutput', ", m_output, ", can't be opened."),
            "Name a file that this process may write, \"stderr\", or leave it out." };
    m_thread = std::thread([this] { run(); });
    return success();
}

void SpanWriter::stop()
{
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
    if (m_fd >= 0)
        close(m_fd);
    m_fd = -1;
}

void SpanWriter::write(Span span)
{
    if (m_output.empty())
        return;
    if (!m_ring.push(std::move(span)))
        ++m_dropped;
}

void SpanWriter::run()
{
    while (true) {
        const auto span = m_ring.pop(idleWait);
        if (!span) {
            if (m_ring.closed())
                return;
            continue;
        }
        const std::string line = toLine(*span, m_process);
        if (::write(m_fd, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
            ++m_dropped;
    }
}

SpanTimer::SpanTimer(SpanWriter& writer, const Clock& clock, const TraceContext& parent, std::string name)
    : m_writer(writer)
    , m_clock(clock)
{
    m_span.context = childOf(parent);
    m_span.parentSpanId = parent.spanId;
    m_span.name = std::move(name);
    m_span.startMicros = clock.wallMicros();
}

SpanTimer::~SpanTimer() { end(); }

void SpanTimer::attribute(std::string key, std::string value)
{
    m_span.attributes.emplace_back(std::move(key), std::move(value));
}

void SpanTimer::end()
{
    if (m_ended)
        return;
    m_ended = true;
    m_span.endMicros = m_clock.wallMicros();
    m_writer.write(std::move(m_span));
}

} // namespace cicada
