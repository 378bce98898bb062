#include "GridStore.h"

#include "JsonBody.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <boost/asio/steady_timer.hpp>

namespace cicada::test {

namespace {

    using platform::HttpRequest;
    using platform::HttpResponder;
    using platform::Json;
    using platform::parseBody;
    using SteadyClock = std::chrono::steady_clock;

    constexpr absl::Duration pollInterval = absl::Milliseconds(10);
    constexpr absl::Duration slowDelay = absl::Milliseconds(500);
    constexpr uint64_t faultyOneIn = 3;

    std::string parameter(const std::string& query, const std::string& name)
    {
        for (const auto part : absl::StrSplit(query, '&')) {
            const std::vector<std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
            if (pair.size() == 2 && pair[0] == name)
                return pair[1];
        }
        return "";
    }

    uint64_t numberAtEnd(const std::string& path)
    {
        uint64_t number = 0;
        return absl::SimpleAtoi(path.substr(path.rfind('/') + 1), &number) ? number : 0;
    }

    SteadyClock::duration toChrono(absl::Duration duration)
    {
        return std::chrono::nanoseconds(absl::ToInt64Nanoseconds(duration));
    }

    bool isWrite(const HttpRequest& request) { return request.path == "/cicadaspread/kv-txn"; }

} // namespace

void later(boost::asio::io_context& io, absl::Duration delay, std::function<void()> function)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(io, toChrono(delay));
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code&) { function(); });
}

GridStore::GridStore(boost::asio::io_context& io, uint64_t seed)
    : m_io(io)
    , m_random(seed)
{
}

void GridStore::handle(const HttpRequest& request, HttpResponder respond)
{
    const bool isFaulty = isWrite(request) && m_random() % faultyOneIn == 0;
    if (m_mood == GridStoreMood::Refuses)
        return respond({ 503, "{}" });
    // A request whose responder is dropped stays without an answer.
    if (m_mood == GridStoreMood::Silent)
        return;
    if (m_mood == GridStoreMood::LosesReplies && isFaulty) {
        call(request);
        return;
    }
    if (m_mood == GridStoreMood::WritesLate && isFaulty)
        return later(m_io, absl::Milliseconds(1000 + m_random() % 4000), [this, request] { call(request); });
    if (m_mood != GridStoreMood::Slow)
        return answer(request, std::move(respond));
    auto shared = std::make_shared<HttpResponder>(std::move(respond));
    later(m_io, slowDelay, [this, request, shared] { answer(request, std::move(*shared)); });
}

void GridStore::answer(const HttpRequest& request, HttpResponder respond)
{
    if (request.path == "/cicadaspread/kv-watch")
        return watch(request.query, std::make_shared<HttpResponder>(std::move(respond)));
    Answer result = call(request);
    respond({ result.status, std::move(result.body) });
}

GridStore::Answer GridStore::call(const HttpRequest& request)
{
    if (isWrite(request))
        return transact(request.body);
    if (request.path == "/cicadaspread/kv-range")
        return range(request.query);
    if (request.path == "/cicadaspread/kv-lease")
        return grant(request.body);
    if (absl::StartsWith(request.path, "/cicadaspread/kv-keep/"))
        return keep(numberAtEnd(request.path));
    if (absl::StartsWith(request.path, "/cicadaspread/kv-lease-end/"))
        end(numberAtEnd(request.path));
    return { 200, "{}" };
}

void GridStore::put(const std::string& key, const std::string& value)
{
    m_items[key] = { value, ++m_revision, 0 };
    m_events.emplace_back(key, m_revision);
}

void GridStore::remove(const std::string& key) { erase(key, ++m_revision); }

void GridStore::dropHistory()
{
    m_events.clear();
    m_oldest = m_revision;
}

namespace {

    template <typename Item> Json show(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", absl::Base64Escape(item.value) }, { "revision", item.revision },
            { "lease", item.lease } };
    }

} // namespace

