/** \file
 * A stand-in for executors: several in one process, each on a port of its own. They run nothing; a run takes as long
 * as its body says ("work-ms=50 ...", 10 ms when it says nothing) and is answered with its body. They count what the
 * promises need: most slots in use at once, runs per id, starts under an old epoch, work after leaving.
 *
 * GET /control shows the counts; PUT /control?failAll=1&hang=1&leaving=1 sets switches, on each executor's own port.
 */

#include "CommandLine.h"
#include "HttpThreadPool.h"
#include "Json.h"
#include "Settings.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include <getopt.h>
#include <iostream>
#include <list>

namespace {

using namespace cicada;
using Internal::Json;

constexpr size_t maxConnections = 64;
constexpr size_t maxBodyBytes = 64 << 20;
constexpr int64_t defaultWorkMs = 10;

struct Run {
    std::string state;
    std::string body;
    std::string contentType;
    int status = 200;
};

class Executor {
public:
    Executor(std::string name, uint32_t slots)
        : m_name(std::move(name))
        , m_slots(slots)
    {
    }
    void addRoutes(httplib::Server& server);

private:
    void start(const httplib::Request&, httplib::Response&);
    void ask(const httplib::Request&, httplib::Response&);
    void stop(const httplib::Request&, httplib::Response&);
    void list(httplib::Response&);
    void listStarted(httplib::Response&);
    void fence(const httplib::Request&, httplib::Response&);
    void control(const httplib::Request&, httplib::Response&);
    std::string refusal(const std::string& id, uint64_t epoch);
    /** True, and answered so, when the id is not known but may be from before this process started. */
    bool forgotten(const httplib::Request&, httplib::Response&);

    const std::string m_name;
    const uint32_t m_slots;
    const absl::Time m_startedAt = absl::Now();
    absl::Mutex m_mutex;
    absl::CondVar m_changed;
    absl::flat_hash_map<std::string, Run> m_runs;
    absl::flat_hash_map<std::string, uint32_t> m_started;
    uint64_t m_epoch = 0;
    uint32_t m_inUse = 0;
    uint32_t m_maxInUse = 0;
    uint64_t m_overfull = 0;
    uint64_t m_oldEpoch = 0;
    uint64_t m_afterLeaving = 0;
    int64_t m_failAll = 0;
    int64_t m_hang = 0;
    int64_t m_leaving = 0;
    /** Lets a test pretend that this process has run for longer. */
    int64_t m_upMs = 0;
};

int64_t workMillis(const std::string& body)
{
    int64_t millis = defaultWorkMs;
    absl::string_view text(body);
    if (absl::ConsumePrefix(&text, "work-ms=")) {
        const size_t end = text.find_first_not_of("0123456789");
        if (!absl::SimpleAtoi(text.substr(0, end), &millis))
            return defaultWorkMs;
    }
    return millis;
}

/** Why a start is refused, or nothing. */
std::string Executor::refusal(const std::string& id, uint64_t epoch)
{
    if (epoch < m_epoch) {
        ++m_oldEpoch;
        return "The start carries an old epoch.";
    }
    m_epoch = epoch;
    if (m_runs.contains(id))
        return "The id was started or stopped before.";
    if (m_inUse >= m_slots) {
        ++m_overfull;
        return "All slots are in use.";
    }
    return "";
}

void Executor::start(const httplib::Request& request, httplib::Response& response)
{
    const std::string id = request.matches[1];
    uint64_t epoch = 0;
    if (!absl::SimpleAtoi(request.get_header_value("Cicada-Epoch"), &epoch))
        epoch = 0;
    absl::MutexLock lock(&m_mutex);
    const std::string reason = refusal(id, epoch);
    if (!reason.empty()) {
        response.status = 409;
        response.set_header("Cicada-Run", "refused");
        response.set_content(reason, "text/plain");
        return;
    }
    m_afterLeaving += m_leaving != 0;
    ++m_started[id];
    m_maxInUse = std::max(m_maxInUse, ++m_inUse);
    m_runs[id].state = "running";
    const absl::Time until = m_failAll ? absl::Now() : absl::Now() + absl::Milliseconds(workMillis(request.body));
    while ((m_hang || absl::Now() < until) && m_runs[id].state == "running")
        m_changed.WaitWithTimeout(&m_mutex, m_hang ? absl::Milliseconds(50) : until - absl::Now());
    Run& run = m_runs[id];
    --m_inUse;
    run.status = m_failAll ? 500 : 200;
    run.body = m_failAll ? "failed" : request.body;
    run.contentType = request.get_header_value("Content-Type");
    run.state = "done";
    response.status = run.status;
    response.set_header("Cicada-Run", run.state);
    response.set_content(run.body, run.contentType);
}

bool Executor::forgotten(const httplib::Request& request, httplib::Response& response)
{
    int64_t ageMs = 0;
    if (m_runs.contains(request.matches[1].str())
        || !absl::SimpleAtoi(request.get_header_value("Cicada-Age-Ms"), &ageMs)
        || absl::Now() - m_startedAt + absl::Milliseconds(m_upMs) >= absl::Milliseconds(ageMs))
        return false;
    response.status = 404;
    response.set_header("Cicada-Run", "forgotten");
    return true;
}

void Executor::ask(const httplib::Request& request, httplib::Response& response)
{
    absl::MutexLock lock(&m_mutex);
    if (forgotten(request, response))
        return;
    auto it = m_runs.find(request.matches[1].str());
    if (it == m_runs.end()) {
        response.status = 404;
        response.set_header("Cicada-Run", "never");
        return;
    }
    response.set_header("Cicada-Run", it->second.state);
    if (it->second.state != "done") {
        response.status = 202;
        return;
    }
    response.status = it->second.status;
    response.set_content(it->second.body, it->second.contentType);
}

void Executor::stop(const httplib::Request& request, httplib::Response& response)
{
    const std::string id = request.matches[1];
    absl::MutexLock lock(&m_mutex);
    if (forgotten(request, response))
        return;
    Run& run = m_runs[id];
    if (run.state.empty())
        run.state = "stopped";
    else if (run.state == "running" && !request.has_param("only"))
        run.state = "stopping";
    m_changed.SignalAll();
    response.set_header("Cicada-Run", run.state);
}

void Executor::list(httplib::Response& response)
{
    absl::MutexLock lock(&m_mutex);
    Json running = Json::array();
    for (const auto& [id, run] : m_runs) {
        if (run.state == "running")
            running.push_back(id);
    }
    response.set_content(
        Json { { "epoch", m_epoch }, { "slots", m_slots }, { "running", running } }.dump(), "application/json");
}

/** Every id that was ever started here, one a line, for the judges of the tests. */
void Executor::listStarted(httplib::Response& response)
{
    absl::MutexLock lock(&m_mutex);
    std::string ids;
    for (const auto& [id, count] : m_started)
        absl::StrAppend(&ids, id, "\n");
    response.set_content(ids, "text/plain");
}

/** Takes note of a new owner's epoch, so that starts under an older one are refused from now on. */
void Executor::fence(const httplib::Request& request, httplib::Response& response)
{
    uint64_t epoch = 0;
    absl::MutexLock lock(&m_mutex);
    if (!absl::SimpleAtoi(request.matches[1].str(), &epoch) || epoch < m_epoch) {
        response.status = 412;
        return;
    }
    m_epoch = epoch;
}

void Executor::control(const httplib::Request& request, httplib::Response& response)
{
    absl::MutexLock lock(&m_mutex);
    const std::pair<const char*, int64_t*> switches[]
        = { { "failAll", &m_failAll }, { "hang", &m_hang }, { "leaving", &m_leaving }, { "upMs", &m_upMs } };
    for (const auto& [name, value] : switches) {
        if (request.has_param(name) && !absl::SimpleAtoi(request.get_param_value(name), value))
            response.status = 400;
    }
    m_changed.SignalAll();
    uint64_t runs = 0;
    uint64_t doubled = 0;
    for (const auto& [id, count] : m_started) {
        runs += count;
        doubled += count > 1;
    }
    response.set_content(Json { { "name", m_name }, { "slots", m_slots }, { "maxInUse", m_maxInUse },
                             { "inUse", m_inUse }, { "runs", runs }, { "doubled", doubled }, { "overfull", m_overfull },
                             { "oldEpoch", m_oldEpoch }, { "afterLeaving", m_afterLeaving } }
                             .dump(),
        "application/json");
}

void Executor::addRoutes(httplib::Server& server)
{
    const std::string runPattern = R"(/v1/runs/([^/]+))";
    server.Put(runPattern, [this](const auto& request, auto& response) { start(request, response); });
    server.Get(runPattern, [this](const auto& request, auto& response) { ask(request, response); });
    server.Delete(runPattern, [this](const auto& request, auto& response) { stop(request, response); });
    server.Get("/v1/runs", [this](const auto&, auto& response) { list(response); });
    server.Put(R"(/v1/epoch/(\d+))", [this](const auto& request, auto& response) { fence(request, response); });
    server.Get("/started", [this](const auto&, auto& response) { listStarted(response); });
    server.Get("/control", [this](const auto& request, auto& response) { control(request, response); });
    server.Put("/control", [this](const auto& request, auto& response) { control(request, response); });
}

} // namespace

