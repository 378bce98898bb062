#pragma once

/** \file
 * Internal: JSON parsing and schema checks. The JSON library's headers compile slowly, so this header is included by
 * sources only.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <nlohmann/json.hpp>

namespace cicada::Internal {

using Json = nlohmann::json;

/** Documents are read and written recursively, so the nesting is bounded to protect the stack of the thread. */
constexpr size_t maxJsonNesting = 64;

/** Parses `text`; `what` names the document in the error. Nesting deeper than maxJsonNesting and numbers that a double
 * can't hold are errors. */
Result<Json> parseJson(absl::string_view text, absl::string_view what, ErrorKind kind);
/** Checks `document` against a JSON schema. The error names the first field that does not fit. */
Result<void> checkSchema(const Json& document, absl::string_view schema, absl::string_view what, ErrorKind kind);

} // namespace cicada::Internal
