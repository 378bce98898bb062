#include "WorkerMessages.h"

#include "Json.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace cicada {

namespace {

    using Internal::Json;

    constexpr const char* stateNames[]
        = { "starting", "running", "finished", "failed", "stopped", "checkpointed", "lost", "not-started" };

    std::string dump(const Json& document) { return document.dump(-1, ' ', false, Json::error_handler_t::replace); }

    Json toJson(const Resources& r)
    {
        return { { "cpuMillis", r.cpuMillis }, { "memoryMiB", r.memoryMiB }, { "accelerators", r.accelerators } };
    }

    Resources readResources(const Json& item)
    {
        return { Internal::integerOf<int64_t>(item.at("cpuMillis")), Internal::integerOf<int64_t>(item.at("memoryMiB")),
            Internal::integerOf<int64_t>(item.at("accelerators")) };
    }

    RunId readRunId(const Json& item)
    {
        auto id = parseRunId(item.get<std::string>());
        return id ? id.value() : RunId {};
    }

    Json toJson(const std::vector<RunId>& ids)
    {
        Json list = Json::array();
        for (const RunId& id : ids)
            list.push_back(toString(id));
        return list;
    }

    std::vector<RunId> readRunIds(const Json& list)
    {
        std::vector<RunId> ids;
        for (const Json& item : list)
            ids.push_back(readRunId(item));
        return ids;
    }

    Json toJson(const RunStatus& run)
    {
        return { { "id", toString(run.id) }, { "state", stateNames[static_cast<size_t>(run.state)] },
            { "demand", toJson(run.demand) }, { "urgency", run.urgency }, { "preemptible", run.preemptible },
            { "checkpoint", run.checkpoint } };
    }

    RunStatus readStatus(const Json& item)
    {
        RunStatus run;
        run.id = readRunId(item.at("id"));
        const auto state = item.at("state").get<std::string>();
        for (size_t i = 0; i < std::size(stateNames); ++i) {
            if (state == stateNames[i])
                run.state = static_cast<RunState>(i);
        }
        run.demand = readResources(item.at("demand"));
        run.urgency = Internal::integerOf<int>(item.at("urgency"));
        run.preemptible = item.at("preemptible").get<bool>();
        run.checkpoint = item.at("checkpoint").get<std::string>();
        return run;
    }

    /** Decodes `text` with `read`; returns a typed error if the text does not have the expected form. */
    template <typename T, typename Read> Result<T> decode(absl::string_view text, absl::string_view what, Read read)
    {
        try {
            T message;
            read(Json::parse(text.begin(), text.end()), message);
            return message;
        } catch (const Json::exception& error) {
            return Error { ErrorKind::MalformedMessage, absl::StrCat("A ", what, " cannot be decoded: ", error.what()),
                "Check the worker's version against the workers' contract." };
        }
    }

} // namespace

std::string toString(const RunId& id) { return absl::StrCat(id.job, "/", id.task, "/", id.run); }

Result<RunId> parseRunId(absl::string_view text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '/');
    RunId id;
    if (parts.size() != 3 || !absl::SimpleAtoi(parts[1], &id.task) || !absl::SimpleAtoi(parts[2], &id.run))
        return Error { ErrorKind::MalformedMessage, "A run id is not of the form job/task/run.",
            "Pass run ids through unchanged." };
    id.job = parts[0];
    return id;
}

std::string encode(const WorkerSync& m)
{
    return dump({ { "epoch", m.epoch }, { "ticket", m.ticket }, { "leaseMs", absl::ToInt64Milliseconds(m.lease) },
        { "renew", toJson(m.renew) }, { "forget", toJson(m.forget) } });
}

std::string encode(const WorkerView& m)
{
    Json runs = Json::array();
    for (const RunStatus& run : m.runs)
        runs.push_back(toJson(run));
    return dump({ { "accepted", m.accepted }, { "ticket", m.ticket }, { "runs", runs }, { "usage", toJson(m.usage) } });
}

std::string encode(const WorkerStart& m)
{
    return dump({ { "epoch", m.epoch }, { "ticket", m.ticket }, { "leaseMs", absl::ToInt64Milliseconds(m.lease) },
        { "id", toString(m.id) }, { "demand", toJson(m.demand) }, { "urgency", m.urgency },
        { "preemptible", m.preemptible }, { "command", m.command }, { "checkpoint", m.checkpoint } });
}

std::string encode(const WorkerStop& m)
{
    return dump({ { "epoch", m.epoch }, { "id", toString(m.id) }, { "checkpoint", m.checkpoint } });
}

Result<WorkerSync> decodeWorkerSync(absl::string_view json)
{
    return decode<WorkerSync>(json, "sync", [](const Json& document, WorkerSync& m) {
        m.epoch = Internal::integerOf<uint64_t>(document.at("epoch"));
        m.ticket = document.at("ticket").get<std::string>();
        m.lease = absl::Milliseconds(Internal::integerOf<int64_t>(document.at("leaseMs")));
        m.renew = readRunIds(document.at("renew"));
        m.forget = readRunIds(document.at("forget"));
    });
}

Result<WorkerView> decodeWorkerView(absl::string_view json)
{
    return decode<WorkerView>(json, "worker's view", [](const Json& document, WorkerView& m) {
        m.accepted = document.at("accepted").get<bool>();
        m.ticket = document.at("ticket").get<std::string>();
        for (const Json& item : document.at("runs"))
            m.runs.push_back(readStatus(item));
        m.usage = readResources(document.at("usage"));
    });
}

Result<WorkerStart> decodeWorkerStart(absl::string_view json)
{
    return decode<WorkerStart>(json, "start", [](const Json& document, WorkerStart& m) {
        m.epoch = Internal::integerOf<uint64_t>(document.at("epoch"));
        m.ticket = document.at("ticket").get<std::string>();
        m.lease = absl::Milliseconds(Internal::integerOf<int64_t>(document.at("leaseMs")));
        m.id = readRunId(document.at("id"));
        m.demand = readResources(document.at("demand"));
        m.urgency = Internal::integerOf<int>(document.at("urgency"));
        m.preemptible = document.at("preemptible").get<bool>();
        m.command = document.at("command").get<std::string>();
        m.checkpoint = document.at("checkpoint").get<std::string>();
    });
}

Result<WorkerStop> decodeWorkerStop(absl::string_view json)
{
    return decode<WorkerStop>(json, "stop", [](const Json& document, WorkerStop& m) {
        m.epoch = Internal::integerOf<uint64_t>(document.at("epoch"));
        m.id = readRunId(document.at("id"));
        m.checkpoint = document.at("checkpoint").get<bool>();
    });
}

} // namespace cicada
