#include "RequestQueue.h"

#include <algorithm>

namespace cicada {

namespace {

    bool sharesSlots(bool isLong, const QueuedRequest& request, bool separate)
    {
        return !separate || isLong == request.isLong;
    }

} // namespace

void FifoQueue::push(QueuedRequest request)
{
    m_work += request.expectedRun;
    m_requests[request.ticket] = std::move(request);
}

std::optional<uint64_t> FifoQueue::next(MayStart mayStart)
{
    if (m_requests.empty() || !mayStart(m_requests.begin()->second.isLong))
        return std::nullopt;
    return m_requests.begin()->first;
}

void FifoQueue::remove(uint64_t ticket)
{
    auto it = m_requests.find(ticket);
    if (it == m_requests.end())
        return;
    m_work -= it->second.expectedRun;
    m_requests.erase(it);
}

absl::Duration FifoQueue::workAhead(const QueuedRequest&, bool) const
{
    // The head blocks all others, so everything is ahead.
    return m_work;
}

void FairDeadlineQueue::push(QueuedRequest request)
{
    Class& urgencyClass = m_classes[request.urgency];
    Flow& flow = urgencyClass.flows[request.profile];
    if (flow.requests.empty())
        flow.used = std::max(flow.used, urgencyClass.usedFloor);
    flow.urgency = request.urgency;
    flow.share = std::max(1, request.share);
    flow.isLong = request.isLong;
    flow.work += request.expectedRun;
    flow.requests[{ request.deadline, request.ticket }] = request.expectedRun;
    m_flowOf[request.ticket] = { &flow, request.deadline };
}

FairDeadlineQueue::Flow* FairDeadlineQueue::chooseFlow(Class& urgencyClass, MayStart mayStart)
{
    absl::Duration leastUsed = absl::InfiniteDuration();
    for (auto& [name, flow] : urgencyClass.flows) {
        if (!flow.requests.empty() && mayStart(flow.isLong))
            leastUsed = std::min(leastUsed, flow.used);
    }
    Flow* best = nullptr;
    for (auto& [name, flow] : urgencyClass.flows) {
        if (flow.requests.empty() || flow.used > leastUsed + fairnessSlack || !mayStart(flow.isLong))
            continue;
        if (!best || flow.requests.begin()->first < best->requests.begin()->first)
            best = &flow;
    }
    if (best)
        urgencyClass.usedFloor = std::max(urgencyClass.usedFloor, leastUsed);
    return best;
}

std::optional<uint64_t> FairDeadlineQueue::next(MayStart mayStart)
{
    Flow* chosen = nullptr;
    // A less urgent class comes first only when it was passed over this often, and more often than the one chosen.
    uint32_t overdueFrom = starvationBound - 1;
    for (auto& [urgency, urgencyClass] : m_classes) {
        if (chosen && urgencyClass.passedOver < overdueFrom)
            continue;
        Flow* flow = chooseFlow(urgencyClass, mayStart);
        if (!flow)
            continue;
        chosen = flow;
        overdueFrom = std::max(overdueFrom, urgencyClass.passedOver + 1);
    }
    if (!chosen)
        return std::nullopt;
    return chosen->requests.begin()->first.second;
}

void FairDeadlineQueue::notePassedOver(int chosen)
{
    for (auto& [urgency, urgencyClass] : m_classes) {
        const bool isWaiting = std::any_of(urgencyClass.flows.begin(), urgencyClass.flows.end(),
            [](const auto& named) { return !named.second.requests.empty(); });
        if (urgency == chosen || !isWaiting)
            urgencyClass.passedOver = 0;
        else
            ++urgencyClass.passedOver;
    }
}

void FairDeadlineQueue::take(uint64_t ticket, bool starts)
{
    auto place = m_flowOf.find(ticket);
    if (place == m_flowOf.end())
        return;
    Flow& flow = *place->second.flow;
    auto request = flow.requests.find({ place->second.deadline, ticket });
    flow.work -= request->second;
    if (starts)
        flow.used += request->second / flow.share;
    flow.requests.erase(request);
    m_flowOf.erase(place);
    if (starts)
        notePassedOver(flow.urgency);
}

void FairDeadlineQueue::start(uint64_t ticket) { take(ticket, true); }

void FairDeadlineQueue::remove(uint64_t ticket) { take(ticket, false); }

absl::Duration FairDeadlineQueue::workAhead(const QueuedRequest& request, bool separate) const
{
    absl::Duration ahead;
    for (const auto& [urgency, urgencyClass] : m_classes) {
        if (urgency < request.urgency)
            break;
        for (const auto& [name, flow] : urgencyClass.flows) {
            if (flow.requests.empty() || !sharesSlots(flow.isLong, request, separate))
                continue;
            const bool isBefore = urgency > request.urgency || flow.requests.rbegin()->first.first <= request.deadline;
            // Of a flow that reaches beyond the deadline, about half is before it.
            ahead += isBefore ? flow.work : flow.work / 2;
        }
    }
    return ahead;
}

} // namespace cicada
