#pragma once

/** \file
 * Defines loopback addresses that tests running side by side do not share.
 */

#include "core/text.h"

#include <string>
#include <unistd.h>

namespace jujube::test {

/** "127.x.y.1:port" with a network of the calling process. */
inline std::string loopbackAddress(uint16_t port)
{
    constexpr int octetValues = 250;
    const int pid = getpid();
    return core::concat("127.", 1 + pid / octetValues % octetValues, ".", 1 + pid % octetValues,
                        ".1:", port);
}

} // namespace jujube::test
