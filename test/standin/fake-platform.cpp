/** \file
 * A stand-in for the platform: the key-value service and the VM list, with switches for outages, slowness and
 * replies lost after the write took effect. See docs/BACKENDS.md for what it speaks.
 *
 * PUT /control?down=1&slowMs=20&loseReplies=3 sets the switches; GET /control shows them with the calls counted.
 */

#include "CommandLine.h"
#include "HttpThreadPool.h"
#include "Json.h"
#include "Settings.h"

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

#include <getopt.h>
#include <iostream>
#include <map>

namespace {

using namespace cicada;
using Internal::Json;

constexpr size_t maxConnections = 200;
constexpr size_t maxValueBytes = 1 << 20;
constexpr absl::Duration outagePoll = absl::Milliseconds(50);

struct Value {
    std::string bytes;
    uint64_t index = 0;
};

/** The keys, and the switches that make the store misbehave. */
class KeyValues {
public:
    void addRoutes(httplib::Server& server);

private:
    void handleGet(const httplib::Request&, httplib::Response&);
    void handleWrite(const httplib::Request&, httplib::Response&, bool remove);
    void handleControl(const httplib::Request&, httplib::Response&);
    bool misbehave(httplib::Response&, bool wrote);
    Json listBelow(const std::string& prefix, bool recurse, uint64_t& index) const;

