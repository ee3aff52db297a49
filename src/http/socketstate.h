#pragma once

/** \file
 * Defines queries of the state that the kernel knows of a connection.
 */

#include "core/clock.h"

#include <boost/asio/ip/tcp.hpp>

#include <poll.h>

namespace jujube::http {

/** Time for which a peer may leave sent data unacknowledged. Together with the keep-alive probes it
 * detects an unresponsive peer after about three seconds, which is within the shortest time limit
 * that the system guarantees. */
inline constexpr core::Milliseconds UserTimeout{2'500};

/** Sets the kernel's limit for unacknowledged data. It counts a closed window as such, so it also
 * ends connections whose peer pauses reading; 0 switches it off. */
void setUserTimeout(boost::asio::ip::tcp::socket &socket, core::Milliseconds timeout);

/** Bytes that were passed to the kernel and are not acknowledged. */
size_t unackedBytes(boost::asio::ip::tcp::socket &socket);
/** Bytes that were passed to the kernel and not sent yet. */
size_t unsentBytes(boost::asio::ip::tcp::socket &socket);
/** Whether the peer's kernel has left all that was sent for UserTimeout without an answer. A peer
 * that does not read answers. */
bool isUnresponsive(boost::asio::ip::tcp::socket &socket);

/** Whether the kernel reports one of these poll events. The event loop may not have processed it
 * yet. */
bool hasPollEvents(boost::asio::ip::tcp::socket &socket, short events);

} // namespace jujube::http
