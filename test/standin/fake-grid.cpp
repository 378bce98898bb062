/** \file
 * A stand-in for the users' platform: its store, its policy service and some executors, over HTTP as published. Tests
 * of the adapter run it; it does what the pages say and no more, on loopback ports from the given one on. Each start
 * of a task is a line on standard output.
 */

#include "CommandLine.h"
#include "Grid.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <csignal>
#include <iostream>

namespace {

using namespace cicada;
using namespace cicada::test;

constexpr int executorCount = 6;
constexpr absl::Duration work = absl::Milliseconds(300);

/** Every run works for the same time and does well. */
class Announcer final : public GridObserver {
public:
    absl::Duration workOf(const GridRun&) override { return work; }
    bool fails(const GridRun&) override { return false; }
    void started(const std::string& executor, const GridRun& run) override
    {
        std::cout << "start " << run.task << " " << run.number << " " << executor << std::endl;
    }
    void ended(const std::string&, const GridRun&, const std::string&) override { }
    void acknowledged(const GridRun&, const std::string&) override { }
};

} // namespace

int main(int argc, char** argv)
{
    int port = 0;
    if (argc != 2 || !absl::SimpleAtoi(argv[1], &port)) {
        std::cerr << "Usage: fake-grid PORT\nThe store is at PORT, the policy service at PORT+1, executors follow.\n";
        return exitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context io { 1 };
    Announcer announcer;
    GridLayout layout;
    layout.storePort = static_cast<uint16_t>(port);
    layout.advisorPort = static_cast<uint16_t>(port + 1);
    layout.firstExecutorPort = static_cast<uint16_t>(port + 2);
    layout.executors = executorCount;
    const auto grid = Grid::create(io, layout, announcer);
    if (!grid)
        return reportError("fake-grid", grid.error(), exitFailure);
    io.run();
    return exitSuccess;
}
