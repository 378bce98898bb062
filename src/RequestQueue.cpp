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
        flow.used = std::max(flow.used, urgencyClass.virtualTime);
    ++urgencyClass.waiting;
    flow.urgency = request.urgency;
    flow.share = std::max(1, request.share);
    flow.isLong = request.isLong;
    flow.work += request.expectedRun;
    flow.requests[{ request.deadline, request.ticket }] = request.expectedRun;
    m_positions[request.ticket] = { &flow, request.deadline };
}

FairDeadlineQueue::Flow* FairDeadlineQueue::chooseFlow(Class& urgencyClass, MayStart mayStart)
{
    absl::Duration minUsed = absl::InfiniteDuration();
    for (auto& [name, flow] : urgencyClass.flows) {
        if (!flow.requests.empty() && mayStart(flow.isLong))
            minUsed = std::min(minUsed, flow.used);
    }
    Flow* best = nullptr;
    for (auto& [name, flow] : urgencyClass.flows) {
        if (flow.requests.empty() || flow.used > minUsed + fairnessSlack || !mayStart(flow.isLong))
            continue;
        if (!best || flow.requests.begin()->first < best->requests.begin()->first)
            best = &flow;
    }
    if (best)
        urgencyClass.virtualTime = std::max(urgencyClass.virtualTime, minUsed);
    return best;
}

std::optional<uint64_t> FairDeadlineQueue::next(MayStart mayStart)
{
    for (auto& [urgency, urgencyClass] : m_classes) {
        Flow* chosen = urgencyClass.waiting > 0 ? chooseFlow(urgencyClass, mayStart) : nullptr;
        if (!chosen)
            continue;
        Flow* lessUrgent = m_credit > absl::ZeroDuration() ? chooseLessUrgent(urgency, mayStart) : nullptr;
        return (lessUrgent ? lessUrgent : chosen)->requests.begin()->first.second;
    }
    return std::nullopt;
}

/** Of the classes below `urgency`, chooses the one that has used the least of their common share. */
FairDeadlineQueue::Flow* FairDeadlineQueue::chooseLessUrgent(int urgency, MayStart mayStart)
{
    Flow* best = nullptr;
    absl::Duration minUsed = absl::InfiniteDuration();
    for (auto it = m_classes.upper_bound(urgency); it != m_classes.end(); ++it) {
        Class& urgencyClass = it->second;
        if (urgencyClass.waiting == 0 || urgencyClass.usedCredit >= minUsed)
            continue;
        Flow* flow = chooseFlow(urgencyClass, mayStart);
        if (!flow)
            continue;
        best = flow;
        minUsed = urgencyClass.usedCredit;
    }
    return best;
}

void FairDeadlineQueue::updateCredit(int urgency, absl::Duration run)
{
    bool moreUrgentWaits = false;
    bool lessUrgentWaits = false;
    for (const auto& [other, urgencyClass] : m_classes) {
        if (urgencyClass.waiting == 0)
            continue;
        moreUrgentWaits |= other > urgency;
        lessUrgentWaits |= other < urgency;
    }
    if (moreUrgentWaits) {
        m_credit -= run;
        m_classes[urgency].usedCredit += run;
    } else if (lessUrgentWaits) {
        m_credit = std::min(maxCredit, m_credit + run * (minLessUrgentShare / (1 - minLessUrgentShare)));
    } else {
        m_credit = absl::ZeroDuration();
        for (auto& [other, urgencyClass] : m_classes)
            urgencyClass.usedCredit = absl::ZeroDuration();
    }
}

void FairDeadlineQueue::removeRequest(uint64_t ticket, bool starts)
{
    auto position = m_positions.find(ticket);
    if (position == m_positions.end())
        return;
    Flow& flow = *position->second.flow;
    auto request = flow.requests.find({ position->second.deadline, ticket });
    const absl::Duration run = request->second;
    flow.work -= run;
    flow.requests.erase(request);
    m_positions.erase(position);
    --m_classes[flow.urgency].waiting;
    if (!starts)
        return;
    flow.used += run / flow.share;
    updateCredit(flow.urgency, run);
}

void FairDeadlineQueue::start(uint64_t ticket) { removeRequest(ticket, true); }

void FairDeadlineQueue::remove(uint64_t ticket) { removeRequest(ticket, false); }

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
            // Of a flow with requests beyond the deadline, about half of the work is assumed to come before it.
            ahead += isBefore ? flow.work : flow.work / 2;
        }
    }
    return ahead;
}

} // namespace cicada
