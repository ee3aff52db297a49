#pragma once

/** \file
 * Defines the parsing of addresses of the form "IPV4:PORT".
 */

#include <absl/status/statusor.h>

#include <cstdint>
#include <string_view>

namespace jujube::core {

/** An IPv4 address and a port. */
struct SocketAddress
{
    uint32_t ip = 0; ///< In host byte order.
    uint16_t port = 0;
};

/** Parses "a.b.c.d:port". Port 0 is accepted, as listeners use it for any free port.
 * \return InvalidArgument if the text is anything else. */
absl::StatusOr<SocketAddress> parseSocketAddress(std::string_view text);

} // namespace jujube::core
