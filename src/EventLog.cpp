#include "EventLog.h"

#include "absl/strings/escaping.h"
#include "absl/time/clock.h"

#include <cerrno>
#include <unistd.h>

namespace cicada {

namespace {

    /** Lines that fall within this interval are written together, which saves wake-ups. */
    constexpr absl::Duration batchInterval = absl::Milliseconds(100);
    /** With at least this many lines queued, they are written without waiting for more. */
    constexpr size_t batchingThresholdLines = 100;
    constexpr absl::Duration idleWait = absl::Seconds(60);
    /** Delay between attempts to write to a reader that accepts nothing; after maxWriteRetries the lines are lost. */
    constexpr absl::Duration writeRetryDelay = absl::Milliseconds(20);
    constexpr int maxWriteRetries = 100;
    /** Leaves space for one more line within 8 KB, the size up to which readers take a write whole. */
    constexpr size_t writeChunkBytes = 7 << 10;

    bool needsQuotes(absl::string_view value)
    {
        return value.empty() || value.find_first_of(" \"=\n\r\t\\") != absl::string_view::npos;
    }

} // namespace

EventLog::EventLog(std::string entry, int fd)
    : m_entry(std::move(entry))
    , m_fd(fd)
    , m_ring(maxQueuedLines)
{
}

EventLog::~EventLog() { stop(); }

Result<void> EventLog::start()
{
    m_thread = std::thread([this] { run(); });
    return success();
}

void EventLog::stop()
{
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
}

std::string EventLog::head(absl::string_view event) const
{
    return absl::StrCat("t=", absl::ToUnixMillis(absl::Now()), " entry=", m_entry, " event=", event);
}

void EventLog::appendPair(std::string& line, absl::string_view key, absl::string_view value)
{
    absl::StrAppend(&line, " ", key, "=");
    if (needsQuotes(value))
        absl::StrAppend(&line, "\"", absl::CHexEscape(value), "\"");
    else
        absl::StrAppend(&line, value);
}

void EventLog::push(std::string line)
{
    line.push_back('\n');
    if (!m_ring.push(std::move(line)))
        ++m_dropped;
}

void EventLog::run()
{
    uint64_t reported = 0;
    while (true) {
        auto first = m_ring.pop(idleWait);
        if (!first) {
            if (m_ring.closed())
                return;
            continue;
        }
        std::string text = std::move(*first);
        if (!m_ring.closed() && m_ring.size() < batchingThresholdLines)
            absl::SleepFor(batchInterval);
        while (text.size() < writeChunkBytes) {
            auto next = m_ring.pop(absl::ZeroDuration());
            if (!next)
                break;
            text += *next;
        }
        if (const uint64_t dropped = m_dropped.load(); dropped != reported) {
            text += absl::StrCat(head("log-lines-dropped"), " count=", dropped - reported, "\n");
            reported = dropped;
        }
        writeAll(text);
    }
}

void EventLog::writeAll(absl::string_view text) const
{
    int retries = 0;
    while (!text.empty()) {
        const ssize_t written = ::write(m_fd, text.data(), text.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0 && errno == EAGAIN && ++retries < maxWriteRetries) {
            absl::SleepFor(writeRetryDelay);
            continue;
        }
        if (written <= 0)
            return;
        text.remove_prefix(static_cast<size_t>(written));
    }
}

} // namespace cicada
