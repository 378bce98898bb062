#pragma once

/** \file
 * What an entry keeps for each service whose requests it places.
 */

#include "CrossRegionGate.h"
#include "RequestQueue.h"
#include "ServiceDemand.h"
#include "SlotReserve.h"

#include <array>
#include <memory>

namespace cicada {

/** The state of one service. Arrays of two hold the value for short work and the value for long work. */
struct ServiceState {
    std::unique_ptr<RequestQueue> queue;
    std::unique_ptr<SlotReserve> reserve;
    ServiceDemand demand;
    std::array<CrossRegionGate, 2> gates;
    /** The number of own requests that run on peers' slots. */
    std::array<uint32_t, 2> runsOnPeers {};
    bool isDispatching = false;
    bool dispatchAgain = false;
};

} // namespace cicada
