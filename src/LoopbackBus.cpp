#include "LoopbackBus.h"

namespace cicada {

LoopbackBus::LoopbackBus(std::string name, PeerBus& peers)
    : m_name(std::move(name))
    , m_peers(peers)
{
}

void LoopbackBus::handle(absl::string_view service, Handler handler)
{
    auto shared = std::make_shared<Handler>(std::move(handler));
    m_handlers[std::string(service)] = shared;
    m_peers.handle(service, [shared](absl::string_view from, absl::string_view bytes) { (*shared)(from, bytes); });
}

bool LoopbackBus::send(absl::string_view peer, absl::string_view service, std::string bytes)
{
    if (peer != m_name)
        return m_peers.send(peer, service, std::move(bytes));
    m_queue.push_back({ std::string(service), std::move(bytes) });
    return true;
}

void LoopbackBus::tick()
{
    // Messages that the handlers send in turn wait for the next tick, so that a tick always terminates.
    std::deque<Message> due;
    due.swap(m_queue);
    for (const Message& message : due) {
        auto it = m_handlers.find(message.service);
        if (it != m_handlers.end())
            (*it->second)(m_name, message.bytes);
    }
}

} // namespace cicada
