#include "Job.h"

#include "Json.h"
#include "Ownership.h"

#include "absl/strings/str_cat.h"

#include <xxhash.h>

#include <algorithm>

namespace cicada {

namespace {

    using Internal::Json;

    constexpr absl::string_view jobSchema = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Job",
  "type": "object",
  "additionalProperties": false,
  "required": ["profile", "tasks"],
  "properties": {
    "profile": {"type": "string", "minLength": 1},
    "team": {"type": "string", "maxLength": 100},
    "gang": {"type": "boolean"},
    "tasks": {"type": "array", "minItems": 1, "maxItems": 10000, "items": {
      "type": "object",
      "additionalProperties": false,
      "required": ["cpuMillis", "memoryMiB"],
      "properties": {
        "cpuMillis": {"type": "integer", "minimum": 1, "maximum": 1000000000},
        "memoryMiB": {"type": "integer", "minimum": 1, "maximum": 1000000000},
        "accelerators": {"type": "integer", "minimum": 0, "maximum": 1000},
        "kind": {"enum": ["batch", "service"]},
        "command": {"type": "string", "maxLength": 16384},
        "count": {"type": "integer", "minimum": 1, "maximum": 10000}
      }}}
  }
})";

    TaskSpec readTask(const Json& item)
    {
        TaskSpec task;
        task.kind = item.value("kind", "batch") == "service" ? TaskKind::Service : TaskKind::Batch;
        task.demand.cpuMillis = Internal::integerOf<int64_t>(item.at("cpuMillis"));
        task.demand.memoryMiB = Internal::integerOf<int64_t>(item.at("memoryMiB"));
        task.demand.accelerators = Internal::integerOr<int64_t>(item, "accelerators", 0);
        task.command = item.value("command", "");
        return task;
    }

    Json taskJson(const TaskSpec& task, size_t count)
    {
        return { { "kind", task.kind == TaskKind::Service ? "service" : "batch" },
            { "cpuMillis", task.demand.cpuMillis }, { "memoryMiB", task.demand.memoryMiB },
            { "accelerators", task.demand.accelerators }, { "command", task.command }, { "count", count } };
    }

    bool sameTask(const TaskSpec& a, const TaskSpec& b)
    {
        return a.kind == b.kind && a.command == b.command && a.demand.cpuMillis == b.demand.cpuMillis
            && a.demand.memoryMiB == b.demand.memoryMiB && a.demand.accelerators == b.demand.accelerators;
    }

    /** Writes consecutive equal tasks once, with their count. */
    Json specJson(const JobSpec& spec)
    {
        Json tasks = Json::array();
        for (size_t i = 0; i < spec.tasks.size();) {
            size_t end = i + 1;
            while (end < spec.tasks.size() && sameTask(spec.tasks[i], spec.tasks[end]))
                ++end;
            tasks.push_back(taskJson(spec.tasks[i], end - i));
            i = end;
        }
        return { { "profile", spec.profile }, { "team", spec.team }, { "gang", spec.gang }, { "tasks", tasks } };
    }

    JobSpec readSpec(absl::string_view id, const Json& document)
    {
        JobSpec spec;
        spec.id = std::string(id);
        spec.profile = document.at("profile").get<std::string>();
        spec.team = document.value("team", "");
        spec.gang = document.value("gang", false);
        for (const Json& item : document.at("tasks")) {
            const auto count = item.value("count", size_t { 1 });
            if (spec.tasks.size() + count > maxTasksPerJob)
                break;
            spec.tasks.insert(spec.tasks.end(), count, readTask(item));
        }
        return spec;
    }

    size_t declaredTasks(const Json& document)
    {
        size_t total = 0;
        for (const Json& item : document.at("tasks"))
            total += item.value("count", size_t { 1 });
        return total;
    }

} // namespace

JobRecord makeRecord(JobSpec spec, Profile profile, int64_t acceptedMicros)
{
    JobRecord record;
    record.marks.assign(spec.tasks.size(), TaskMark::Waiting);
    if (!profile.mayRunTwice)
        record.releases.assign(spec.tasks.size(), 0);
    record.spec = std::move(spec);
    record.profile = std::move(profile);
    record.acceptedMicros = acceptedMicros;
    return record;
}

void mergeInto(JobRecord& record, const JobRecord& stored)
{
    if (stored.state != JobState::Accepted) {
        record.state = stored.state;
        record.endedMicros = stored.endedMicros;
    }
    for (size_t i = 0; i < record.marks.size() && i < stored.marks.size(); ++i) {
        const bool ahead = isFinal(stored.marks[i]) || record.marks[i] == TaskMark::Waiting;
        if (ahead)
            record.marks[i] = stored.marks[i];
    }
    for (size_t i = 0; i < record.releases.size() && i < stored.releases.size(); ++i)
        record.releases[i] = std::max(record.releases[i], stored.releases[i]);
}

bool isFinal(TaskMark mark) { return mark != TaskMark::Waiting && mark != TaskMark::Released; }

JobState endState(const std::vector<TaskMark>& marks)
{
    const auto any = [&marks](TaskMark mark) { return std::find(marks.begin(), marks.end(), mark) != marks.end(); };
    if (any(TaskMark::Unknown))
        return JobState::Unknown;
    if (any(TaskMark::Failed))
        return JobState::Failed;
    if (any(TaskMark::NotRun))
        return JobState::NotRun;
    return any(TaskMark::Cancelled) ? JobState::Cancelled : JobState::Finished;
}

