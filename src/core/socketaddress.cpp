#include "core/socketaddress.h"

#include "core/text.h"

#include <arpa/inet.h>
#include <charconv>
#include <string>

namespace jujube::core {

absl::StatusOr<SocketAddress> parseSocketAddress(std::string_view text)
{
    const absl::Status invalid =
        absl::InvalidArgumentError(concat("not an IPv4 address and port: ", text));
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid;
    in_addr ip{};
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) != 1)
        return invalid;
    SocketAddress address;
    address.ip = ntohl(ip.s_addr);
    const char *end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (ec != std::errc() || ptr != end)
        return invalid;
    return address;
}

} // namespace jujube::core
