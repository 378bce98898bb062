#include "Grid.h"

#include "JsonBody.h"

#include "absl/strings/str_cat.h"

namespace cicada::test {

namespace {

    constexpr size_t maxConnections = 100000;
    constexpr size_t maxBodyBytes = 2 << 20;
    constexpr size_t maxKeptBytes = size_t { 1 } << 30;

    using platform::HttpHandler;
    using platform::HttpRequest;
    using platform::HttpResponder;
    using platform::HttpResponse;
    using platform::HttpServer;
    using platform::Json;
    using platform::parseBody;

    constexpr const char* service = "s";
    constexpr int maxMissedReports = 3;

    /** Every worker is allowed. */
    HttpResponse advise(const std::string& body)
    {
        const Json json = parseBody(body).value_or(Json::object());
        Json allowed = Json::array();
        for (const Json& worker : json.value("workers", Json::array()))
            allowed.push_back(Json::array({ worker, absl::StrCat("t-", worker.get<std::string>()) }));
        return { 200, Json { { "allowed", allowed }, { "validityMs", 2500 } }.dump() };
    }

} // namespace

Grid::Grid(boost::asio::io_context& io, GridLayout layout)
    : m_io(io)
    , m_layout(std::move(layout))
    , m_store(io, m_layout.seed)
    , m_reachesStore(static_cast<size_t>(m_layout.executors), true)
    , m_listedStart(static_cast<size_t>(m_layout.executors))
{
}

Result<std::unique_ptr<Grid>> Grid::create(boost::asio::io_context& io, GridLayout layout, GridObserver& observer)
{
    std::unique_ptr<Grid> grid(new Grid(io, std::move(layout)));
    Grid& g = *grid;
    platform::HttpLimits limits;
    limits.maxConnections = maxConnections;
    limits.maxBodyBytes = maxBodyBytes;
    limits.maxKeptBytes = maxKeptBytes;
    const auto serve = [&](uint16_t port, HttpHandler handler) -> Result<void> {
        g.m_servers.push_back(std::make_unique<HttpServer>(io, limits, std::move(handler)));
        BOOST_OUTCOME_TRY(status, g.m_servers.back()->listen({ g.m_layout.host, port }));
        if (status == ListenStatus::Listening)
            return success();
        return Error { ErrorKind::InvalidSettings, absl::StrCat("Port ", port, " is in use."), "Choose other ports." };
    };
    BOOST_OUTCOME_TRY(serve(g.m_layout.storePort,
        [&g](const HttpRequest& request, HttpResponder respond) { g.m_store.handle(request, std::move(respond)); }));
    BOOST_OUTCOME_TRY(serve(g.m_layout.advisorPort,
        [](const HttpRequest& request, HttpResponder respond) { respond(advise(request.body)); }));
    for (int i = 0; i < g.m_layout.executors; ++i) {
        g.m_executors.push_back(std::make_unique<GridExecutor>(
            io, absl::StrCat("i-", i), observer, g.m_layout.seed + static_cast<uint64_t>(i)));
        GridExecutor* executor = g.m_executors.back().get();
        BOOST_OUTCOME_TRY(serve(static_cast<uint16_t>(g.m_layout.firstExecutorPort + i),
            [executor](
                const HttpRequest& request, HttpResponder respond) { executor->handle(request, std::move(respond)); }));
        g.list(static_cast<size_t>(i));
    }
    g.m_store.put("servers/i-odd", "not JSON");
    g.configure();
    return grid;
}

void Grid::configure()
{
    const Json advice = { { "decideMs", 5 }, { "perItemMs", 0.1 }, { "validityMs", 2500 } };
    const Json route = { { "name", "r-a" }, { "hostname", queueHost }, { "prefix", queuePrefix },
        { "kind", "non_idempotent" }, { "timeoutMs", 3000 }, { "targetLatencyMs", 1200 }, { "priority", 1 },
        { "service", service }, { "maxAttempts", maxAttempts }, { "stretch", 2.2 }, { "advice", advice } };
    Json configuration = { { "version", ++m_version }, { "routes", Json::array({ route }) },
        { "services", Json::array() }, { "limits", Json::object() } };
    for (const GridAccount& account : m_layout.accounts)
        configuration["tenants"].push_back(
            { { "name", account.name }, { "apiKeys", Json::array({ account.key }) }, { "priority", 1 },
                { "weight", 20 }, { "maxCount", { { "cpu", account.maxCpuMillis }, { "memMb", 0 }, { "gpu", 0 } } } });
    m_store.put("op/config", configuration.dump());
}

void Grid::list(size_t number, bool isDraining)
{
    if (!m_reachesStore[number])
        return;
    const GridExecutor& executor = *m_executors[number];
    m_listedStart[number] = executor.born();
    const auto port = static_cast<int>(m_layout.firstExecutorPort + number) + m_layout.registeredOffset;
    const Json capacity = { { "cpu", GridLayout::cpuMillis }, { "memMb", GridLayout::memoryMiB }, { "gpu", 0 } };
    const Json entry = { { "service", service }, { "address", absl::StrCat(m_layout.host, ":", port) }, { "zone", "z" },
        { "version", "v1" }, { "slots", 8 }, { "state", isDraining ? "draining" : "ready" }, { "capacity", capacity },
        { "labels", { "a", absl::StrCat("r", number % GridLayout::racks) } }, { "born", executor.born() },
        { "sequence", 1 } };
    m_store.put(absl::StrCat("servers/", executor.id()), entry.dump());
}

void Grid::startReports(absl::Duration interval) { report(interval); }

void Grid::report(absl::Duration interval)
{
    for (auto& [id, missed] : m_missedReports)
        ++missed;
    for (size_t i = 0; i < m_executors.size(); ++i) {
        if (m_store.isDown() || !m_reachesStore[i])
            continue;
        const bool isNew = m_missedReports.insert_or_assign(m_executors[i]->id(), 0).second;
        if (isNew || m_listedStart[i] != m_executors[i]->born())
            list(i);
    }
    removeSilent();
    later(m_io, interval, [this, interval] { report(interval); });
}

void Grid::removeSilent()
{
    for (auto it = m_missedReports.begin(); it != m_missedReports.end();) {
        if (it->second < maxMissedReports) {
            ++it;
            continue;
        }
        m_store.remove(absl::StrCat("servers/", it->first));
        it = m_missedReports.erase(it);
    }
}

} // namespace cicada::test
