/** \file
 * cicada-entry, the daemon that runs one entry of cicadaspread. All entries have the same role.
 */

#include "CommandLine.h"
#include "DaemonCommandLine.h"
#include "Entry.h"

#include <glog/logging.h>

#include <csignal>

namespace {

using namespace cicada;

constexpr const char* program = "cicada-entry";

constexpr const char* usage = R"(Usage: cicada-entry --settings FILE [--check]
       cicada-entry --print-schema

Runs one entry of cicadaspread, which accepts requests and jobs from callers and schedules them.

  -s, --settings FILE   the settings, in JSON
  -c, --check           check the settings and exit
      --print-schema    print the JSON schema of the settings
  -h, --help            print this text
  -V, --version         print the version

SIGTERM and SIGINT start a planned stop: work in flight finishes first.
Exit codes: 0 planned stop completed, 1 failed, 2 invalid command line or settings.
)";

/** Blocks SIGTERM and SIGINT in all threads, so that only the main thread receives them, in sigwait. */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runEntry(Settings settings)
{
    const sigset_t signals = blockStopSignals();
    const std::string name = settings.name;
    auto entry = Entry::create(std::move(settings));
    if (!entry)
        return reportError(program, entry.error(), exitUsage);
    auto started = entry.value()->start();
    if (!started)
        return reportError(program, started.error(), exitUsage);
    LOG(INFO) << "entry " << name << " is up";
    int signal = 0;
    sigwait(&signals, &signal);
    LOG(INFO) << "entry " << name << " starts a planned stop";
    entry.value()->stop();
    return exitSuccess;
}

} // namespace

int main(int argc, char** argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    DaemonOptions options;
    if (const auto exitCode = readDaemonOptions({ program, usage, settingsSchema() }, argc, argv, options))
        return *exitCode;
    auto settings = loadSettings(options.settingsPath);
    if (!settings)
        return reportError(program, settings.error(), exitUsage);
    if (options.isCheckOnly)
        return reportValidSettings(options);
    return runEntry(std::move(settings.value()));
}
