#include "core/hybridclock.h"

#include "core/clock.h"

#include <algorithm>

namespace jujube::core {

namespace {

// Limits how far a peer may advance this clock, so that one broken wall clock does not move the
// event times of the whole fleet.
constexpr uint64_t MaxDriftMs = 60'000;

uint64_t wallHybridTime() noexcept
{
    return static_cast<uint64_t>(wallTime().count()) << 16U;
}

} // namespace

uint64_t HybridClock::tick() noexcept
{
    uint64_t last = m_last.load(std::memory_order_relaxed);
    uint64_t next = 0;
    do {
        next = std::max(last + 1, wallHybridTime());
    } while (!m_last.compare_exchange_weak(last, next, std::memory_order_acq_rel));
    return next;
}

void HybridClock::observe(uint64_t remote) noexcept
{
    if (physicalMs(remote) > static_cast<uint64_t>(wallTime().count()) + MaxDriftMs)
        return;
    uint64_t last = m_last.load(std::memory_order_relaxed);
    while (last < remote
           && !m_last.compare_exchange_weak(last, remote, std::memory_order_acq_rel)) { }
}

HybridClock &processClock() noexcept
{
    static HybridClock clock;
    return clock;
}

} // namespace jujube::core