    mutable absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::map<std::string, Value> m_values;
    uint64_t m_index = 1;
    bool m_down = false;
    int64_t m_slowMs = 0;
    int64_t m_loseReplies = 0;
    uint64_t m_reads = 0;
    uint64_t m_writes = 0;
    uint64_t m_watches = 0;
};

/** The VM list, read from a file at each request so that a test can change it. */
void addVmList(httplib::Server& server, const std::string& path)
{
    server.Get("/v1/vms", [path](const httplib::Request&, httplib::Response& response) {
        auto text = readFile(path);
        response.status = text ? 200 : 503;
        response.set_content(text ? text.value() : "", "application/json");
    });
}

/** True when the reply was spoilt: the store is down, or the reply to a write is lost. */
bool KeyValues::misbehave(httplib::Response& response, bool wrote)
{
    if (m_down) {
        response.status = 503;
        return true;
    }
    if (wrote && m_loseReplies > 0) {
        --m_loseReplies;
        response.status = 500;
        return true;
    }
    return false;
}

Json KeyValues::listBelow(const std::string& prefix, bool recurse, uint64_t& index) const
{
    Json list = Json::array();
    index = 1;
    for (auto it = m_values.lower_bound(prefix); it != m_values.end(); ++it) {
        if (recurse ? !absl::StartsWith(it->first, prefix) : it->first != prefix)
            break;
        list.push_back({ { "Key", it->first }, { "Value", absl::Base64Escape(it->second.bytes) },
            { "ModifyIndex", it->second.index } });
        index = std::max(index, it->second.index);
    }
    return list;
}

void KeyValues::handleGet(const httplib::Request& request, httplib::Response& response)
{
    const std::string key = request.matches[1];
    const bool recurse = request.has_param("recurse");
    uint64_t seen = 0;
    const bool watching = absl::SimpleAtoi(request.get_param_value("index"), &seen) && seen > 0;
    int64_t waitSeconds = 0;
    if (!absl::SimpleAtoi(absl::StripSuffix(request.get_param_value("wait"), "s"), &waitSeconds))
        waitSeconds = 10;
    absl::MutexLock lock(&m_mutex);
    ++(watching ? m_watches : m_reads);
    if (m_slowMs > 0)
        m_changed.WaitWithTimeout(&m_mutex, absl::Milliseconds(m_slowMs));
    const absl::Time until = absl::Now() + absl::Seconds(waitSeconds);
    uint64_t index = 0;
    Json list = listBelow(key, recurse, index);
    // Deletions move the shared index as well, so a watch compares with that.
    while (watching && m_index <= seen && !m_down && absl::Now() < until)
        m_changed.WaitWithTimeout(&m_mutex, outagePoll);
    if (misbehave(response, false))
        return;
    list = listBelow(key, recurse, index);
    response.set_header("X-Consul-Index", absl::StrCat(m_index));
    response.status = list.empty() ? 404 : 200;
    response.set_content(list.dump(), "application/json");
}

void KeyValues::handleWrite(const httplib::Request& request, httplib::Response& response, bool remove)
{
    const std::string key = request.matches[1];
    uint64_t expected = 0;
    const bool compare = absl::SimpleAtoi(request.get_param_value("cas"), &expected);
    absl::MutexLock lock(&m_mutex);
    ++m_writes;
    if (m_slowMs > 0)
        m_changed.WaitWithTimeout(&m_mutex, absl::Milliseconds(m_slowMs));
    if (misbehave(response, false))
        return;
    if (request.body.size() > maxValueBytes) {
        response.status = 413;
        return;
    }
    auto it = m_values.find(key);
    const uint64_t current = it == m_values.end() ? 0 : it->second.index;
    const bool matches = !compare || current == expected;
    if (matches && remove && it != m_values.end()) {
        m_values.erase(it);
        ++m_index;
        m_changed.SignalAll();
    } else if (matches && !remove) {
        m_values[key] = { request.body, ++m_index };
        m_changed.SignalAll();
    }
    if (misbehave(response, true))
        return;
    response.set_content(matches ? "true" : "false", "application/json");
}

void KeyValues::handleControl(const httplib::Request& request, httplib::Response& response)
{
    absl::MutexLock lock(&m_mutex);
    int64_t down = m_down;
    if (request.has_param("down") && absl::SimpleAtoi(request.get_param_value("down"), &down))
        m_down = down != 0;
    if (request.has_param("slowMs") && !absl::SimpleAtoi(request.get_param_value("slowMs"), &m_slowMs))
        response.status = 400;
    if (request.has_param("loseReplies") && !absl::SimpleAtoi(request.get_param_value("loseReplies"), &m_loseReplies))
        response.status = 400;
    m_changed.SignalAll();
    response.set_content(
        Json { { "down", m_down }, { "slowMs", m_slowMs }, { "loseReplies", m_loseReplies }, { "reads", m_reads },
            { "writes", m_writes }, { "watches", m_watches }, { "keys", m_values.size() } }
            .dump(),
        "application/json");
}

void KeyValues::addRoutes(httplib::Server& server)
{
    const std::string keyPattern = R"(/v1/kv/(.+))";
    server.Get(keyPattern, [this](const auto& request, auto& response) { handleGet(request, response); });
    server.Put(keyPattern, [this](const auto& request, auto& response) { handleWrite(request, response, false); });
    server.Delete(keyPattern, [this](const auto& request, auto& response) { handleWrite(request, response, true); });
    server.Put("/control", [this](const auto& request, auto& response) { handleControl(request, response); });
    server.Get("/control", [this](const auto& request, auto& response) { handleControl(request, response); });
}

} // namespace

int main(int argc, char** argv)
{
    const option options[]
        = { { "listen", required_argument, nullptr, 'l' }, { "vms", required_argument, nullptr, 'v' }, {} };
    std::string listen = "127.0.0.1:7000";
    std::string vms;
    for (int option; (option = getopt_long(argc, argv, "l:v:", options, nullptr)) != -1;) {
        if (option == 'l')
            listen = optarg;
        else if (option == 'v')
            vms = optarg;
        else
            return exitUsage;
    }
    auto endpoint = parseEndpoint(listen);
    if (!endpoint)
        return reportError("fake-platform", endpoint.error(), exitUsage);
    httplib::Server server;
    Internal::prepareServer(server, maxConnections, maxValueBytes * 2);
    KeyValues values;
    values.addRoutes(server);
    addVmList(server, vms);
    if (!server.listen(endpoint.value().host, endpoint.value().port)) {
        std::cerr << "fake-platform: " << listen << " can't be bound\n";
        return exitFailure;
    }
    return exitSuccess;
}
