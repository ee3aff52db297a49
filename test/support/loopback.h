#pragma once

/** \file
 * Defines loopback addresses that differ between test processes, so that tests can run in parallel.
 */

#include "core/text.h"

#include <string>
#include <unistd.h>

namespace jujube::test {

/** Address "127.x.y.1:port", where x and y are derived from the process id. */
inline std::string loopbackAddress(uint16_t port)
{
    constexpr int octetValues = 250;
    const int pid = getpid();
    return core::concat("127.", 1 + pid / octetValues % octetValues, ".", 1 + pid % octetValues,
                        ".1:", port);
}

} // namespace jujube::test
