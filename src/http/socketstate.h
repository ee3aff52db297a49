#pragma once

/** \file
 * Defines a query of the state that the kernel knows of a connection.
 */

#include <boost/asio/ip/tcp.hpp>

#include <poll.h>

namespace jujube::http {

/** Whether the kernel reports one of these poll events. The event loop may not have processed it
 * yet. */
inline bool hasPollEvents(boost::asio::ip::tcp::socket &socket, short events)
{
    pollfd state{socket.native_handle(), events, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & events) != 0;
}

} // namespace jujube::http
