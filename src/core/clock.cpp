#include "core/clock.h"

#include <algorithm>
#include <ctime>
#include <limits>

namespace jujube::core {

BootClock::time_point BootClock::now() noexcept
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

std::chrono::milliseconds wallTime() noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

uint32_t toMessageMs(std::chrono::nanoseconds duration) noexcept
{
    const auto ms = std::chrono::duration_cast<Milliseconds>(duration).count();
    const int64_t bounded = std::clamp<int64_t>(ms, 0, std::numeric_limits<uint32_t>::max());
    return static_cast<uint32_t>(bounded);
}

} // namespace jujube::core