GridStore::Answer GridStore::transact(const std::string& body)
{
    const Json json = parseBody(body).value_or(Json::object());
    Json items = Json::array();
    bool holds = true;
    for (const Json& row : json.value("expected", Json::array())) {
        const std::string key = row.at("key");
        const auto found = m_items.find(key);
        if (found != m_items.end())
            items.push_back(show(key, found->second));
        holds = holds && row.at("revision") == (found == m_items.end() ? 0 : found->second.revision);
    }
    if (!holds)
        return { 412, Json { { "items", items } }.dump() };
    for (const Json& row : json.value("writes", Json::array())) {
        const auto lease = row.value("lease", uint64_t(0));
        if (lease != 0 && !m_leases.contains(lease))
            return { 404, "{}" };
    }
    ++m_revision;
    for (const Json& row : json.value("writes", Json::array())) {
        std::string value;
        absl::Base64Unescape(row.at("value").get<std::string>(), &value);
        m_items[row.at("key")] = { value, m_revision, row.value("lease", uint64_t(0)) };
        m_events.emplace_back(row.at("key"), m_revision);
    }
    for (const Json& key : json.value("remove", Json::array()))
        erase(key, m_revision);
    return { 200, Json { { "revision", m_revision } }.dump() };
}

void GridStore::erase(const std::string& key, uint64_t revision)
{
    if (m_items.erase(key))
        m_events.emplace_back(key, revision);
}

GridStore::Answer GridStore::range(const std::string& query) const
{
    constexpr size_t pageSize = 100;
    const std::string prefix = parameter(query, "prefix");
    const std::string after = parameter(query, "after");
    Json items = Json::array();
    bool hasMore = false;
    for (auto it = m_items.lower_bound(prefix); it != m_items.end() && absl::StartsWith(it->first, prefix); ++it) {
        if (it->first <= after)
            continue;
        hasMore = items.size() == pageSize;
        if (hasMore)
            break;
        items.push_back(show(it->first, it->second));
    }
    return { 200, Json { { "items", items }, { "hasMore", hasMore }, { "storeRevision", m_revision } }.dump() };
}

void GridStore::watch(const std::string& query, const std::shared_ptr<HttpResponder>& respond)
{
    int64_t wait = 0;
    uint64_t after = 0;
    if (!absl::SimpleAtoi(parameter(query, "waitMs"), &wait) || !absl::SimpleAtoi(parameter(query, "after"), &after))
        return (*respond)({ 400, "{}" });
    poll(parameter(query, "prefix"), after, SteadyClock::now() + toChrono(absl::Milliseconds(wait)), respond);
}

void GridStore::poll(
    const std::string& prefix, uint64_t after, SteadyTime until, const std::shared_ptr<HttpResponder>& respond)
{
    const auto pollAgain = [this, prefix, after, until, respond] { poll(prefix, after, until, respond); };
    if (m_mood == GridStoreMood::Silent)
        return later(m_io, pollInterval, pollAgain);
    if (after < m_oldest)
        return (*respond)({ 410, "{}" });
    Json events = Json::array();
    for (auto it = m_events.rbegin(); it != m_events.rend() && it->second > after; ++it) {
        if (!absl::StartsWith(it->first, prefix))
            continue;
        const auto item = m_items.find(it->first);
        if (item != m_items.end())
            events.push_back(show(it->first, item->second));
        else
            events.push_back({ { "key", it->first }, { "revision", it->second }, { "deleted", true } });
    }
    std::reverse(events.begin(), events.end());
    if (!events.empty() || SteadyClock::now() >= until)
        return (*respond)({ 200, Json { { "events", events }, { "storeRevision", m_revision } }.dump() });
    later(m_io, pollInterval, pollAgain);
}

GridStore::Answer GridStore::grant(const std::string& body)
{
    const Json json = parseBody(body).value_or(Json::object());
    const absl::Duration ttl = absl::Milliseconds(json.value("ttlMs", int64_t(1000)));
    const uint64_t lease = ++m_lastLease;
    m_leases[lease] = { ttl, SteadyClock::now() + toChrono(ttl) };
    later(m_io, ttl, [this, lease] { expire(lease); });
    return { 200, Json { { "lease", lease }, { "ttlMs", absl::ToInt64Milliseconds(ttl) } }.dump() };
}

GridStore::Answer GridStore::keep(uint64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return { 404, "{}" };
    found->second.endsAt = SteadyClock::now() + toChrono(found->second.ttl);
    later(m_io, found->second.ttl, [this, lease] { expire(lease); });
    return { 200, Json { { "ttlMs", absl::ToInt64Milliseconds(found->second.ttl) } }.dump() };
}

void GridStore::expire(uint64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found != m_leases.end() && found->second.endsAt <= SteadyClock::now())
        end(lease);
}

void GridStore::end(uint64_t lease)
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

} // namespace cicada::test
