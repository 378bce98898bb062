#include "NodeProcess.h"

#include "absl/strings/str_cat.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>

extern char** environ;

namespace cicada::test {

Result<void> NodeProcess::writeSettings() const
{
    const NodePlan& p = m_plan;
    const auto at = [&p](int port) { return absl::StrCat("\"", p.host, ":", port, "\""); };
    std::ofstream file(absl::StrCat(p.folder, "/", p.name, ".json"));
    file << absl::StrCat(R"({"name":")", p.name, R"(","region":"r","failureDomain":"z","callers":)", at(p.firstPort),
        R"(,"readiness":)", at(p.firstPort + 1), R"(,"peers":)", at(p.firstPort + 2), R"(,"peersReachedAt":)",
        at(p.peersReachedAt), R"(,"metrics":)", at(p.firstPort + 3), R"(,"store":)", at(p.storePort), R"(,"advisor":)",
        at(p.advisorPort), R"(,"processorShare":)", p.processorShare, R"(,"processorSpeed":1,"bounds":{"maxLeaseMs":)",
        absl::ToInt64Milliseconds(p.maxLease), R"(,"endedRetentionS":120,"plannedStopS":6}})");
    if (!file)
        return Error { ErrorKind::InvalidSettings, absl::StrCat("Can't write the settings of ", p.name, "."),
            "Give a folder that can be written to." };
    return success();
}

Result<void> NodeProcess::start()
{
    BOOST_OUTCOME_TRY(writeSettings());
    const std::string settings = absl::StrCat(m_plan.folder, "/", m_plan.name, ".json");
    const std::string log = absl::StrCat(m_plan.folder, "/", m_plan.name, ".log");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::string program = m_plan.program;
    std::string option = "--settings";
    std::string path = settings;
    char* arguments[] = { program.data(), option.data(), path.data(), nullptr };
    const int failure = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        m_pid = 0;
        return Error { ErrorKind::InvalidSettings, absl::StrCat("Can't start ", program, "."),
            "Build cicada-node and name it with --node." };
    }
    m_isEndExpected = false;
    return success();
}

void NodeProcess::kill()
{
    if (m_pid == 0)
        return;
    m_isEndExpected = true;
    ::kill(m_pid, SIGKILL);
    // A process that was stopped ends by this signal too.
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = 0;
}

void NodeProcess::signal(int number) const
{
    if (m_pid != 0)
        ::kill(m_pid, number);
}

bool NodeProcess::isRunning()
{
    if (m_pid == 0)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == 0)
        return true;
    m_pid = 0;
    m_ownEnds += m_isEndExpected ? 0 : 1;
    return false;
}

} // namespace cicada::test
