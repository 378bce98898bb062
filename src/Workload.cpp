#include "Workload.h"

#include "Job.h"

#include "absl/strings/str_cat.h"

#include <limits>

namespace cicada {

namespace {

    Error invalid(const std::string& what, const std::string& remedy)
    {
        return Error { ErrorKind::InvalidRequest, what, remedy };
    }

    Result<void> checkStep(const StepSpec& step, size_t number)
    {
        const std::string name = absl::StrCat("Step ", number);
        if (step.taskCount == 0 || step.taskCount > maxTasksPerStep)
            return invalid(absl::StrCat(name, " has ", step.taskCount, " tasks."),
                absl::StrCat("Specify 1 to ", maxTasksPerStep, "."));
        if (step.demand.cpuMillis < 0 || step.demand.memoryMiB < 0 || step.demand.accelerators < 0)
            return invalid(
                absl::StrCat(name, " requests a negative amount of a resource."), "Specify amounts of 0 or more.");
        for (const uint32_t earlier : step.after) {
            if (earlier >= number)
                return invalid(absl::StrCat(name, " depends on step ", earlier, ", which does not come before it."),
                    "Refer to earlier steps only.");
        }
        return success();
    }

} // namespace

Result<void> checkSubmission(const Submission& job)
{
    if (job.payload.size() > maxPayloadBytes)
        return invalid("The job's payload is too long.", absl::StrCat("Send at most ", maxPayloadBytes, " bytes."));
    if (job.steps.empty() || job.steps.size() > maxSteps)
        return invalid(absl::StrCat("The job has ", job.steps.size(), " steps."),
            absl::StrCat("Specify 1 to ", maxSteps, " steps."));
    uint64_t tasks = 0;
    for (size_t i = 0; i < job.steps.size(); ++i) {
        BOOST_OUTCOME_TRY(checkStep(job.steps[i], i));
        tasks += job.steps[i].taskCount;
    }
    if (job.occurrences > maxOccurrences || tasks * std::max(1u, job.occurrences) > maxTasksPerSubmission)
        return invalid("The job has too many tasks.",
            absl::StrCat("Submit at most ", maxTasksPerSubmission, " tasks over all occurrences."));
    if (job.occurrences > 0 && (job.startUnixMillis < 0 || job.intervalMillis < 0))
        return invalid("The job's times are negative.", "Specify times of 0 or more.");
    return success();
}

int64_t dueUnixMillis(const Submission& job, uint32_t occurrence)
{
    constexpr int64_t never = std::numeric_limits<int64_t>::max();
    const bool isInRange = occurrence == 0 || job.intervalMillis <= (never - job.startUnixMillis) / occurrence;
    return isInRange ? job.startUnixMillis + job.intervalMillis * occurrence : never;
}

std::string describeTask(const TaskName& task)
{
    return absl::StrCat(task.job, ".", task.occurrence, ".", task.step, ".", task.index);
}

std::string describeRun(const TaskRun& run) { return absl::StrCat(describeTask(run.task), "#", run.run); }

uint32_t widestStep(const Submission& job)
{
    uint32_t widest = 0;
    for (const StepSpec& step : job.steps)
        widest = std::max(widest, step.taskCount);
    return widest;
}

absl::string_view widthClass(uint32_t width)
{
    if (width < 16)
        return "1-15";
    if (width < 32)
        return "16-31";
    if (width < 64)
        return "32-63";
    return "64+";
}

Resources demandOf(const StepSpec& spec)
{
    Resources demand = spec.demand;
    if (spec.usesIdleProcessors)
        demand.cpuMillis = 0;
    return demand;
}

uint64_t countFittingTasks(const Resources& demand, const Resources& free)
{
    if (!fits(demand, free))
        return 0;
    int64_t count = std::numeric_limits<int32_t>::max();
    if (demand.cpuMillis > 0)
        count = std::min(count, free.cpuMillis / demand.cpuMillis);
    if (demand.memoryMiB > 0)
        count = std::min(count, free.memoryMiB / demand.memoryMiB);
    if (demand.accelerators > 0)
        count = std::min(count, free.accelerators / demand.accelerators);
    return static_cast<uint64_t>(count);
}

uint64_t countFittingTasks(const Resources& demand, const Resources& free, uint32_t maxPerWorker)
{
    const uint64_t fitting = countFittingTasks(demand, free);
    return maxPerWorker > 0 ? std::min<uint64_t>(fitting, maxPerWorker) : fitting;
}

} // namespace cicada
