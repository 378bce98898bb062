/** \file
 * A stand-in for the users' platform: its store, its policy service and some executors, over HTTP as published. Tests
 * of the adapter run it; it does what the pages say and no more, on loopback ports from the given one on.
 */

#include "Body.h"
#include "CommandLine.h"
#include "HttpServer.h"

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <csignal>
#include <iostream>

namespace {

using namespace cicada;
using namespace cicada::platform;
using SteadyClock = std::chrono::steady_clock;

constexpr int executorCount = 6;

int64_t millisSince(SteadyClock::time_point begin)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - begin).count();
}

/** Calls `function` once, after some milliseconds. */
void later(boost::asio::io_context& io, int64_t millis, std::function<void()> function)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(io, std::chrono::milliseconds(millis));
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code&) { function(); });
}

/** The store. */
class Store {
public:
    explicit Store(boost::asio::io_context& io)
        : m_io(io)
    {
    }

    void handle(const std::string& path, const std::string& query, const std::string& body, HttpRespond respond)
    {
        const Json json = parseBody(body).value_or(Json::object());
        if (path == "/cicadaspread/kv-txn")
            return respond(transact(json));
        if (path == "/cicadaspread/kv-range")
            return respond(range(query));
        if (path == "/cicadaspread/kv-watch")
            return watch(query, std::make_shared<HttpRespond>(std::move(respond)));
        if (path == "/cicadaspread/kv-lease")
            return respond(grant(json.value("ttlMs", int64_t(1000))));
        uint64_t lease = 0;
        if (absl::SimpleAtoi(path.substr(path.rfind('/') + 1), &lease) && path.find("kv-keep") != std::string::npos)
            return respond(keep(lease));
        if (path.find("kv-lease-end") != std::string::npos)
            end(lease);
        respond({ 200, "{}" });
    }

