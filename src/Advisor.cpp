#include "Advisor.h"

#include "Pack.h"

namespace cicada {

namespace {

    constexpr const char* questionService = "advice.ask";
    constexpr const char* answerService = "advice.reply";
    /** Questions that take so many times as long as the shortest are kept off some lanes. */
    constexpr double longFactor = 3;
    constexpr absl::Duration shortestMemory = absl::Seconds(30);
    constexpr double overheadWeight = 0.2;
    /** Of all lanes, the share that long questions may use. */
    constexpr double longShare = 0.7;
    /** A lane takes another question when it is free this soon, which hides the way there. */
    constexpr absl::Duration queueAhead = absl::Milliseconds(40);
    /** What an answer may take beyond the service's own time and the questions before it. */
    constexpr absl::Duration answerSlack = absl::Milliseconds(1200);
    constexpr size_t maxPerLane = 8;

    using TicketFields = std::vector<std::pair<std::string, std::string>>;

} // namespace

AdviceLanes::AdviceLanes(std::string self, Advisor& advisor, PeerBus& peers, TimerQueue& timers, EventLog& log)
    : m_self(std::move(self))
    , m_advisor(advisor)
    , m_peers(peers)
    , m_timers(timers)
    , m_log(log)
{
    m_peers.handle(questionService,
        [this](absl::string_view from, absl::string_view bytes) { handleQuestion(std::string(from), bytes); });
    m_peers.handle(answerService, [this](absl::string_view, absl::string_view bytes) { handleAnswer(bytes); });
}

void AdviceLanes::ask(AdviceQuestion question, absl::Duration expected, absl::AnyInvocable<void(AdviceAnswer)> callback)
{
    auto& queue = isLong(expected) ? m_long : m_short;
    queue.push_back({ std::move(question), expected, std::move(callback) });
    pump();
}

bool AdviceLanes::isLong(absl::Duration expected)
{
    const Instant now = m_timers.clock().now();
    if (expected <= m_shortest || now - m_shortestAt > shortestMemory) {
        m_shortest = expected;
        m_shortestAt = now;
    }
    return expected > m_shortest * longFactor;
}

void AdviceLanes::refreshLanes()
{
    absl::btree_map<std::string, Lane> lanes;
    lanes[m_self] = m_lanes[m_self];
    for (const std::string& peer : m_peers.peerNames()) {
        if (!m_isOurs || m_isOurs(peer))
            lanes[peer] = m_lanes[peer];
    }
    m_lanes = std::move(lanes);
}

void AdviceLanes::pump()
{
    refreshLanes();
    while (sendNext(m_short, false)) { }
    while (sendNext(m_long, true)) { }
}

bool AdviceLanes::sendNext(std::deque<Waiting>& queue, bool isLong)
{
    if (queue.empty())
        return false;
    std::string lane;
    if (!freeLane(isLong, lane))
        return false;
    Waiting next = std::move(queue.front());
    queue.pop_front();
    send(lane, std::move(next));
    return true;
}

AdviceLanes::Lane* AdviceLanes::freeLane(bool isLong, std::string& name)
{
    const Instant now = m_timers.clock().now();
    const auto longLanes = static_cast<size_t>(std::max(1.0, static_cast<double>(m_lanes.size()) * longShare));
    // This entry's own lane is the last that long questions get.
    size_t position = 0;
    Lane* best = nullptr;
    Instant bestAnswered;
    for (auto& [lane, state] : m_lanes) {
        const bool isOwn = lane == m_self;
        const bool allowsLong = isOwn ? m_lanes.size() == 1 : position++ < longLanes;
        if ((isLong && !allowsLong) || state.inFlight >= maxPerLane || state.busyUntil > now + queueAhead)
            continue;
        const Instant answered = std::max(state.busyUntil, now) + state.overhead;
        if (best && bestAnswered <= answered)
            continue;
        bestAnswered = answered;
        best = &state;
        name = lane;
    }
    return best;
}

void AdviceLanes::send(const std::string& lane, Waiting waiting)
{
    const Instant now = m_timers.clock().now();
    Lane& state = m_lanes[lane];
    const absl::Duration queued = std::max(state.busyUntil - now, absl::ZeroDuration());
    state.busyUntil = now + queued + waiting.expected;
    ++state.inFlight;
    const uint64_t number = ++m_lastNumber;
    const absl::Duration timeout = queued + waiting.expected + answerSlack;
    m_sent[number] = { lane, now, queued + waiting.expected, std::move(waiting.callback) };
    m_timers.after(timeout, [this, number] { finish(number, {}); });
    if (lane == m_self) {
        m_advisor.ask(
            waiting.question, timeout, [this, number](AdviceAnswer answer) { finish(number, std::move(answer)); });
        return;
    }
    const TaskName& step = waiting.question.step;
    const bool sent = m_peers.send(lane, questionService,
        Internal::packFields(number, step.job, step.occurrence, step.step, waiting.question.workers,
            absl::ToInt64Milliseconds(timeout)));
    if (!sent)
        m_timers.after(absl::ZeroDuration(), [this, number] { finish(number, {}); });
}

void AdviceLanes::finish(uint64_t number, AdviceAnswer answer)
{
    const auto found = m_sent.find(number);
    if (found == m_sent.end())
        return;
    Sent sent = std::move(found->second);
    m_sent.erase(found);
    const auto lane = m_lanes.find(sent.lane);
    if (lane != m_lanes.end()) {
        const absl::Duration beyond
            = std::max(absl::ZeroDuration(), m_timers.clock().now() - sent.sentAt - sent.expected);
        lane->second.overhead += (beyond - lane->second.overhead) * overheadWeight;
    }
    if (lane != m_lanes.end() && lane->second.inFlight > 0 && --lane->second.inFlight == 0)
        lane->second.busyUntil = m_timers.clock().now();
    if (!answer.isValid)
        m_log.write("advice-failed", "lane", sent.lane, "afterMs",
            absl::ToInt64Milliseconds(m_timers.clock().now() - sent.sentAt));
    sent.callback(std::move(answer));
    pump();
}

void AdviceLanes::handleQuestion(const std::string& from, absl::string_view bytes)
{
    uint64_t number = 0;
    AdviceQuestion question;
    int64_t timeoutMillis = 0;
    auto unpacked = Internal::unpackFields(bytes, "advice question", number, question.step.job,
        question.step.occurrence, question.step.step, question.workers, timeoutMillis);
    if (!unpacked) {
        m_log.write("peer-message-malformed", "from", from, "service", questionService);
        return;
    }
    m_advisor.ask(question, absl::Milliseconds(timeoutMillis), [this, from, number](AdviceAnswer answer) {
        TicketFields tickets;
        for (Ticket& ticket : answer.tickets)
            tickets.emplace_back(std::move(ticket.worker), std::move(ticket.text));
        m_peers.send(from, answerService,
            Internal::packFields(number, answer.isValid, absl::ToInt64Milliseconds(answer.validity), tickets));
    });
}

void AdviceLanes::handleAnswer(absl::string_view bytes)
{
    uint64_t number = 0;
    AdviceAnswer answer;
    int64_t validityMillis = 0;
    TicketFields tickets;
    if (!Internal::unpackFields(bytes, "advice answer", number, answer.isValid, validityMillis, tickets)) {
        m_log.write("peer-message-malformed", "service", answerService);
        return;
    }
    answer.validity = absl::Milliseconds(validityMillis);
    for (auto& [worker, text] : tickets)
        answer.tickets.push_back({ std::move(worker), std::move(text) });
    finish(number, std::move(answer));
}

} // namespace cicada
