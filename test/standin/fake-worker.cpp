/** \file
 * A stand-in for workers: several in one process, each on a port of its own. They run nothing; a task takes as long as
 * its command says ("work-ms=50", one second when it says nothing). Together they judge what the promises need: tasks
 * that ran in two places at once, the most that was in use, and how often each task was started.
 *
 * GET /control on any of them shows the counts; PUT /control?failAll=1 makes that one worker fail everything.
 */

#include "../support/WorkerModel.h"

#include "CommandLine.h"
#include "HttpThreadPool.h"
#include "Json.h"
#include "Settings.h"

#include "absl/synchronization/mutex.h"

#include <getopt.h>

#include <iostream>
#include <list>
#include <map>
#include <thread>

namespace {

using namespace cicada;
using Internal::Json;
using Testing::WorkerModel;

constexpr size_t maxConnections = 64;
constexpr size_t maxBodyBytes = 4 << 20;
constexpr absl::Duration advanceInterval = absl::Milliseconds(5);

/** All workers of the process under one lock, so that the judge sees their starts and ends in one order. */
class Workers {
public:
    WorkerModel& add(const std::string& name, Resources capacity, uint64_t boot);
    void addRoutes(httplib::Server& server, WorkerModel& worker);
    /** Ends runs when they are due, until the process ends. */
    void run();

private:
    void judge(const RunId& id, bool started);
    Json counts() const;

    absl::Mutex m_mutex;
    SystemClock m_clock;
    std::list<WorkerModel> m_workers;
    std::map<std::pair<std::string, uint32_t>, int> m_running;
    std::map<std::pair<std::string, uint32_t>, int> m_starts;
    uint64_t m_overlapping = 0;
};

WorkerModel& Workers::add(const std::string& name, Resources capacity, uint64_t boot)
{
    m_workers.emplace_back(name, capacity, boot);
    m_workers.back().onChange = [this](const RunId& id, bool started) { judge(id, started); };
    return m_workers.back();
}

void Workers::judge(const RunId& id, bool started)
{
    int& running = m_running[{ id.job, id.task }];
    running += started ? 1 : -1;
    m_overlapping += started && running > 1;
    m_starts[{ id.job, id.task }] += started;
}

Json Workers::counts() const
{
    uint64_t overfull = 0;
    uint64_t starts = 0;
    uint64_t refused = 0;
    size_t running = 0;
    double maxUsed = 0;
    for (const WorkerModel& worker : m_workers) {
        overfull += worker.overfull;
        starts += worker.starts;
        refused += worker.refused;
        running += worker.running();
        const double cpu = static_cast<double>(worker.maxCpu) / static_cast<double>(worker.capacity().cpuMillis);
        const double memory = static_cast<double>(worker.maxMemory) / static_cast<double>(worker.capacity().memoryMiB);
        maxUsed = std::max({ maxUsed, cpu, memory });
    }
    uint64_t startedTwice = 0;
    for (const auto& [task, count] : m_starts)
        startedTwice += count > 1;
    return { { "overlapping", m_overlapping }, { "overfull", overfull }, { "maxUsed", maxUsed }, { "starts", starts },
        { "startedTwice", startedTwice }, { "tasks", m_starts.size() }, { "running", running },
        { "refused", refused } };
}

void Workers::addRoutes(httplib::Server& server, WorkerModel& worker)
{
    const auto answer = [](httplib::Response& response, bool done) {
        response.status = done ? 200 : 409;
        response.set_content(done ? "done" : "refused", "text/plain");
    };
    server.Post("/v1/sync", [this, &worker](const httplib::Request& request, httplib::Response& response) {
        const auto message = decodeWorkerSync(request.body);
        absl::MutexLock lock(&m_mutex);
        if (!message)
            response.status = 400;
        else
            response.set_content(encode(worker.sync(message.value(), m_clock.now())), "application/json");
    });
    server.Post("/v1/start", [this, &worker, answer](const httplib::Request& request, httplib::Response& response) {
        const auto message = decodeWorkerStart(request.body);
        absl::MutexLock lock(&m_mutex);
        answer(response, message && worker.start(message.value(), m_clock.now()));
    });
    server.Post("/v1/stop", [this, &worker, answer](const httplib::Request& request, httplib::Response& response) {
        const auto message = decodeWorkerStop(request.body);
        absl::MutexLock lock(&m_mutex);
        answer(response, message && worker.stop(message.value(), m_clock.now()));
    });
    const auto control = [this, &worker](const httplib::Request& request, httplib::Response& response) {
        absl::MutexLock lock(&m_mutex);
        if (request.has_param("failAll"))
            worker.failAll = request.get_param_value("failAll") == "1";
        response.set_content(counts().dump(), "application/json");
    };
    server.Get("/control", control);
    server.Put("/control", control);
}

void Workers::run()
{
    while (true) {
        absl::SleepFor(advanceInterval);
        absl::MutexLock lock(&m_mutex);
        for (WorkerModel& worker : m_workers)
            worker.advance(m_clock.now());
    }
}

} // namespace

int main(int argc, char** argv)
{
    const option options[]
        = { { "listen", required_argument, nullptr, 'l' }, { "count", required_argument, nullptr, 'c' },
              { "cpu-millis", required_argument, nullptr, 'p' }, { "memory-mib", required_argument, nullptr, 'm' },
              { "accelerators", required_argument, nullptr, 'a' }, { "prefix", required_argument, nullptr, 'n' }, {} };
    Endpoint first { "127.0.0.1", 7400 };
    int64_t count = 1;
    Resources capacity { 16000, 32768, 0 };
    std::string prefix = "worker";
    for (int option; (option = getopt_long(argc, argv, "l:c:p:m:a:n:", options, nullptr)) != -1;) {
        if (option == 'l')
            first = parseEndpoint(optarg).value();
        else if (option == 'c')
            count = parseNumber("count", optarg, 1, 200).value();
        else if (option == 'p')
            capacity.cpuMillis = parseNumber("cpu-millis", optarg, 1, 1000000).value();
        else if (option == 'm')
            capacity.memoryMiB = parseNumber("memory-mib", optarg, 1, 10000000).value();
        else if (option == 'a')
            capacity.accelerators = parseNumber("accelerators", optarg, 0, 1000).value();
        else if (option == 'n')
            prefix = optarg;
        else
            return exitUsage;
    }
    Workers workers;
    std::list<httplib::Server> servers;
    std::vector<std::thread> threads;
    const auto boot = static_cast<uint64_t>(absl::GetCurrentTimeNanos());
    for (int64_t i = 0; i < count; ++i) {
        WorkerModel& worker = workers.add(absl::StrCat(prefix, "-", i), capacity, boot + static_cast<uint64_t>(i));
        servers.emplace_back();
        Internal::prepareServer(servers.back(), maxConnections, maxBodyBytes);
        workers.addRoutes(servers.back(), worker);
        const int port = first.port + static_cast<int>(i);
        if (!servers.back().bind_to_port(first.host, port)) {
            std::cerr << "fake-worker: port " << port << " can't be bound\n";
            std::_Exit(exitFailure);
        }
        threads.emplace_back([&server = servers.back()] { server.listen_after_bind(); });
    }
    workers.run();
    return exitSuccess;
}