absl::string_view jobStateName(JobState state)
{
    switch (state) {
    case JobState::Accepted:
        return "accepted";
    case JobState::Finished:
        return "finished";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::NotRun:
        return "not-run";
    case JobState::Unknown:
        return "unknown";
    }
    return "unknown";
}

Result<JobSpec> parseJob(absl::string_view id, absl::string_view json)
{
    BOOST_OUTCOME_TRY(document, Internal::parseJson(json, "job", ErrorKind::InvalidRequest));
    BOOST_OUTCOME_TRY(Internal::checkSchema(document, jobSchema, "job", ErrorKind::InvalidRequest));
    if (declaredTasks(document) > maxTasksPerJob)
        return Error { ErrorKind::TooLarge, absl::StrCat("The job has more than ", maxTasksPerJob, " tasks."),
            "Split it into several jobs." };
    return readSpec(id, document);
}

std::string encodeRecord(const JobRecord& record)
{
    std::string marks;
    for (const TaskMark mark : record.marks)
        marks.push_back(static_cast<char>(mark));
    return Json {
        { "id", record.spec.id },
        { "spec", specJson(record.spec) },
        { "profile", Json::parse(profileToJson(record.profile)) },
        { "acceptedMicros", record.acceptedMicros },
        { "endedMicros", record.endedMicros },
        { "state", std::string(jobStateName(record.state)) },
        { "marks", marks },
        { "releases", record.releases },
    }
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JobRecord> decodeRecord(absl::string_view text)
{
    const Error error { ErrorKind::MalformedMessage, "A stored job cannot be decoded.",
        "Check that all entries run the same version and that nothing else writes below cicada/jobs/." };
    try {
        const Json document = Json::parse(text.begin(), text.end());
        JobRecord record;
        record.spec = readSpec(document.at("id").get<std::string>(), document.at("spec"));
        record.profile = BOOST_OUTCOME_TRYX(parseProfile(record.spec.profile, document.at("profile").dump()));
        record.acceptedMicros = Internal::integerOf<int64_t>(document.at("acceptedMicros"));
        record.endedMicros = Internal::integerOf<int64_t>(document.at("endedMicros"));
        for (const char mark : document.at("marks").get<std::string>())
            record.marks.push_back(static_cast<TaskMark>(mark));
        const auto state = document.at("state").get<std::string>();
        for (const JobState candidate : { JobState::Accepted, JobState::Finished, JobState::Failed, JobState::Cancelled,
                 JobState::NotRun, JobState::Unknown }) {
            if (state == jobStateName(candidate))
                record.state = candidate;
        }
        record.releases = document.at("releases").get<std::vector<uint32_t>>();
        if (record.marks.size() != record.spec.tasks.size() || record.releases.size() > record.marks.size())
            return error;
        return record;
    } catch (const Json::exception&) {
        return error;
    }
}

bool sameJob(const JobSpec& a, const JobSpec& b)
{
    return a.profile == b.profile && a.team == b.team && a.gang == b.gang
        && std::equal(a.tasks.begin(), a.tasks.end(), b.tasks.begin(), b.tasks.end(), sameTask);
}

uint32_t jobPartition(absl::string_view id)
{
    return static_cast<uint32_t>(XXH3_64bits(id.data(), id.size()) % claimPartitions);
}

std::string jobPrefix(uint32_t partition) { return absl::StrCat("cicada/jobs/", partition, "/"); }

std::string jobKey(absl::string_view id) { return absl::StrCat(jobPrefix(jobPartition(id)), id); }

Result<void> checkEverFits(const JobSpec& spec, const BackEnds& backEnds)
{
    const BackEnd* largest = nullptr;
    Resources total;
    for (const BackEnd& backEnd : backEnds.all()) {
        if (backEnd.kind != BackEndKind::Worker)
            continue;
        total = total + backEnd.capacity;
        if (!largest || backEnd.capacity.cpuMillis > largest->capacity.cpuMillis)
            largest = &backEnd;
    }
    // The VM list lags, so an empty one is no reason to reject the job: it may wait for the first worker.
    if (!largest)
        return success();
    const std::string remedy = absl::StrCat("The largest worker is ", largest->name, " with ",
        largest->capacity.cpuMillis, " cpuMillis, ", largest->capacity.memoryMiB, " memoryMiB and ",
        largest->capacity.accelerators, " accelerators; request less, or add larger workers.");
    Resources totalDemand;
    for (size_t i = 0; i < spec.tasks.size(); ++i) {
        const Resources& demand = spec.tasks[i].demand;
        totalDemand = totalDemand + demand;
        const bool held = std::any_of(backEnds.all().begin(), backEnds.all().end(), [&demand](const BackEnd& backEnd) {
            return backEnd.kind == BackEndKind::Worker && fits(demand, backEnd.capacity);
        });
        if (!held)
            return Error { ErrorKind::InvalidRequest,
                absl::StrCat("Task ", i, " exceeds the capacity of every worker."), remedy };
    }
    if (spec.gang && !fits(totalDemand, total))
        return Error { ErrorKind::InvalidRequest, "The gang exceeds the total capacity of all workers.", remedy };
    return success();
}

} // namespace cicada
