#pragma once

/** \file
 * Defines the hybrid logical clock that orders events of all processes causally.
 */

#include <atomic>
#include <cstdint>

namespace jujube::core {

/** A hybrid logical clock: 48 bits of wall-clock milliseconds, 16 bits of a counter.
 *
 * Every message carries the sender's time and the receiver calls observe() with it, so an event
 * that another one caused never has a smaller time than its cause. Safe to use from any thread.
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
    /** Takes note of a time received from another process. */
    void observe(uint64_t remote) noexcept;

    /** Wall-clock milliseconds of a hybrid time. */
    static uint64_t physicalMs(uint64_t time) noexcept { return time >> 16U; }

private:
    std::atomic<uint64_t> m_last{0};
};

/** The clock of this process. */
HybridClock &processClock() noexcept;

} // namespace jujube::core