    void put(const std::string& key, const std::string& value, uint64_t lease = 0)
    {
        ++m_revision;
        m_items[key] = { value, m_revision, lease };
        m_events.push_back({ key, m_revision });
    }

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t lease = 0;
    };
    struct Lease {
        int64_t ttl = 0;
        SteadyClock::time_point endsAt;
    };

    static std::string parameter(const std::string& query, const std::string& name)
    {
        for (const auto part : absl::StrSplit(query, '&')) {
            const std::vector<std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
            if (pair.size() == 2 && pair[0] == name)
                return pair[1];
        }
        return "";
    }
    Json show(const std::string& key) const
    {
        const Item& item = m_items.at(key);
        return { { "key", key }, { "value", absl::Base64Escape(item.value) }, { "revision", item.revision },
            { "lease", item.lease } };
    }
    HttpResponse transact(const Json& json)
    {
        Json items = Json::array();
        bool holds = true;
        for (const Json& row : json.value("expected", Json::array())) {
            const std::string key = row.at("key");
            const auto found = m_items.find(key);
            if (found != m_items.end())
                items.push_back(show(key));
            holds = holds && row.at("revision") == (found == m_items.end() ? 0 : found->second.revision);
        }
        if (!holds)
            return { 412, Json { { "items", items } }.dump() };
        ++m_revision;
        for (const Json& row : json.value("writes", Json::array())) {
            std::string value;
            absl::Base64Unescape(row.at("value").get<std::string>(), &value);
            m_items[row.at("key")] = { value, m_revision, row.value("lease", uint64_t(0)) };
            m_events.push_back({ row.at("key"), m_revision });
        }
        for (const Json& key : json.value("remove", Json::array()))
            erase(key, m_revision);
        return { 200, Json { { "revision", m_revision } }.dump() };
    }
    void erase(const std::string& key, uint64_t revision)
    {
        if (m_items.erase(key))
            m_events.push_back({ key, revision });
    }
    HttpResponse range(const std::string& query) const
    {
        constexpr size_t pageSize = 100;
        const std::string prefix = parameter(query, "prefix");
        const std::string after = parameter(query, "after");
        Json items = Json::array();
        bool hasMore = false;
        for (auto it = m_items.lower_bound(prefix); it != m_items.end() && it->first.rfind(prefix, 0) == 0; ++it) {
            if (it->first <= after)
                continue;
            hasMore = items.size() == pageSize;
            if (hasMore)
                break;
            items.push_back(show(it->first));
        }
        return { 200, Json { { "items", items }, { "hasMore", hasMore }, { "storeRevision", m_revision } }.dump() };
    }
    void watch(const std::string& query, const std::shared_ptr<HttpRespond>& respond)
    {
        int64_t wait = 0;
        if (!absl::SimpleAtoi(parameter(query, "waitMs"), &wait))
            wait = 0;
        poll(parameter(query, "prefix"), std::stoull(parameter(query, "after")),
            SteadyClock::now() + std::chrono::milliseconds(wait), respond);
    }
    void poll(const std::string& prefix, uint64_t after, SteadyClock::time_point until,
        const std::shared_ptr<HttpRespond>& respond)
    {
        constexpr int64_t pollMillis = 5;
        Json events = Json::array();
        for (const auto& [key, revision] : m_events) {
            if (revision <= after || key.rfind(prefix, 0) != 0)
                continue;
            if (m_items.contains(key))
                events.push_back(show(key));
            else
                events.push_back({ { "key", key }, { "revision", revision }, { "deleted", true } });
        }
        if (!events.empty() || SteadyClock::now() >= until)
            return (*respond)({ 200, Json { { "events", events }, { "storeRevision", m_revision } }.dump() });
        later(m_io, pollMillis, [this, prefix, after, until, respond] { poll(prefix, after, until, respond); });
    }
    HttpResponse grant(int64_t ttl)
    {
        const uint64_t lease = ++m_lastLease;
        m_leases[lease] = { ttl, SteadyClock::now() + std::chrono::milliseconds(ttl) };
        later(m_io, ttl, [this, lease] { expire(lease); });
        return { 200, Json { { "lease", lease }, { "ttlMs", ttl } }.dump() };
    }
    HttpResponse keep(uint64_t lease)
    {
        const auto found = m_leases.find(lease);
        if (found == m_leases.end())
            return { 404, "{}" };
        found->second.endsAt = SteadyClock::now() + std::chrono::milliseconds(found->second.ttl);
        later(m_io, found->second.ttl, [this, lease] { expire(lease); });
        return { 200, Json { { "ttlMs", found->second.ttl } }.dump() };
    }
    void expire(uint64_t lease)
    {
        const auto found = m_leases.find(lease);
        if (found != m_leases.end() && found->second.endsAt <= SteadyClock::now())
            end(lease);
    }
    void end(uint64_t lease)
    {
        if (!m_leases.erase(lease))
            return;
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        ++m_revision;
        for (const std::string& key : keys)
            erase(key, m_revision);
    }

    boost::asio::io_context& m_io;
    absl::btree_map<std::string, Item> m_items;
    std::vector<std::pair<std::string, uint64_t>> m_events;
    absl::btree_map<uint64_t, Lease> m_leases;
    uint64_t m_revision = 1;
    uint64_t m_lastLease = 0;
};

/** One executor; each task runs for 300 ms. It reports each start on standard output. */
class Executor {
public:
    Executor(boost::asio::io_context& io, std::string id)
        : m_io(io)
        , m_id(std::move(id))
    {
    }

    void handle(const std::string& path, const std::string& body, HttpRespond respond)
    {
        const Json json = parseBody(body).value_or(Json::object());
        const uint64_t fence = json.value("fence", uint64_t(0));
        if (fence < m_fence)
            return respond(answer(409, { { "reason", "fence" } }));
        m_fence = fence;
        if (path == "/cicadaspread/run-start")
            return respond(start(json));
        if (path == "/cicadaspread/run-stop") {
            finish({ json.at("task"), json.at("run") }, "stopped");
            return respond(answer(200, {}));
        }
        hold(json, std::make_shared<HttpRespond>(std::move(respond)));
    }

private:
    using Run = std::pair<std::string, uint32_t>;

