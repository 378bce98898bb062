#pragma once

/** \file
 * What the command lines of all our programs share: --help, --version, the exit codes, and numbers that are checked.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>

namespace cicada {

constexpr int exitSuccess = 0;
/** The program ran, and the answer was a failure. */
constexpr int exitFailure = 1;
/** The command line or the settings are wrong; nothing was done. */
constexpr int exitUsage = 2;

/** Reads a whole number from an option, within bounds; the error names the option. */
Result<int64_t> parseNumber(absl::string_view option, absl::string_view text, int64_t min, int64_t max);
/** Prints the error to stderr as "program: message remedy" and returns `code`. */
int reportError(absl::string_view program, const Error& error, int code);
/** Prints "program version" to stdout and returns success. */
int printVersion(absl::string_view program);
/** The whole of a file. */
Result<std::string> readFile(const std::string& path);

} // namespace cicada
