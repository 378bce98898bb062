#include "SoakCallers.h"

#include "Grid.h"
#include "JsonBody.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace cicada::test {

namespace {

    using platform::HttpOutcome;
    using platform::HttpResult;
    using platform::Json;

    constexpr absl::Duration callTimeout = absl::Seconds(3);
    constexpr int maxAttempts = 5;
    constexpr const char* deadlineHeader = "Cicadaspread-Deadline-Ms";

    std::string bodyOf(const SoakJob& job)
    {
        Json steps = Json::array();
        for (size_t i = 0; i < job.tasksOfStep.size(); ++i) {
            Json step = { { "count", job.tasksOfStep[i] }, { "cpu", job.cpuMillis }, { "memMb", 100 },
                { "estimateMs", absl::ToInt64Milliseconds(job.work) } };
            if (job.isGang)
                step["gang"] = true;
            if (i > 0)
                step["after"] = { i - 1 };
            steps.push_back(std::move(step));
        }
        return Json { { "spec", "text" }, { "steps", steps } }.dump();
    }

} // namespace

SoakCallers::SoakCallers(
    boost::asio::io_context& io, const Clock& clock, SoakJudge& judge, std::vector<Endpoint> nodes, uint64_t seed)
    : m_io(io)
    , m_judge(judge)
    , m_http(io, clock)
    , m_nodes(std::move(nodes))
    , m_random(seed)
{
}

absl::Duration SoakCallers::between(int64_t minMillis, int64_t maxMillis)
{
    return absl::Milliseconds(std::uniform_int_distribution<int64_t>(minMillis, maxMillis)(m_random));
}

absl::Duration SoakCallers::between(absl::Duration min, absl::Duration max)
{
    return between(absl::ToInt64Milliseconds(min), absl::ToInt64Milliseconds(max));
}

void SoakCallers::setLoad(absl::Duration minWork, absl::Duration maxWork, absl::Duration minPause)
{
    m_minWork = minWork;
    m_maxWork = maxWork;
    m_minPause = minPause;
}

void SoakCallers::start() { submitNext(); }

SoakJob SoakCallers::drawJob()
{
    SoakJob job;
    job.id = absl::StrFormat("%016x", m_random());
    job.tasksOfStep.push_back(1 + static_cast<uint32_t>(m_random() % 5));
    if (m_random() % 4 == 0)
        job.tasksOfStep.push_back(1 + static_cast<uint32_t>(m_random() % 3));
    job.cpuMillis = 300 + static_cast<int64_t>(m_random() % 1200);
    job.work = between(m_minWork, m_maxWork);
    job.isHopeless = m_random() % 25 == 0;
    job.isGang = m_random() % 6 == 0;
    job.account = m_judge.accounts().empty() ? 0 : m_random() % m_judge.accounts().size();
    job.hasUnknownKey = !m_judge.accounts().empty() && m_random() % 20 == 0;
    job.isDeadly = m_hasDeadlyJobs && m_random() % 15 == 0;
    return job;
}

void SoakCallers::submitNext()
{
    if (m_isStopped)
        return;
    const SoakJob job = drawJob();
    m_judge.add(job);
    if (job.hasUnknownKey) {
        submitWithUnknownKey(job);
        return later(m_io, between(m_minPause, 4 * m_minPause), [this] { submitNext(); });
    }
    auto attempts = std::make_shared<Attempts>();
    ++m_handingIn;
    submit(job.id, bodyOf(job), attempts);
    // The same id at a second node at once, as after an answer that was lost.
    if (m_random() % 10 == 0)
        submit(job.id, bodyOf(job), attempts);
    if (m_random() % 12 == 0)
        later(m_io, between(50, 2500), [this, id = job.id] { cancel(id); });
    later(m_io, between(m_minPause, 4 * m_minPause), [this] { submitNext(); });
}

void SoakCallers::submitWithUnknownKey(const SoakJob& job)
{
    call("POST", job.id, bodyOf(job), [this, id = job.id](const HttpResult& answer) {
        const bool isAnswered = answer.outcome == HttpOutcome::ResponseReceived;
        if (isAnswered && answer.status != 401 && answer.status != 503)
            m_judge.violate(absl::StrCat("job ", id, ": a caller with an unknown key got status ", answer.status));
    });
}

void SoakCallers::submit(const std::string& id, const std::string& body, const std::shared_ptr<Attempts>& attempts)
{
    ++attempts->made;
    call("POST", id, body, [this, id, body, attempts](const HttpResult& answer) {
        const bool isAnswered = answer.outcome == HttpOutcome::ResponseReceived;
        const bool isAccepted = isAnswered && answer.status / 100 == 2;
        attempts->turnedAway += isAnswered && (answer.status == 429 || answer.status == 503) ? 1 : 0;
        if (isAccepted && !std::exchange(attempts->isAccepted, true)) {
            m_judge.accepted(id);
            later(m_io, between(100, 600), [this, id] { ask(id); });
        }
        if (attempts->isSettled)
            return;
        if (isAccepted || attempts->made >= maxAttempts) {
            attempts->isSettled = true;
            --m_handingIn;
            if (attempts->turnedAway == attempts->made)
                m_judge.refused(id);
            return;
        }
        later(m_io, between(100, 900), [this, id, body, attempts] {
            if (!attempts->isSettled)
                submit(id, body, attempts);
        });
    });
}

void SoakCallers::cancel(const std::string& id)
{
    m_judge.cancelSent(id);
    call("DELETE", id, "", [this, id](const HttpResult& answer) {
        const bool isAnswered = answer.outcome == HttpOutcome::ResponseReceived;
        if (isAnswered && answer.status / 100 == 2)
            return m_judge.cancelled(id);
        if (!isAnswered || answer.status != 410)
            later(m_io, between(200, 900), [this, id] { cancel(id); });
    });
}

void SoakCallers::ask(const std::string& id)
{
    call("GET", id, "", [this, id](const HttpResult& answer) {
        std::string state;
        if (answer.outcome == HttpOutcome::ResponseReceived && answer.status == 410)
            m_judge.shown(id, "");
        const auto body = platform::parseBody(answer.body);
        if (answer.outcome == HttpOutcome::ResponseReceived && answer.status == 200 && body
            && platform::readField(*body, "state", state) && !state.empty())
            m_judge.shown(id, state);
        if (m_judge.jobs().at(id).ended.empty())
            later(m_io, between(300, 900), [this, id] { ask(id); });
    });
}

void SoakCallers::call(
    const char* method, const std::string& id, std::string body, absl::AnyInvocable<void(HttpResult)> callback)
{
    platform::HttpCall request { m_nodes[m_random() % m_nodes.size()], method, absl::StrCat(Grid::queuePrefix, id),
        std::move(body), {}, callTimeout };
    request.headers
        = { { "Host", Grid::queueHost }, { deadlineHeader, absl::StrCat(absl::ToInt64Milliseconds(callTimeout)) } };
    const SoakJob& job = m_judge.jobs().at(id);
    if (!m_judge.accounts().empty())
        request.headers.emplace_back("Authorization",
            absl::StrCat("Bearer ", job.hasUnknownKey ? "unknown" : m_judge.accounts()[job.account].key));
    m_http.send(std::move(request), std::move(callback));
}

} // namespace cicada::test
