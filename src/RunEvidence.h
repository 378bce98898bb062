#pragma once

/** \file
 * What is known of the runs that count against a task, and of those of which it is not known whether they do. It is
 * part of the job's run record, so that whoever gives the job up, or loads it later, can say which runs counted, and
 * why.
 */

#include "Clock.h"

#include "absl/strings/string_view.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicada {

/** What a run says about its task. The values are stored. */
enum class EvidenceKind : uint32_t {
    /** The worker listed the run as failed. */
    Failed = 1,
    /** The worker had confirmed the run, and crashed while the run's lease lasted. */
    Crash = 2,
    /** The order may have reached the worker, which crashed while the lease of the order lasted. */
    PossibleCrash = 3,
    /** The run was lost with a worker that can't be heard, and may only be cut off. It counts for nothing. */
    Undecided = 4,
    /** The worker restarted, but the run's lease may have ended before. It counts for nothing by itself. */
    LateRestart = 5,
};

/** The stable name of a kind, for logs. */
absl::string_view evidenceKindName(EvidenceKind);

/** The evidence of one run. Times are in milliseconds since 1970; 0 if unknown. */
struct RunEvidence {
    uint32_t run = 0;
    EvidenceKind kind = EvidenceKind::Undecided;
    std::string worker;
    /** How the end of the run showed: a stable name, for logs. */
    std::string source;
    int64_t orderedUnixMillis = 0;
    /** Until when the run's lease lasted at least. */
    int64_t leaseUntilUnixMillis = 0;
    /** When the worker's next incarnation started. */
    int64_t nextStartUnixMillis = 0;
    int64_t foundUnixMillis = 0;
    /** How long after the start was ordered the worker, which had confirmed the run, was last heard; -1 if unknown. */
    int64_t knownAtWorkMillis = -1;
    /** How long after that the worker's end closed its connections, not to be heard again; -1 if it did not. */
    int64_t closedAfterMillis = -1;
    /** The fencing token of the owner that found it. */
    uint64_t token = 0;
    /** Of a failed run, the sequence number under which the worker listed its end. */
    uint64_t sequence = 0;
};

/** Whether the worker's end closed its connections when the run had just begun, as a task does that crashes the worker
 * which starts it. */
bool hasClosedSoon(const RunEvidence&);

/** Adds evidence in place of what is there of the same run; beyond `maxEvidencePerTask` the oldest goes that
 * is undecided, or else the oldest late restart, or else the oldest. */
void addEvidence(std::vector<RunEvidence>& all, RunEvidence added);
/** Removes the evidence of the run; false if there was none. */
bool removeEvidence(std::vector<RunEvidence>& all, uint32_t run);

constexpr size_t maxEvidencePerTask = 16;

/** How far the times of day of workers and entries may differ. */
constexpr absl::Duration maxClockDifference = absl::Seconds(2);

/** What the next incarnation of a worker says of its start. */
struct NextIncarnation {
    /** By its own time of day, in milliseconds since 1970; 0 if unknown. */
    int64_t startedUnixMillis = 0;
    /** A reading of its clock, which begins anew with each incarnation. */
    std::optional<int64_t> clockMillis;
};

/** How an incarnation of a worker ended, as far as its owner knows. */
struct IncarnationLoss {
    /** A stable name, for logs. */
    absl::string_view source;
    /** The next incarnation is known. Otherwise the worker may only be cut off. */
    bool hasRestarted = false;
    /** When the next incarnation started, by its own time of day; 0 if unknown. */
    int64_t nextStartUnixMillis = 0;
    /** The same on this entry's clock; nothing if the times of day differ too much. */
    std::optional<Instant> nextStartAt;
    Instant foundAt;

    /** Whether the incarnation certainly ended by then. */
    bool hasEndedBy(Instant time) const;
};

} // namespace cicada
