#pragma once

/** \file
 * Internal: lets an HTTP route for operators wait until a change of the shared configuration is done.
 */

#include "ConfigDocument.h"
#include "EventLoop.h"
#include "Frontend.h"

namespace cicada::Internal {

/** Runs `begin` on the loop with a callback and blocks until the callback is called. Never call it on the loop. */
Result<uint64_t> waitForChange(EventLoop& loop, absl::AnyInvocable<void(ConfigDocument::ChangeCallback)> begin);
/** The change id that the operator sent, or a new one. */
std::string changeIdOf(const RouteRequest& question);

} // namespace cicada::Internal
