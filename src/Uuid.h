#pragma once

/** \file
 * Request and job ids: UUIDs in their usual text form.
 */

#include "absl/strings/string_view.h"

#include <string>

namespace cicada {

/** Whether the text is a UUID, as in 123e4567-e89b-12d3-a456-426614174000. */
bool isUuid(absl::string_view text);
/** A new random UUID, version 4. Thread-safe. */
std::string randomUuid();

} // namespace cicada
