#pragma once

/** \file
 * Jobs over HTTP: POST /v1/jobs, GET and DELETE /v1/jobs/{id}.
 */

#include "EventLoop.h"
#include "Frontend.h"
#include "JobDirectory.h"
#include "ProfileBook.h"

namespace cicada {

/** Adds the routes. All arguments must outlive the frontend. */
void addJobRoutes(Frontend& frontend, EventLoop& loop, ProfileBook& profiles, JobDirectory& directory);

} // namespace cicada
