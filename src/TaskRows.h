#pragma once

/** \file
 * Internal: the rows of a run record, one for each task of which there is something to know. A job of many tasks has
 * more of them than a value of the store takes, so there is a second form in which the rows' common parts stand once:
 * the workers, the states of tasks, and ranges of tasks that share both. Included by sources only.
 */

#include "Error.h"

#include "absl/types/span.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace cicada::Internal {

/** Run, kind, worker, source, when ordered, end of the lease, start of the next incarnation, when found, for how long
 * it was known to be at work, when connections closed, token and sequence number. */
using EvidenceFields = std::tuple<uint32_t, uint32_t, std::string, std::string, int64_t, int64_t, int64_t, int64_t,
    int64_t, int64_t, uint64_t, uint64_t>;
/** Occurrence, step, index, form, run, number of failed runs, worker, its start, checkpoint, the failed runs, the
 * runs that were on a worker when it crashed, those that may have been, the evidence, and when the current run was
 * ordered. Records of former versions lack the last five. */
using TaskFields
    = std::tuple<uint32_t, uint32_t, uint32_t, uint32_t, uint32_t, uint32_t, std::string, int64_t, std::string,
        std::vector<uint32_t>, std::vector<uint32_t>, std::vector<uint32_t>, std::vector<EvidenceFields>, int64_t>;
/** Occurrence, step, index of the first task, number of tasks, and the places of their worker and state. */
using TaskRange = std::tuple<uint32_t, uint32_t, uint32_t, uint32_t, uint32_t, uint32_t>;
/** A worker's id and the start of its incarnation. */
using RowWorker = std::tuple<std::string, int64_t>;

/** Rows in the second form. */
struct TaskTable {
    std::vector<RowWorker> workers;
    /** Packed rows without a task and a worker. */
    std::vector<std::string> states;
    std::vector<TaskRange> ranges;
};

TaskTable makeTaskTable(absl::Span<const TaskFields> rows);
/** The rows of the table; an error if it names what it lacks, or more tasks than a job may have. */
Result<std::vector<TaskFields>> rowsOf(const TaskTable& table);

} // namespace cicada::Internal
