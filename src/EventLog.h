#pragma once

/** \file
 * The structured log of a process: one line of `key=value` pairs on standard output for each decision that affects a
 * request or changes the state of the process. A reader that stops reading must not block the process, so a separate
 * thread writes the lines from a bounded ring buffer. Lines that find the buffer full are dropped and counted, and the
 * count is logged.
 */

#include "RingBuffer.h"
#include "ServiceRegistry.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <atomic>
#include <string>
#include <thread>

namespace cicada {

/** Queues lines for the log thread. Thread-safe. */
class EventLog final : public Service {
public:
    /** `entry` is the name that each line carries; `fd` is the descriptor that lines are written to. */
    EventLog(std::string entry, int fd);
    ~EventLog() override;

    absl::string_view name() const override { return "event-log"; }
    Result<void> start() override;
    void stop() override;

    /** Logs `event` with pairs of keys and values, as in `write("job-stored", "job", id, "revision", 7)`. */
    template <typename... Pairs> void write(absl::string_view event, const Pairs&... pairs)
    {
        std::string line = head(event);
        append(line, pairs...);
        push(std::move(line));
    }

    uint64_t dropped() const { return m_dropped.load(); }

private:
    static constexpr size_t maxQueuedLines = 4096;

    std::string head(absl::string_view event) const;
    static void appendPair(std::string& line, absl::string_view key, absl::string_view value);
    static void append(std::string&) { }
    template <typename Value, typename... Rest>
    static void append(std::string& line, absl::string_view key, const Value& value, const Rest&... rest)
    {
        appendPair(line, key, absl::StrCat(value));
        append(line, rest...);
    }
    void push(std::string line);
    void run();
    void writeAll(absl::string_view text) const;

    const std::string m_entry;
    const int m_fd;
    RingBuffer<std::string> m_ring;
    std::atomic<uint64_t> m_dropped { 0 };
    std::thread m_thread;
};

} // namespace cicada
