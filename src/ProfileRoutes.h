#pragma once

/** \file
 * The operators' HTTP routes for profiles: read, change and delete, with ETag and If-Match.
 */

#include "Dispatcher.h"
#include "EventLoop.h"
#include "Frontend.h"
#include "ProfileRegistry.h"

namespace cicada {

/** Adds the routes below /v1/profiles. All arguments must outlive the frontend. */
void addProfileRoutes(Frontend& frontend, EventLoop& loop, ProfileRegistry& registry, const Dispatcher& dispatcher);

} // namespace cicada