    HttpResponse answer(int status, Json body) const
    {
        body["clockMs"] = millisSince(m_begun);
        body["born"] = 1700000000000;
        return { status, body.dump() };
    }
    HttpResponse start(const Json& json)
    {
        constexpr int64_t workMillis = 300;
        const Run run { json.at("task"), json.at("run") };
        if (m_runs.contains(run))
            return answer(200, {});
        if (json.value("ticket", "") != absl::StrCat("t-", m_id))
            return answer(409, { { "reason", "ticket" } });
        if (json.at("deadlineMs") <= millisSince(m_begun))
            return answer(409, { { "reason", "late" } });
        if (m_over.contains(run.first) && run.second <= m_over[run.first])
            return answer(409, { { "reason", "old" } });
        std::cout << "start " << run.first << " " << run.second << " " << m_id << std::endl;
        m_runs.insert(run);
        later(m_io, workMillis, [this, run] { finish(run, "done"); });
        return answer(200, {});
    }
    void finish(const Run& run, const char* how)
    {
        m_over[run.first] = std::max(m_over[run.first], run.second);
        if (m_runs.erase(run))
            m_ended.push_back(Json::array({ ++m_sequence, run.first, run.second, how, "" }));
    }
    void hold(const Json& json, const std::shared_ptr<HttpRespond>& respond)
    {
        const uint64_t ack = json.value("ackSeq", uint64_t(0));
        m_ended.erase(std::remove_if(m_ended.begin(), m_ended.end(), [ack](const Json& row) { return row[0] <= ack; }),
            m_ended.end());
        wait(SteadyClock::now() + std::chrono::milliseconds(json.value("waitMs", int64_t(0))), respond);
    }
    void wait(SteadyClock::time_point until, const std::shared_ptr<HttpRespond>& respond)
    {
        constexpr int64_t pollMillis = 5;
        if (m_ended.empty() && SteadyClock::now() < until)
            return later(m_io, pollMillis, [this, until, respond] { wait(until, respond); });
        Json running = Json::array();
        for (const Run& run : m_runs)
            running.push_back(Json::array({ run.first, run.second, "", 10, 500 }));
        (*respond)(answer(200, { { "running", running }, { "finished", m_ended } }));
    }

    boost::asio::io_context& m_io;
    const std::string m_id;
    const SteadyClock::time_point m_begun = SteadyClock::now();
    uint64_t m_fence = 0;
    absl::btree_set<Run> m_runs;
    absl::btree_map<std::string, uint32_t> m_over;
    std::vector<Json> m_ended;
    uint64_t m_sequence = 0;
};

HttpResponse advise(const std::string& body)
{
    const Json json = parseBody(body).value_or(Json::object());
    Json allowed = Json::array();
    for (const Json& worker : json.value("workers", Json::array()))
        allowed.push_back(Json::array({ worker, absl::StrCat("t-", worker.get<std::string>()) }));
    return { 200, Json { { "allowed", allowed }, { "validityMs", 2500 } }.dump() };
}

constexpr const char* configuration = R"({"version":7,"routes":[{"name":"r-a","hostname":"a.example","prefix":"/jobs/",
"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1200,"priority":1,"service":"s","maxAttempts":3,
"stretch":2.2,"advice":{"decideMs":5,"perItemMs":0.1,"validityMs":2500}}],"services":[],"limits":{}})";

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
    Store store(io);
    store.put("op/config", configuration);
    const auto at = [port](int offset) { return Endpoint { "127.0.0.1", static_cast<uint16_t>(port + offset) }; };
    std::vector<std::unique_ptr<HttpServer>> servers;
    const auto serve = [&](int offset, HttpHandler handler) {
        servers.push_back(std::make_unique<HttpServer>(io, std::move(handler)));
        return servers.back()->listen(at(offset)).has_value();
    };
    bool isUp = serve(0, [&](const HttpRequest& request, HttpRespond respond) {
        store.handle(request.path, request.query, request.body, std::move(respond));
    });
    isUp = serve(1, [](const HttpRequest& request, HttpRespond respond) { respond(advise(request.body)); }) && isUp;
    std::vector<std::unique_ptr<Executor>> executors;
    for (int i = 0; i < executorCount; ++i) {
        const std::string id = absl::StrCat("i-", i);
        executors.push_back(std::make_unique<Executor>(io, id));
        Executor* executor = executors.back().get();
        isUp = serve(2 + i, [executor](const HttpRequest& request, HttpRespond respond) {
            executor->handle(request.path, request.body, std::move(respond));
        }) && isUp;
        const Json entry = { { "service", "s" }, { "address", absl::StrCat("127.0.0.1:", port + 2 + i) },
            { "zone", "z" }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
            { "capacity", { { "cpu", 4000 }, { "memMb", 8000 }, { "gpu", 0 } } }, { "labels", { "a", "r1" } },
            { "born", 1700000000000 }, { "sequence", 1 } };
        store.put(absl::StrCat("servers/", id), entry.dump());
    }
    store.put("servers/i-odd", "not JSON");
    if (!isUp) {
        std::cerr << "fake-grid: a port is taken\n";
        return exitFailure;
    }
    io.run();
    return exitSuccess;
}
