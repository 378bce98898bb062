#pragma once

/** \file
 * Internal: how an operators' route waits for a change of the shared configuration.
 */

#include "ConfigDocument.h"
#include "EventLoop.h"
#include "Frontend.h"

namespace cicada::Internal {

/** Runs `begin` on the loop with a callback, and waits until that is called. Never call it on the loop. */
Result<uint64_t> waitForChange(EventLoop& loop, absl::AnyInvocable<void(ConfigDocument::ChangeCallback)> begin);
/** The change id that the operator sent, or a new one. */
std::string changeIdOf(const HttpQuestion& question);

} // namespace cicada::Internal
