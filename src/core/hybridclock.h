#pragma once

/** \file
 * Defines the hybrid logical clock that gives the events of all processes a causal order.
 */

#include <atomic>
#include <cstdint>

namespace jujube::core {

/** A hybrid logical clock: 48 bits of wall-clock milliseconds, 16 bits of a counter.
 *
 * Every message carries the sender's time and the receiver passes it to observe(), so an event
 * never has a smaller time than its cause. Safe to use from any thread.
 *
 * \code
 * HybridClock clock;
 * message.time = clock.tick();   // sender
 * clock.observe(message.time);   // receiver
 * \endcode
 */
class HybridClock
{
public:
    /** Returns a time larger than every time returned or observed before. */
    uint64_t tick() noexcept;
    /** Advances the clock to a time received from another process.
     *
     * Ignores times more than one minute ahead of the local wall clock.
     */
    void observe(uint64_t remote) noexcept;

    /** Wall-clock milliseconds since the Unix epoch of a hybrid time. */
    static uint64_t physicalMs(uint64_t time) noexcept { return time >> 16U; }

private:
    std::atomic<uint64_t> m_last{0};
};

/** The one hybrid clock of this process. */
HybridClock &processClock() noexcept;

} // namespace jujube::core
