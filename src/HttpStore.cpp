#include "HttpStore.h"

#include "Json.h"

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <httplib.h>

#include <optional>

namespace cicada {

namespace {

    constexpr size_t maxQueuedCalls = 4096;
    constexpr time_t connectTimeoutSeconds = 1;
    constexpr time_t replyTimeoutSeconds = 2;
    constexpr int watchWaitSeconds = 10;
    constexpr absl::Duration watchRetryDelay = absl::Milliseconds(200);
    constexpr absl::Duration idleWait = absl::Seconds(1);

    enum class CallKind {
        Get,
        List,
        Put,
        Remove,
    };

    /** One entry of a list; nothing when it does not have the form of one. */
    std::optional<StoreEntry> decodeEntry(const Internal::Json& item)
    {
        if (!item.is_object() || !item.contains("Key") || !item["Key"].is_string() || !item.contains("ModifyIndex")
            || !item["ModifyIndex"].is_number_unsigned())
            return std::nullopt;
        StoreEntry entry;
        entry.key = item["Key"].get<std::string>();
        entry.index = Internal::integerOf<uint64_t>(item["ModifyIndex"]);
        if (item.contains("Value") && item["Value"].is_string())
            absl::Base64Unescape(item["Value"].get<std::string>(), &entry.value);
        return entry;
    }

    std::vector<StoreEntry> decodeEntries(const std::string& body)
    {
        std::vector<StoreEntry> entries;
        const auto document = Internal::Json::parse(body, nullptr, false);
        if (!document.is_array())
            return entries;
        for (const auto& item : document) {
            if (auto entry = decodeEntry(item))
                entries.push_back(std::move(*entry));
        }
        return entries;
    }

    StoreReply decodeRead(const httplib::Result& response)
    {
        StoreReply reply;
        if (!response || (response->status != 200 && response->status != 404))
            return reply;
        if (response->status == 404) {
            reply.status = StoreStatus::Missing;
            return reply;
        }
        reply.status = StoreStatus::Ok;
        reply.entries = decodeEntries(response->body);
        return reply;
    }

