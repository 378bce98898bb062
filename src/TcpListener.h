#pragma once

/** \file
 * Internal: what the servers and the links between entries share in accepting connections. Includes Boost.Asio, so this
 * header is included by sources only.
 */

#include "Error.h"
#include "ListenStatus.h"
#include "Settings.h"

#include <boost/asio/ip/tcp.hpp>

namespace cicada::Internal {

/** Opens `acceptor` and listens at `address`. It is closed again unless the result is Listening. */
Result<ListenStatus> listenAt(boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& address, int backlog);

} // namespace cicada::Internal
