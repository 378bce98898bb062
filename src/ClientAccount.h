#pragma once

/** \file
 * A client account as the operator's configuration describes it: what its jobs may use, and its share when capacity is
 * short.
 */

#include "BackEnds.h"

#include <string>

namespace cicada {

/** One client account in force. */
struct ClientAccount {
    std::string name;
    /** Its share in relation to other accounts, and the jobs a second up to which it is owed service. */
    double weight = 1;
    /** What its tasks may have allocated on all workers together; 0 in a field is no limit there. */
    Resources limit;

    bool isLimited() const { return limit.cpuMillis > 0 || limit.memoryMiB > 0 || limit.accelerators > 0; }
};

} // namespace cicada
