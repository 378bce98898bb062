#include "TaskRows.h"

#include "Pack.h"
#include "Workload.h"

#include "absl/container/flat_hash_map.h"

namespace cicada::Internal {

namespace {

    /** The places of TaskFields that the table keeps apart from the state. */
    enum Field { Occurrence = 0, Step = 1, Index = 2, Worker = 6, WorkerStarted = 7 };

    /** Bounds what a short table of few long states may take as rows. */
    constexpr size_t maxRowBytes = size_t { 64 } << 20;

    /** Values that stand once, with their places. */
    template <typename Value> class Places {
    public:
        explicit Places(std::vector<Value>& values)
            : m_values(values)
        {
        }
        uint32_t of(Value value)
        {
            const auto [found, isNew] = m_places.try_emplace(value, static_cast<uint32_t>(m_values.size()));
            if (isNew)
                m_values.push_back(std::move(value));
            return found->second;
        }

    private:
        std::vector<Value>& m_values;
        absl::flat_hash_map<Value, uint32_t> m_places;
    };

    /** The row without its task and worker. */
    std::string packState(TaskFields row)
    {
        std::get<Occurrence>(row) = std::get<Step>(row) = std::get<Index>(row) = 0;
        std::get<Worker>(row).clear();
        std::get<WorkerStarted>(row) = 0;
        return packFields(row);
    }

    /** Whether the range goes on with the next task of the same step. */
    bool continues(const TaskRange& range, const TaskRange& next)
    {
        const auto& [occurrence, step, first, count, worker, state] = range;
        return next == TaskRange(occurrence, step, first + count, 1, worker, state);
    }

    Error malformed()
    {
        return Error { ErrorKind::MalformedMessage, "The stored table of tasks can't be read.",
            "Check whether another program writes below the same prefix of the store." };
    }

} // namespace

TaskTable makeTaskTable(absl::Span<const TaskFields> rows)
{
    TaskTable table;
    Places<RowWorker> workers(table.workers);
    Places<std::string> states(table.states);
    for (const TaskFields& row : rows) {
        const uint32_t worker = workers.of({ std::get<Worker>(row), std::get<WorkerStarted>(row) });
        const uint32_t state = states.of(packState(row));
        const TaskRange next(std::get<Occurrence>(row), std::get<Step>(row), std::get<Index>(row), 1, worker, state);
        if (!table.ranges.empty() && continues(table.ranges.back(), next))
            ++std::get<3>(table.ranges.back());
        else
            table.ranges.push_back(next);
    }
    return table;
}

Result<std::vector<TaskFields>> rowsOf(const TaskTable& table)
{
    std::vector<TaskFields> states;
    for (const std::string& bytes : table.states) {
        TaskFields state;
        BOOST_OUTCOME_TRY(unpackFields(bytes, "task state", state));
        states.push_back(std::move(state));
    }
    std::vector<TaskFields> rows;
    size_t bytes = 0;
    for (const auto& [occurrence, step, first, count, worker, state] : table.ranges) {
        const bool isWithinJob = count <= maxTasksPerSubmission && rows.size() + count <= maxTasksPerSubmission;
        if (!isWithinJob || worker >= table.workers.size() || state >= states.size())
            return malformed();
        bytes += count * (table.states[state].size() + std::get<0>(table.workers[worker]).size());
        if (bytes > maxRowBytes)
            return malformed();
        for (uint32_t i = 0; i < count; ++i) {
            TaskFields row = states[state];
            std::get<Occurrence>(row) = occurrence;
            std::get<Step>(row) = step;
            std::get<Index>(row) = first + i;
            std::tie(std::get<Worker>(row), std::get<WorkerStarted>(row)) = table.workers[worker];
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

} // namespace cicada::Internal
