#pragma once

/** \file
 * What a worker does with the calls of its contract, without any I/O: shared by the stand-in process and by the tests
 * with a paused clock. It also counts what the promises need: most resources in use, starts under an old epoch.
 */

#include "Clock.h"
#include "Job.h"
#include "WorkerMessages.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include <algorithm>
#include <functional>
#include <string>

namespace cicada::Testing {

/** One worker. Time is the worker's own clock and passed in. Not thread-safe. */
class WorkerModel {
public:
    /** `boot` differs for each life of the worker. */
    WorkerModel(std::string name, Resources capacity, uint64_t boot)
        : m_name(std::move(name))
        , m_capacity(capacity)
        , m_boot(boot)
    {
    }

    /** Told of each start and each end of a run. */
    std::function<void(const RunId&, bool started)> onChange = [](const RunId&, bool) {};
    /** A worker that fails everything it starts. */
    bool failAll = false;

    WorkerView sync(const WorkerSync& message, Instant now)
    {
        advance(now);
        if (message.epoch < m_epoch)
            return {};
        m_epoch = message.epoch;
        for (const RunId& id : message.forget)
            m_runs.erase(id);
        for (const RunId& id : message.renew) {
            auto it = m_runs.find(id);
            if (it != m_runs.end() && isFresh(message.ticket, now))
                it->second.leaseUntil = now + message.lease;
        }
        WorkerView view { true, absl::StrCat(m_boot, ":", absl::ToInt64Microseconds(now)), {}, used() };
        for (const auto& [id, run] : m_runs)
            view.runs.push_back(run.status);
        return view;
    }

    bool start(const WorkerStart& message, Instant now)
    {
        advance(now);
        auto it = m_runs.find(message.id);
        if (message.epoch < m_epoch || !isFresh(message.ticket, now) || m_stopped.contains(message.id)) {
            ++refused;
            return false;
        }
        if (it != m_runs.end())
            return true;
        Run run;
        run.status = { message.id, RunState::Running, message.demand, message.urgency, message.preemptible, "", "" };
        run.leaseUntil = now + message.lease;
        const absl::Duration work = workTime(message.command) * (failAll ? 0 : 1);
        run.doneAt = now + work - progressOf(message.checkpoint);
        run.startedAt = now - progressOf(message.checkpoint);
        run.fails = failAll || absl::StrContains(message.command, "fail");
        m_runs[message.id] = run;
        const Resources total = used();
        maxCpu = std::max(maxCpu, total.cpuMillis);
        maxMemory = std::max(maxMemory, total.memoryMiB);
        overfull += !fits(total, m_capacity);
        ++starts;
        onChange(message.id, true);
        return true;
    }

    bool stop(const WorkerStop& message, Instant now)
    {
        advance(now);
        if (message.epoch < m_epoch)
            return false;
        auto it = m_runs.find(message.id);
        if (it == m_runs.end())
            m_stopped.insert(message.id);
        else if (it->second.status.state == RunState::Running && message.checkpoint)
            end(it->second, RunState::Checkpointed,
                absl::StrCat("at-ms=", absl::ToInt64Milliseconds(now - it->second.startedAt)));
        else if (it->second.status.state == RunState::Running)
            end(it->second, RunState::Stopped);
        return true;
    }

    /** Ends the runs whose work is done or whose lease ran out. */
    void advance(Instant now)
    {
        for (auto& [id, run] : m_runs) {
            if (run.status.state != RunState::Running)
                continue;
            if (run.leaseUntil <= now && run.leaseUntil < run.doneAt)
                end(run, RunState::Lost);
            else if (run.doneAt <= now)
                end(run, run.fails ? RunState::Failed : RunState::Finished);
        }
    }

    Resources used() const
    {
        Resources total;
        for (const auto& [id, run] : m_runs) {
            if (run.status.state == RunState::Running)
                total = total + run.status.demand;
        }
        return total;
    }

    size_t running() const
    {
        return static_cast<size_t>(std::count_if(m_runs.begin(), m_runs.end(),
            [](const auto& run) { return run.second.status.state == RunState::Running; }));
    }

    const std::string& name() const { return m_name; }
    const Resources& capacity() const { return m_capacity; }

    int64_t maxCpu = 0;
    int64_t maxMemory = 0;
    uint64_t overfull = 0;
    uint64_t starts = 0;
    uint64_t refused = 0;

private:
    struct Run {
        RunStatus status;
        Instant leaseUntil;
        Instant startedAt;
        Instant doneAt;
        bool fails = false;
    };

    void end(Run& run, RunState state, const std::string& checkpoint = "")
    {
        run.status.state = state;
        run.status.checkpoint = checkpoint;
        onChange(run.status.id, false);
    }

    bool isFresh(const std::string& ticket, Instant now) const
    {
        absl::string_view text = ticket;
        int64_t micros = 0;
        return absl::ConsumePrefix(&text, absl::StrCat(m_boot, ":")) && absl::SimpleAtoi(text, &micros)
            && now - absl::Microseconds(micros) <= ticketValidity;
    }

    /** The number after `key` in `text`, or `otherwise`. */
    static absl::Duration millisAfter(const std::string& text, absl::string_view key, absl::Duration otherwise)
    {
        for (absl::string_view word : absl::StrSplit(text, ' ')) {
            int64_t millis = 0;
            if (absl::ConsumePrefix(&word, key) && absl::SimpleAtoi(word, &millis))
                return absl::Milliseconds(millis);
        }
        return otherwise;
    }
    static absl::Duration workTime(const std::string& command)
    {
        return millisAfter(command, "work-ms=", absl::Seconds(1));
    }
    static absl::Duration progressOf(const std::string& checkpoint)
    {
        return millisAfter(checkpoint, "at-ms=", absl::ZeroDuration());
    }

    const std::string m_name;
    const Resources m_capacity;
    const uint64_t m_boot;
    uint64_t m_epoch = 0;
    absl::flat_hash_map<RunId, Run> m_runs;
    absl::flat_hash_set<RunId> m_stopped;
};

} // namespace cicada::Testing
