#pragma once

/** \file
 * Traces: one span for each hop of a request. Spans are linked by the W3C traceparent header and written as OTLP-shaped
 * JSON lines, so that a request can be followed through all processes that handled it.
 */

#include "Clock.h"
#include "RingBuffer.h"
#include "ServiceRegistry.h"

#include "absl/strings/string_view.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cicada {

/** The ids of a trace and of one span within it, both in lower-case hexadecimal. */
struct TraceContext {
    std::string traceId;
    std::string spanId;
};

/** Parses a traceparent header; starts a new trace if it is absent or malformed, as the W3C specification requires. */
TraceContext parseTraceparent(absl::string_view header);
/** The traceparent header that names `context` as the parent. */
std::string toTraceparent(const TraceContext& context);
/** A new span in the same trace. */
TraceContext childOf(const TraceContext& parent);

/** One finished hop. Times are wall time in microseconds since 1970. */
struct Span {
    TraceContext context;
    std::string parentSpanId;
    std::string name;
    int64_t startMicros = 0;
    int64_t endMicros = 0;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/** Writes spans on its own thread. Spans that find the buffer full are dropped and counted; no request is delayed. */
class SpanWriter final : public Service {
public:
    /** `output` is a file's path, "stderr", or empty for none. `process` names this process in each span. */
    SpanWriter(std::string output, std::string process);
    ~SpanWriter() override;

    absl::string_view name() const override { return "spans"; }
    Result<void> start() override;
    void stop() override;

    /** Queues one span. Thread-safe. */
    void write(Span span);
    uint64_t dropped() const { return m_dropped; }

private:
    void run();

    const std::string m_output;
    const std::string m_process;
    RingBuffer<Span> m_ring;
    std::atomic<uint64_t> m_dropped { 0 };
    int m_fd = -1;
    std::thread m_thread;
};

/** Times one hop, from construction until end() or destruction, and then writes its span. */
class SpanTimer {
public:
    SpanTimer(SpanWriter& writer, const Clock& clock, const TraceContext& parent, std::string name);
    ~SpanTimer();
    SpanTimer(const SpanTimer&) = delete;
    SpanTimer& operator=(const SpanTimer&) = delete;

    const TraceContext& context() const { return m_span.context; }
    void attribute(std::string key, std::string value);
    void end();

private:
    SpanWriter& m_writer;
    const Clock& m_clock;
    Span m_span;
    bool m_ended = false;
};

} // namespace cicada
