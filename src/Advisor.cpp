#include "Advisor.h"

#include "Pack.h"

namespace cicada {

namespace {

    constexpr const char* requestService = "advice.ask";
    constexpr const char* replyService = "advice.reply";
    /** Requests that take more than this many times as long as the shortest one may not use all slots. */
    constexpr double longRequestFactor = 3;
    constexpr absl::Duration minExpectedRetention = absl::Seconds(30);
    constexpr double overheadWeight = 0.2;
    /** The share of all slots that long requests may use. */
    constexpr double longRequestSlotShare = 0.7;
    /** A slot is given its next request this long before it is expected to be free, which hides the transit time. */
    constexpr absl::Duration queueAhead = absl::Milliseconds(40);
    /** How long a reply may take beyond the service's own time and the requests queued before it. */
    constexpr absl::Duration replySlack = absl::Milliseconds(1200);
    constexpr size_t maxPerSlot = 8;

    using TicketFields = std::vector<std::pair<std::string, std::string>>;

} // namespace

AdvisorSlots::AdvisorSlots(std::string self, Advisor& advisor, PeerBus& peers, TimerQueue& timers, EventLog& log)
    : m_self(std::move(self))
    , m_advisor(advisor)
    , m_peers(peers)
    , m_timers(timers)
    , m_log(log)
{
    m_peers.handle(requestService,
        [this](absl::string_view from, absl::string_view bytes) { handleRequest(std::string(from), bytes); });
    m_peers.handle(replyService, [this](absl::string_view, absl::string_view bytes) { handleReply(bytes); });
}

void AdvisorSlots::request(
    AdviceRequest adviceRequest, absl::Duration expected, absl::AnyInvocable<void(AdviceReply)> callback)
{
    auto& queue = isLong(expected) ? m_long : m_short;
    queue.push_back({ std::move(adviceRequest), expected, std::move(callback) });
    sendWaiting();
}

bool AdvisorSlots::isLong(absl::Duration expected)
{
    const Instant now = m_timers.clock().now();
    if (expected <= m_minExpected || now - m_minExpectedAt > minExpectedRetention) {
        m_minExpected = expected;
        m_minExpectedAt = now;
    }
    return expected > m_minExpected * longRequestFactor;
}

void AdvisorSlots::refreshSlots()
{
    absl::btree_map<std::string, Slot> slots;
    slots[m_self] = m_slots[m_self];
    for (const std::string& peer : m_peers.peerNames()) {
        if (!m_slotFilter || m_slotFilter(peer))
            slots[peer] = m_slots[peer];
    }
    m_slots = std::move(slots);
}

void AdvisorSlots::sendWaiting()
{
    refreshSlots();
    while (sendNext(m_short, false)) { }
    while (sendNext(m_long, true)) { }
}

bool AdvisorSlots::sendNext(std::deque<Waiting>& queue, bool isLong)
{
    if (queue.empty())
        return false;
    std::string slot;
    if (!findFreeSlot(isLong, slot))
        return false;
    Waiting next = std::move(queue.front());
    queue.pop_front();
    send(slot, std::move(next));
    return true;
}

AdvisorSlots::Slot* AdvisorSlots::findFreeSlot(bool isLong, std::string& name)
{
    const Instant now = m_timers.clock().now();
    const auto longRequestSlots
        = static_cast<size_t>(std::max(1.0, static_cast<double>(m_slots.size()) * longRequestSlotShare));
    // Long requests use this entry's own slot only when there is no other.
    size_t position = 0;
    Slot* best = nullptr;
    Instant bestReplyAt;
    for (auto& [slot, state] : m_slots) {
        const bool isOwn = slot == m_self;
        const bool allowsLong = isOwn ? m_slots.size() == 1 : position++ < longRequestSlots;
        if ((isLong && !allowsLong) || state.inFlight >= maxPerSlot || state.busyUntil > now + queueAhead)
            continue;
        const Instant replyAt = std::max(state.busyUntil, now) + state.overhead;
        if (best && bestReplyAt <= replyAt)
            continue;
        bestReplyAt = replyAt;
        best = &state;
        name = slot;
    }
    return best;
}

void AdvisorSlots::send(const std::string& slot, Waiting waiting)
{
    const Instant now = m_timers.clock().now();
    Slot& state = m_slots[slot];
    const absl::Duration queued = std::max(state.busyUntil - now, absl::ZeroDuration());
    state.busyUntil = now + queued + waiting.expected;
    ++state.inFlight;
    const uint64_t number = m_numbers.next();
    const absl::Duration timeout = queued + waiting.expected + replySlack;
    m_sent[number] = { slot, now, queued + waiting.expected, std::move(waiting.callback) };
    m_timers.after(timeout, [this, number] { finish(number, {}); });
    if (slot == m_self) {
        m_advisor.request(
            waiting.adviceRequest, timeout, [this, number](AdviceReply reply) { finish(number, std::move(reply)); });
        return;
    }
    const TaskName& step = waiting.adviceRequest.step;
    const bool sent = m_peers.send(slot, requestService,
        Internal::packFields(number, step.job, step.occurrence, step.step, waiting.adviceRequest.workers,
            absl::ToInt64Milliseconds(timeout)));
    if (!sent)
        m_timers.after(absl::ZeroDuration(), [this, number] { finish(number, {}); });
}

void AdvisorSlots::finish(uint64_t number, AdviceReply reply)
{
    const auto found = m_sent.find(number);
    if (found == m_sent.end())
        return;
    Sent sent = std::move(found->second);
    m_sent.erase(found);
    const auto slot = m_slots.find(sent.slot);
    if (slot != m_slots.end()) {
        const absl::Duration excess
            = std::max(absl::ZeroDuration(), m_timers.clock().now() - sent.sentAt - sent.expected);
        slot->second.overhead += (excess - slot->second.overhead) * overheadWeight;
    }
    if (slot != m_slots.end() && slot->second.inFlight > 0 && --slot->second.inFlight == 0)
        slot->second.busyUntil = m_timers.clock().now();
    if (!reply.isValid)
        m_log.write("advice-failed", "lane", sent.slot, "afterMs",
            absl::ToInt64Milliseconds(m_timers.clock().now() - sent.sentAt));
    sent.callback(std::move(reply));
    sendWaiting();
}

void AdvisorSlots::handleLinkLost(const std::string& entry)
{
    std::vector<uint64_t> lost;
    for (const auto& [number, sent] : m_sent) {
        if (sent.slot == entry)
            lost.push_back(number);
    }
    for (const uint64_t number : lost)
        finish(number, {});
}

void AdvisorSlots::handleRequest(const std::string& from, absl::string_view bytes)
{
    uint64_t number = 0;
    AdviceRequest adviceRequest;
    int64_t timeoutMillis = 0;
    auto unpacked = Internal::unpackFields(bytes, "advice request", number, adviceRequest.step.job,
        adviceRequest.step.occurrence, adviceRequest.step.step, adviceRequest.workers, timeoutMillis);
    if (!unpacked) {
        m_log.write("peer-message-malformed", "from", from, "service", requestService);
        return;
    }
    m_advisor.request(adviceRequest, absl::Milliseconds(timeoutMillis), [this, from, number](AdviceReply reply) {
        TicketFields tickets;
        for (Ticket& ticket : reply.tickets)
            tickets.emplace_back(std::move(ticket.worker), std::move(ticket.text));
        m_peers.send(from, replyService,
            Internal::packFields(number, reply.isValid, absl::ToInt64Milliseconds(reply.validity), tickets));
    });
}

void AdvisorSlots::handleReply(absl::string_view bytes)
{
    uint64_t number = 0;
    AdviceReply reply;
    int64_t validityMillis = 0;
    TicketFields tickets;
    if (!Internal::unpackFields(bytes, "advice reply", number, reply.isValid, validityMillis, tickets)) {
        m_log.write("peer-message-malformed", "service", replyService);
        return;
    }
    reply.validity = absl::Milliseconds(validityMillis);
    for (auto& [worker, text] : tickets)
        reply.tickets.push_back({ std::move(worker), std::move(text) });
    finish(number, std::move(reply));
}

} // namespace cicada
