#pragma once

/** \file
 * Defines which status codes a response may have.
 */

#include <cstdint>

namespace jujube::core {

/** Whether a response to a request that asks for no change of protocol may have this status. A peer
 * in trouble may send any three digits, such as 000. */
constexpr bool isValidHttpStatus(uint32_t status)
{
    constexpr uint32_t lowest = 100;
    constexpr uint32_t switchingProtocols = 101;
    constexpr uint32_t highest = 599;
    return status >= lowest && status <= highest && status != switchingProtocols;
}

/** The same, for a response that is not an interim one. */
constexpr bool isFinalHttpStatus(uint32_t status)
{
    constexpr uint32_t lowest = 200;
    return status >= lowest && isValidHttpStatus(status);
}

} // namespace jujube::core
