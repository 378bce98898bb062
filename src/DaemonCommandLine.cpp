#include "DaemonCommandLine.h"

#include "CommandLine.h"

#include <getopt.h>
#include <iostream>

namespace cicada {

std::optional<int> readDaemonOptions(const DaemonProgram& program, int argc, char** argv, DaemonOptions& options)
{
    enum LongOnly { PrintSchema = 256 };
    const option known[] = { { "settings", required_argument, nullptr, 's' }, { "check", no_argument, nullptr, 'c' },
        { "print-schema", no_argument, nullptr, PrintSchema }, { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'V' }, {} };
    for (int option; (option = getopt_long(argc, argv, "s:chV", known, nullptr)) != -1;) {
        switch (option) {
        case 's':
            options.settingsPath = optarg;
            break;
        case 'c':
            options.isCheckOnly = true;
            break;
        case PrintSchema:
            std::cout << program.settingsSchema << "\n";
            return exitSuccess;
        case 'h':
            std::cout << program.usage;
            return exitSuccess;
        case 'V':
            return printVersion(program.name);
        default:
            std::cerr << program.usage;
            return exitUsage;
        }
    }
    if (!options.settingsPath.empty())
        return std::nullopt;
    std::cerr << program.usage;
    return exitUsage;
}

int reportValidSettings(const DaemonOptions& options)
{
    std::cout << options.settingsPath << ": ok\n";
    return exitSuccess;
}

} // namespace cicada
