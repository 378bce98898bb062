#pragma once

/** \file
 * The callers' HTTP routes for jobs: POST /v1/jobs, GET and DELETE /v1/jobs/{id}.
 */

#include "EventLoop.h"
#include "Frontend.h"
#include "JobDirectory.h"
#include "ProfileRegistry.h"

namespace cicada {

/** Adds the routes below /v1/jobs. All arguments must outlive the frontend. */
void addJobRoutes(Frontend& frontend, EventLoop& loop, ProfileRegistry& profiles, JobDirectory& directory);

} // namespace cicada
