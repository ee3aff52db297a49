#include "serving/loopmonitor.h"

#include "core/eventlog.h"
#include "core/metrics.h"

#include <algorithm>
#include <sys/resource.h>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

std::chrono::nanoseconds processorTime()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + std::chrono::microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

} // namespace

LoopMonitor::LoopMonitor(boost::asio::io_context &io) : m_timer(io)
{
}

void LoopMonitor::start()
{
    m_checkedAt = core::BootClock::now();
    m_dueAt = m_checkedAt + Interval;
    m_processorTime = processorTime();
    m_timer.expires_after(Interval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            check();
    });
}

void LoopMonitor::check()
{
    const TimePoint now = core::BootClock::now();
    const auto late = std::max(now - m_dueAt, core::BootClock::duration(0));
    const auto lateMs = std::chrono::duration_cast<Milliseconds>(late);
    m_worstDelay = std::max(m_worstDelay, lateMs);
    core::recordDuration("jujube_loop_late_seconds", {}, late);
    if (lateMs >= LogThreshold) {
        const auto used =
            std::chrono::duration_cast<Milliseconds>(processorTime() - m_processorTime);
        core::Event("loop.late")
            .with("late_ms", lateMs.count())
            .with("processor_ms", used.count())
            .with("elapsed_ms",
                  std::chrono::duration_cast<Milliseconds>(now - m_checkedAt).count());
    }
    start();
}

} // namespace jujube::serving
