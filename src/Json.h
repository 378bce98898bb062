#pragma once

/** \file
 * Internal: what several sources need when they read JSON. The library's headers compile slowly, so this header
 * is included by sources only.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <nlohmann/json.hpp>

namespace cicada::Internal {

using Json = nlohmann::json;

/** The deepest nesting that is accepted. Documents are read and written by recursion, and threads' stacks are finite.
 */
constexpr size_t maxJsonNesting = 64;

/** Parses `text`; `what` names the document in the error. Nesting deeper than maxJsonNesting is an error. */
Result<Json> parseJson(absl::string_view text, absl::string_view what, ErrorKind kind);
/** Checks `document` against a JSON schema. The error names the first field that does not fit. */
Result<void> checkSchema(const Json& document, absl::string_view schema, absl::string_view what, ErrorKind kind);

} // namespace cicada::Internal
