#pragma once

/** \file
 * Defines an exponentially smoothed rate.
 */

#include "core/clock.h"

#include <chrono>
#include <cmath>

namespace jujube::policy {

/** Measures an amount per second, exponentially smoothed with the given time constant. */
class RateMeter
{
public:
    explicit RateMeter(core::Milliseconds timeConstant) : m_timeConstant(timeConstant) { }

    void note(double amount, core::TimePoint now)
    {
        m_rate = rate(now) + amount / std::chrono::duration<double>(m_timeConstant).count();
        m_at = now;
    }

    double rate(core::TimePoint now) const
    {
        const double elapsed = std::chrono::duration<double>(now - m_at).count();
        return m_rate * std::exp(-elapsed / std::chrono::duration<double>(m_timeConstant).count());
    }

private:
    core::Milliseconds m_timeConstant;
    double m_rate = 0;
    core::TimePoint m_at{};
};

} // namespace jujube::policy
