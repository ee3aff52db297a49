#pragma once

/** \file
 * Defines the monitor of how far an event loop is behind.
 */

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jujube::serving {

/** Measures how late the handlers of an event loop run.
 *
 * A timer is due at a fixed interval; by as much as its handler runs later, every other event waits
 * as well. Lateness is recorded as the histogram `jujube_loop_late_seconds`. From LogFrom on it is
 * also logged, with the processor time and the elapsed time since the last check. Their ratio tells
 * the reason: near the processor share of the VM, the process computed; far below, it was
 * suspended.
 */
class LoopMonitor
{
public:
    explicit LoopMonitor(boost::asio::io_context &io);

    void start();
    /** Largest lateness so far. */
    core::Milliseconds worst() const { return m_worst; }

    static constexpr core::Milliseconds Interval{100};
    /** A fifth of the shortest bound that a late loop can break, half a second. */
    static constexpr core::Milliseconds LogThreshold{100};

private:
    void check();

    boost::asio::steady_timer m_timer;
    core::TimePoint m_checkedAt{};
    core::TimePoint m_dueAt{};
    std::chrono::nanoseconds m_processorTime{};
    core::Milliseconds m_worst{};
};

} // namespace jujube::serving
