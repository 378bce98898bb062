#pragma once

/** \file
 * Subscribes a member function to the messages of one kind between the owners of jobs and of racks.
 */

#include "JobMessages.h"
#include "PeerBus.h"

namespace cicada {

/** Calls `handler` for each message to `service` that can be decoded. `receiver` must outlive the peers' calls. */
template <typename Receiver, typename Message>
void handleJobMessages(PeerBus& peers, absl::string_view service, Receiver& receiver,
    void (Receiver::*handler)(const std::string& from, const Message&))
{
    peers.handle(service, [&receiver, handler](absl::string_view from, absl::string_view bytes) {
        if (auto message = decodeJobMessage<Message>(bytes))
            (receiver.*handler)(std::string(from), message.value());
    });
}

} // namespace cicada
