#pragma once

/** \file
 * What an owner can tell of a run from how its worker's incarnation ended, and the evidence that it keeps of that.
 * Without state or I/O.
 */

#include "CellJob.h"
#include "CellWorker.h"

namespace cicada {

/** A run on a worker whose incarnation has ended, or which can't be heard. */
struct RunOnWorker {
    const CellWorker& worker;
    const RunAllocation& allocation;
    uint32_t run = 0;
    /** The task, if this is its current run; else null. */
    const CellTask* task = nullptr;
};

/** How the worker's incarnation ended, of which the next one is known. */
IncarnationLoss lossOf(
    const CellWorker& worker, absl::string_view source, const NextIncarnation& next, const Clock& clock);

/** What is known of the run, but for how the incarnation ended. */
LostRun lostRunOf(const RunOnWorker& lost);

/** Whether the run was certainly ordered to the incarnation that follows the one that was lost. */
bool wasOrderedAfter(const RunOnWorker& lost, const IncarnationLoss& loss);

/** The evidence of the run; `token` is the fencing token of the owner that found it. */
RunEvidence evidenceOf(
    EvidenceKind kind, const RunOnWorker& lost, const IncarnationLoss& loss, const Clock& clock, uint64_t token);

} // namespace cicada
