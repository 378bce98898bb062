#include "WaitingRequests.h"

namespace cicada {

void WaitingRequests::add(std::unique_ptr<WaitingRequest> waiting)
{
    const uint64_t ticket = waiting->request.ticket;
    m_deadlines.insert({ waiting->request.deadline, ticket });
    m_byRequest[waiting->item.requestId] = ticket;
    m_waiting[ticket] = std::move(waiting);
}

std::optional<uint64_t> WaitingRequests::ticketOf(absl::string_view requestId) const
{
    auto named = m_byRequest.find(requestId);
    return named == m_byRequest.end() ? std::nullopt : std::optional<uint64_t>(named->second);
}

std::optional<uint64_t> WaitingRequests::nextExpired(Instant now) const
{
    if (m_deadlines.empty() || m_deadlines.begin()->first > now)
        return std::nullopt;
    return m_deadlines.begin()->second;
}

std::unique_ptr<WaitingRequest> WaitingRequests::remove(uint64_t ticket)
{
    auto it = m_waiting.find(ticket);
    if (it == m_waiting.end())
        return nullptr;
    std::unique_ptr<WaitingRequest> waiting = std::move(it->second);
    m_waiting.erase(it);
    m_deadlines.erase({ waiting->request.deadline, ticket });
    auto named = m_byRequest.find(waiting->item.requestId);
    if (named != m_byRequest.end() && named->second == ticket)
        m_byRequest.erase(named);
    // The reply to a place request in flight then matches no ticket, and a granted slot is returned to its owner.
    m_placeRequests.erase(waiting->placeRequestId);
    return waiting;
}

void WaitingRequests::notePlaceRequest(uint64_t ticket, uint64_t placeRequestId, const std::string& peer, Instant now)
{
    WaitingRequest& waiting = at(ticket);
    waiting.placeRequestId = placeRequestId;
    waiting.placeRequestSentAt = now;
    waiting.requestedPeer = peer;
    m_placeRequests[placeRequestId] = ticket;
    m_sentPlaceRequests.emplace_back(now, placeRequestId);
}

WaitingRequest* WaitingRequests::withPlaceRequest(uint64_t placeRequestId)
{
    auto placeRequest = m_placeRequests.find(placeRequestId);
    return placeRequest == m_placeRequests.end() ? nullptr : &at(placeRequest->second);
}

void WaitingRequests::endPlaceRequest(WaitingRequest& waiting)
{
    m_placeRequests.erase(waiting.placeRequestId);
    waiting.placeRequestId = 0;
}

WaitingRequest* WaitingRequests::endOverduePlaceRequest(Instant now, absl::Duration timeout)
{
    while (!m_sentPlaceRequests.empty() && now - m_sentPlaceRequests.front().first > timeout) {
        WaitingRequest* waiting = withPlaceRequest(m_sentPlaceRequests.front().second);
        m_sentPlaceRequests.pop_front();
        if (!waiting)
            continue;
        endPlaceRequest(*waiting);
        return waiting;
    }
    return nullptr;
}

} // namespace cicada