    StoreReply decodeWrite(const httplib::Result& response)
    {
        StoreReply reply;
        if (!response || response->status != 200)
            return reply;
        reply.status = absl::StartsWith(response->body, "true") ? StoreStatus::Ok : StoreStatus::Conflict;
        return reply;
    }

} // namespace

struct HttpStore::Call {
    CallKind kind = CallKind::Get;
    std::string key;
    std::string value;
    uint64_t expectedIndex = 0;
    Callback callback;
};

struct HttpStore::Connection {
    explicit Connection(const Endpoint& server)
        : client(server.host, server.port)
    {
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(connectTimeoutSeconds);
        client.set_read_timeout(replyTimeoutSeconds);
        client.set_write_timeout(replyTimeoutSeconds);
    }
    httplib::Client client;
};

HttpStore::HttpStore(Endpoint server, EventLoop& loop)
    : m_server(std::move(server))
    , m_loop(loop)
    , m_calls(std::make_unique<RingBuffer<Call>>(maxQueuedCalls))
    , m_watchConnection(std::make_unique<Connection>(m_server))
{
}

HttpStore::~HttpStore() { stop(); }

Result<void> HttpStore::start()
{
    m_callThread = std::thread([this] { runCalls(); });
    m_watchThread = std::thread([this] { runWatch(); });
    return success();
}

void HttpStore::stop()
{
    m_stopping = true;
    m_calls->close();
    m_watchConnection->client.stop();
    {
        absl::MutexLock lock(&m_mutex);
        m_wake.SignalAll();
    }
    if (m_callThread.joinable())
        m_callThread.join();
    if (m_watchThread.joinable())
        m_watchThread.join();
}

void HttpStore::enqueue(Call call)
{
    if (m_calls->tryPush(call))
        return;
    // The queue is full, so the call fails as if the store were down. As for every call, the callback runs later.
    auto callback = std::make_shared<Callback>(std::move(call.callback));
    ++m_failures;
    m_loop.post([callback] { (*callback)(StoreReply {}); });
}

void HttpStore::get(absl::string_view key, Callback callback)
{
    enqueue({ CallKind::Get, std::string(key), {}, 0, std::move(callback) });
}

void HttpStore::list(absl::string_view prefix, Callback callback)
{
    enqueue({ CallKind::List, std::string(prefix), {}, 0, std::move(callback) });
}

void HttpStore::put(absl::string_view key, std::string value, uint64_t expectedIndex, Callback callback)
{
    enqueue({ CallKind::Put, std::string(key), std::move(value), expectedIndex, std::move(callback) });
}

void HttpStore::remove(absl::string_view key, uint64_t expectedIndex, Callback callback)
{
    enqueue({ CallKind::Remove, std::string(key), {}, expectedIndex, std::move(callback) });
}

void HttpStore::watch(absl::string_view prefix, WatchCallback callback)
{
    absl::MutexLock lock(&m_mutex);
    m_watchPrefix = std::string(prefix);
    m_watchCallback = std::make_shared<WatchCallback>(std::move(callback));
    m_wake.SignalAll();
}

StoreCallCounts HttpStore::counts() const { return { m_reads, m_writes, m_watches, m_failures }; }

StoreReply HttpStore::perform(Connection& connection, const Call& call)
{
    const std::string path = absl::StrCat("/v1/kv/", call.key);
    switch (call.kind) {
    case CallKind::Get:
        ++m_reads;
        return decodeRead(connection.client.Get(path));
    case CallKind::List:
        ++m_reads;
        return decodeRead(connection.client.Get(absl::StrCat(path, "?recurse=true")));
    case CallKind::Put:
        ++m_writes;
        return decodeWrite(connection.client.Put(
            absl::StrCat(path, "?cas=", call.expectedIndex), call.value, "application/octet-stream"));
    case CallKind::Remove:
        ++m_writes;
        return decodeWrite(connection.client.Delete(absl::StrCat(path, "?cas=", call.expectedIndex)));
    }
    return {};
}

void HttpStore::runCalls()
{
    Connection connection(m_server);
    while (true) {
        auto call = m_calls->pop(idleWait);
        if (!call) {
            if (m_calls->closed())
                return;
            continue;
        }
        auto reply = std::make_shared<StoreReply>(m_stopping ? StoreReply {} : perform(connection, *call));
        if (reply->status == StoreStatus::Unavailable)
            ++m_failures;
        auto callback = std::make_shared<Callback>(std::move(call->callback));
        m_loop.postBlocking([callback, reply] { (*callback)(std::move(*reply)); });
    }
}

void HttpStore::runWatch()
{
    Connection& connection = *m_watchConnection;
    connection.client.set_read_timeout(watchWaitSeconds + replyTimeoutSeconds);
    uint64_t seenIndex = 0;
    while (!m_stopping) {
        std::string prefix;
        std::shared_ptr<WatchCallback> callback;
        {
            absl::MutexLock lock(&m_mutex);
            if (!m_watchCallback) {
                m_wake.WaitWithTimeout(&m_mutex, idleWait);
                continue;
            }
            prefix = m_watchPrefix;
            callback = m_watchCallback;
        }
        ++m_watches;
        const auto response = connection.client.Get(
            absl::StrCat("/v1/kv/", prefix, "?recurse=true&index=", seenIndex, "&wait=", watchWaitSeconds, "s"));
        uint64_t index = 0;
        const bool answered = response && (response->status == 200 || response->status == 404)
            && absl::SimpleAtoi(response->get_header_value("X-Consul-Index"), &index);
        if (!answered) {
            ++m_failures;
            absl::MutexLock lock(&m_mutex);
            if (!m_stopping)
                m_wake.WaitWithTimeout(&m_mutex, watchRetryDelay);
            continue;
        }
        if (index == seenIndex)
            continue;
        seenIndex = index;
        auto entries = std::make_shared<std::vector<StoreEntry>>(decodeEntries(response->body));
        m_loop.postBlocking([callback, entries] { (*callback)(*entries); });
    }
}

} // namespace cicada
