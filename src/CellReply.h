#pragma once

/** \file
 * What the owner of a cell replies to requests about a job.
 */

#include "CellJob.h"

#include <cstdint>

namespace cicada {

/** Outcome of a request about a job. */
enum class CellOutcome {
    /** The job is stored, by this request or an earlier one. */
    Accepted,
    /** The job was not accepted: it has not run and will not run. */
    Refused,
    Found,
    Cancelled,
    /** The job is in another cell, which the reply names. */
    Moved,
    /** There is no such job, or it ended longer ago than the retention period. */
    Gone,
    /** This entry no longer owns the cell. */
    NotOwner,
};

/** Why a job was refused. Peers exchange the values. */
enum class RefusalCode : uint32_t {
    /** It may be accepted later. */
    Unspecified = 0,
    /** It can't run while its account has this limit. Peers exchange the seconds after which other jobs may be sent
     * again in the same field, which are fewer. */
    LargerThanAccountLimit = 256,
    /** A job of another queue has the id. */
    IdInUse = 257,
};

struct CellReply {
    CellOutcome outcome = CellOutcome::NotOwner;
    JobPhase phase = JobPhase::Queued;
    /** After Moved, the cell in which the job is. */
    uint32_t cell = 0;
    /** After Refused. */
    RefusalCode reason = RefusalCode::Unspecified;
    /** After a refusal by admission control, when the job may be sent again; else 0. */
    uint32_t retryAfterSeconds = 0;
    /** After Found, of a job that was given up as workers crashed under one of its tasks: how many did; else 0. */
    uint32_t crashes = 0;

    static CellReply found(JobPhase phase, uint32_t crashes)
    {
        CellReply reply { CellOutcome::Found, phase };
        reply.crashes = crashes;
        return reply;
    }
};

} // namespace cicada
