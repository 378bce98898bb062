#pragma once

/** \file
 * Shared by the command lines of all programs: --help, --version, the exit codes and range-checked numbers.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>

namespace cicada {

constexpr int exitSuccess = 0;
/** The program ran and the operation failed. */
constexpr int exitFailure = 1;
/** The command line or the settings are wrong; nothing was done. */
constexpr int exitUsage = 2;

/** Parses the value of an option as an integer from `min` to `max`; the error names the option. */
Result<int64_t> parseNumber(absl::string_view option, absl::string_view text, int64_t min, int64_t max);
/** Prints the error to stderr as "program: message remedy" and returns `code`. */
int reportError(absl::string_view program, const Error& error, int code);
/** Prints "program version" to stdout and returns success. */
int printVersion(absl::string_view program);
/** Reads a whole file into memory. The error is of the given kind and calls the file `what`. */
Result<std::string> readFile(
    const std::string& path, ErrorKind kind = ErrorKind::InvalidRequest, absl::string_view what = "file");

} // namespace cicada
