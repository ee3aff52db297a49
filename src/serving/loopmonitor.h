#pragma once

/** \file
 * Defines the monitor of the latency of an event loop.
 */

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jujube::serving {

/** Measures how late the handlers of an event loop run.
 *
 * A timer is due at a fixed interval; the delay of its handler is the delay of all other events at
 * that time. The delay is recorded in the histogram `jujube_loop_late_seconds`. From LogThreshold
 * on it is also logged, with the processor time and the elapsed time since the last check. If their
 * ratio is near the processor share of the VM, the process was computing; if it is far below, the
 * process was suspended.
 */
class LoopMonitor
{
public:
    explicit LoopMonitor(boost::asio::io_context &io);

    /** Starts the timer of the next check. */
    void start();
    /** Largest delay so far. */
    core::Milliseconds worstDelay() const { return m_worstDelay; }

    static constexpr core::Milliseconds Interval{100};
    /** A fifth of half a second, the shortest bound that a late loop can violate. */
    static constexpr core::Milliseconds LogThreshold{100};

private:
    void check();

    boost::asio::steady_timer m_timer;
    core::TimePoint m_checkedAt{};
    core::TimePoint m_dueAt{};
    std::chrono::nanoseconds m_processorTime{};
    core::Milliseconds m_worstDelay{};
};

} // namespace jujube::serving
