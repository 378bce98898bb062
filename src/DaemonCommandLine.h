#pragma once

/** \file
 * The command line that the daemons share: where the settings are, whether to check them only, and their schema.
 */

#include "absl/strings/string_view.h"

#include <optional>
#include <string>

namespace cicada {

/** What the command line of one daemon prints. */
struct DaemonProgram {
    const char* name = "";
    const char* usage = "";
    absl::string_view settingsSchema;
};

struct DaemonOptions {
    std::string settingsPath;
    bool isCheckOnly = false;
};

/** Reads the command line into `options`, whose settings path is the default on entry. Returns the exit code if there
 * is nothing left to do. */
std::optional<int> readDaemonOptions(const DaemonProgram& program, int argc, char** argv, DaemonOptions& options);
/** Prints that the settings are valid, and returns success. */
int reportValidSettings(const DaemonOptions& options);

} // namespace cicada
