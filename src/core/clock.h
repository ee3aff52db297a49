#pragma once

/** \file
 * Defines the monotonic clock for leases and deadlines, and the wall clock.
 */

#include <chrono>
#include <cstdint>

namespace jujube::core {

using Milliseconds = std::chrono::milliseconds;

/** Monotonic clock that also advances while the process or the VM is suspended.
 *
 * Leases use it, because a holder that resumes after a pause must see that its lease has expired.
 */
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;

/** Wall-clock time since the Unix epoch, for usage windows, record ages and event times.
 *
 * Leases and deadlines use BootClock, because the wall clock can be set.
 */
std::chrono::milliseconds wallTime() noexcept;

/** Converts a duration to the unsigned whole milliseconds used in messages.
 *
 * Clamps to the range of the result, so a negative duration becomes 0.
 */
uint32_t toMessageMs(std::chrono::nanoseconds duration) noexcept;

} // namespace jujube::core
