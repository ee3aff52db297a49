#pragma once

/** \file
 * Defines the rate at which a message body has to arrive.
 */

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace jujube::http {

/** The slowest links of a deployment carry twenty times as much. */
inline constexpr uint64_t MinTransferBytesPerSecond = 64UL * 1024;

/** Returns the time by which the received part of a body extends a limit on its transfer. */
inline core::Milliseconds transferAllowance(size_t receivedBytes)
{
    constexpr uint64_t msPerSecond = 1'000;
    return core::Milliseconds(receivedBytes * msPerSecond / MinTransferBytesPerSecond);
}

} // namespace jujube::http