int main(int argc, char** argv)
{
    const option options[]
        = { { "listen", required_argument, nullptr, 'l' }, { "count", required_argument, nullptr, 'c' },
              { "slots", required_argument, nullptr, 's' }, { "prefix", required_argument, nullptr, 'p' }, {} };
    Endpoint first { "127.0.0.1", 7300 };
    int64_t count = 1;
    int64_t slots = 8;
    std::string prefix = "executor";
    for (int option; (option = getopt_long(argc, argv, "l:c:s:p:", options, nullptr)) != -1;) {
        if (option == 'l')
            first = parseEndpoint(optarg).value();
        else if (option == 'c')
            count = parseNumber("count", optarg, 1, 200).value();
        else if (option == 's')
            slots = parseNumber("slots", optarg, 1, 64).value();
        else if (option == 'p')
            prefix = optarg;
        else
            return exitUsage;
    }
    std::list<Executor> executors;
    std::list<httplib::Server> servers;
    std::vector<std::thread> threads;
    for (int64_t i = 0; i < count; ++i) {
        executors.emplace_back(absl::StrCat(prefix, "-", i), static_cast<uint32_t>(slots));
        servers.emplace_back();
        Internal::prepareServer(servers.back(), maxConnections, maxBodyBytes);
        executors.back().addRoutes(servers.back());
        const int port = first.port + static_cast<int>(i);
        if (!servers.back().bind_to_port(first.host, port)) {
            std::cerr << "fake-executor: port " << port << " can't be bound\n";
            std::_Exit(exitFailure);
        }
        threads.emplace_back([&server = servers.back()] { server.listen_after_bind(); });
    }
    for (std::thread& thread : threads)
        thread.join();
    return exitSuccess;
}
