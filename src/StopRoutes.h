#pragma once

/** \file
 * The operators' HTTP routes for planned stops: plan a stop, list all with their progress, cancel one.
 */

#include "EventLoop.h"
#include "Frontend.h"
#include "PlannedStopRegistry.h"

namespace cicada {

/** Adds the routes below /v1/stops. The event loop and the registry must outlive the frontend. */
void addStopRoutes(Frontend& frontend, EventLoop& loop, PlannedStopRegistry& book);

} // namespace cicada
