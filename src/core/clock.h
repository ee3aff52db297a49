#pragma once

/** \file
 * Defines the monotonic clock that leases and deadlines are judged on.
 */

#include <chrono>
#include <cstdint>

namespace jujube::core {

using Milliseconds = std::chrono::milliseconds;

/** Clock that keeps counting while the process or the VM is suspended.
 *
 * Leases are judged on it: a paused holder must see, when it resumes, that its lease ran out.
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

/** Wall-clock milliseconds since the Unix epoch. Used for usage windows and the time line only. */
std::chrono::milliseconds wallTime() noexcept;

/** Whole milliseconds of a duration, as the unsigned count used in messages; negative becomes 0. */
uint32_t toMessageMs(std::chrono::nanoseconds duration) noexcept;

} // namespace jujube::core
