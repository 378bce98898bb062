#pragma once

/** \file
 * What the owner of a cell keeps of jobs that move to other cells.
 */

#include "Clock.h"

#include <cstdint>
#include <string>

namespace cicada {

/** A transfer of a job to another cell of which it is not known that it is done. */
struct CellTransfer {
    uint32_t destination = 0;
    /** The revision of the marks in the destination, if that is the job's home cell; else 0. */
    uint64_t markRevision = 0;
    /** An attempt had no reply, and may take effect later. */
    bool mayApplyLate = false;
    int failures = 0;
};

/** Tells where a job is whose home this cell is. */
struct TransferMark {
    uint32_t cell = 0;
    Instant checkedAt;
    /** The job's queue; empty while this owner has not read it. */
    std::string queue {};
};

} // namespace cicada
