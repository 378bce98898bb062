#pragma once

/** \file
 * Internal: what the servers and the links between entries share in accepting connections. Includes Boost.Asio, so this
 * header is included by sources only.
 */

#include "Error.h"
#include "ListenStatus.h"
#include "Settings.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace cicada::Internal {

/** How long to wait after a connection could not be accepted, as when all descriptors are in use. Trying again at once
 * would take the whole processor. */
constexpr std::chrono::milliseconds acceptRetryDelay(100);

/** Opens `acceptor` and listens at `address`. It is closed again unless the result is Listening. */
Result<ListenStatus> listenAt(boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& address, int backlog);

} // namespace cicada::Internal
