#pragma once

/** \file
 * The operators' HTTP routes for planned stops: plan, list with progress, cancel.
 */

#include "EventLoop.h"
#include "Frontend.h"
#include "StopBook.h"

namespace cicada {

/** Adds the routes below /v1/stops. The loop and the book must outlive the frontend. */
void addStopRoutes(Frontend& frontend, EventLoop& loop, StopBook& book);

} // namespace cicada
