#include "GridExecutor.h"

#include "GridStore.h"
#include "JsonBody.h"

#include "absl/strings/str_cat.h"

namespace cicada::test {

namespace {

    using platform::HttpRequest;
    using platform::HttpResponder;
    using platform::HttpResponse;
    using platform::Json;
    using platform::parseBody;
    using SteadyClock = std::chrono::steady_clock;

    constexpr absl::Duration pollInterval = absl::Milliseconds(10);

    int64_t unixMillis()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    int64_t millisSince(SteadyClock::time_point begin)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - begin).count();
    }

    GridRun runOf(const Json& json) { return { json.at("task"), json.at("run") }; }

} // namespace

GridExecutor::GridExecutor(boost::asio::io_context& io, std::string id, GridObserver& observer, uint64_t seed)
    : m_io(io)
    , m_id(std::move(id))
    , m_observer(observer)
    , m_random(seed)
    , m_born(unixMillis())
    , m_begun(SteadyClock::now())
{
}

int64_t GridExecutor::clockMillis() const { return millisSince(m_begun); }

void GridExecutor::handle(const HttpRequest& request, HttpResponder respond)
{
    const bool isOrder = request.path != "/cicadaspread/hold";
    if (isOrder && std::uniform_real_distribution<double>()(m_random) < m_lateShare) {
        const uint64_t life = m_life;
        return later(m_io, absl::Milliseconds(2000 + m_random() % 4000), [this, request, life] {
            if (life == m_life)
                carryOut(request);
        });
    }
    HttpResponse response = carryOut(request);
    if (isOrder || response.status != 200)
        return respond(std::move(response));
    const Json json = parseBody(request.body).value_or(Json::object());
    const auto wait = std::chrono::milliseconds(json.value("waitMs", int64_t(0)));
    list(SteadyClock::now() + wait, m_life, std::make_shared<HttpResponder>(std::move(respond)));
}

HttpResponse GridExecutor::carryOut(const HttpRequest& request)
{
    const Json json = parseBody(request.body).value_or(Json::object());
    Json answer = { { "clockMs", clockMillis() }, { "born", m_born } };
    if (!request.expectedIncarnation.empty() && request.expectedIncarnation != m_id)
        return { 421, answer.dump() };
    const uint64_t fence = json.value("fence", uint64_t(0));
    if (fence < m_fence) {
        answer["reason"] = "fence";
        return { 409, answer.dump() };
    }
    m_fence = fence;
    if (request.path == "/cicadaspread/run-start")
        return start(request.body);
    if (request.path == "/cicadaspread/run-stop") {
        const GridRun run = runOf(json);
        finish(run, "stopped");
        m_highestOver[run.task] = std::max(m_highestOver[run.task], run.number);
        return { 200, answer.dump() };
    }
    acknowledge(json.value("ackSeq", uint64_t(0)));
    extendLease(json.value("deadlineMs", int64_t(0)));
    return { 200, answer.dump() };
}

HttpResponse GridExecutor::start(const std::string& body)
{
    const Json json = parseBody(body).value_or(Json::object());
    const GridRun run = runOf(json);
    const auto answer = [this](const char* reason) -> HttpResponse {
        Json text = { { "clockMs", clockMillis() }, { "born", m_born } };
        if (reason)
            text["reason"] = reason;
        return { reason ? 409 : 200, text.dump() };
    };
    if (m_runs.contains(run))
        return answer(nullptr);
    if (json.value("ticket", "") != absl::StrCat("t-", m_id))
        return answer("ticket");
    const int64_t leaseEnd = json.at("deadlineMs");
    if (leaseEnd <= clockMillis())
        return answer("late");
    extendLease(leaseEnd);
    const auto over = m_highestOver.find(run.task);
    if (over != m_highestOver.end() && run.number <= over->second)
        return answer("old");
    m_runs[run] = ++m_serial;
    m_observer.started(m_id, run);
    later(m_io, m_observer.workOf(run), [this, run, serial = m_serial] {
        const auto found = m_runs.find(run);
        if (found != m_runs.end() && found->second == serial)
            finish(run, m_isFailing || m_observer.fails(run) ? "failed" : "done");
    });
    return answer(nullptr);
}

void GridExecutor::finish(const GridRun& run, const std::string& how)
{
    if (!m_runs.erase(run))
        return;
    m_highestOver[run.task] = std::max(m_highestOver[run.task], run.number);
    m_ended.push_back({ ++m_sequence, run, how });
    m_observer.ended(m_id, run, how);
}

void GridExecutor::extendLease(int64_t endMillis)
{
    m_leaseEnd = std::max(m_leaseEnd, std::min(endMillis, clockMillis() + m_maxLeaseMillis));
    later(m_io, absl::Milliseconds(std::max<int64_t>(0, m_leaseEnd - clockMillis()) + 1), [this] { checkLease(); });
}

void GridExecutor::checkLease()
{
    if (clockMillis() < m_leaseEnd)
        return;
    while (!m_runs.empty())
        finish(GridRun(m_runs.begin()->first), "lapsed");
}

void GridExecutor::acknowledge(uint64_t through)
{
    while (!m_ended.empty() && m_ended.front().sequence <= through) {
        m_observer.acknowledged(m_ended.front().run, m_ended.front().how);
        m_ended.erase(m_ended.begin());
    }
}

void GridExecutor::rebirthAs(std::string id)
{
    rebirth();
    m_id = std::move(id);
}

void GridExecutor::rebirth()
{
    checkLease();
    for (const auto& [run, serial] : m_runs)
        m_observer.ended(m_id, run, "lost");
    ++m_life;
    m_born = unixMillis();
    m_begun = SteadyClock::now();
    m_fence = 0;
    m_leaseEnd = 0;
    m_runs.clear();
    m_highestOver.clear();
    m_ended.clear();
    m_sequence = 0;
}

void GridExecutor::list(SteadyTime until, uint64_t life, const std::shared_ptr<HttpResponder>& respond)
{
    if (life != m_life)
        return;
    if (m_ended.empty() && SteadyClock::now() < until)
        return later(m_io, pollInterval, [this, until, life, respond] { list(until, life, respond); });
    Json running = Json::array();
    for (const auto& [run, serial] : m_runs)
        running.push_back(Json::array({ run.task, run.number, "", 10, 500 }));
    Json ended = Json::array();
    for (const End& end : m_ended)
        ended.push_back(Json::array({ end.sequence, end.run.task, end.run.number, end.how, "" }));
    const Json body
        = { { "clockMs", clockMillis() }, { "born", m_born }, { "running", running }, { "finished", ended } };
    (*respond)({ 200, body.dump() });
}

} // namespace cicada::test
