#pragma once

/** \file
 * The operators' HTTP routes for profiles: read, change and delete, with ETag and If-Match.
 */

#include "Frontend.h"
#include "Loop.h"
#include "ProfileBook.h"

namespace cicada {

/** Adds the routes below /v1/profiles. The loop and the book must outlive the frontend. */
void addProfileRoutes(Frontend& frontend, Loop& loop, ProfileBook& book);

} // namespace cicada
