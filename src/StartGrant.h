#pragma once

/** \file
 * What a request gets that may start: the slot of one executor, for one start.
 */

#include "BackEnds.h"
#include "Clock.h"

#include <cstdint>
#include <string>

namespace cicada {

/** Permission to send one start to an executor, once. */
struct StartGrant {
    uint64_t id = 0;
    /** The entry whose ledger holds the slot. */
    std::string owner;
    std::string executor;
    Endpoint address;
    uint64_t epoch = 0;
    /** On this process's clock; the start must not be sent after it. */
    Instant startBy = absl::ZeroDuration();
    /** The service and the profile of the run. */
    std::string service {};
    std::string profile {};
    bool isLong = false;
    absl::Duration maxRun = absl::InfiniteDuration();
};

} // namespace cicada
