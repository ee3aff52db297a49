/** \file
 * Tests that an event never has a smaller time than its cause, and that a wrong remote clock is
 * ignored.
 */

#include "core/hybridclock.h"

#include <criterion/criterion.h>

using jujube::core::HybridClock;

Test(hybridclock, time_only_grows)
{
    HybridClock clock;
    uint64_t last = 0;
    for (int i = 0; i < 200'000; ++i) {
        const uint64_t next = clock.tick();
        cr_assert_gt(next, last);
        last = next;
    }
}

Test(hybridclock, an_effect_follows_a_cause_from_a_clock_that_is_ahead)
{
    HybridClock ahead;
    HybridClock behind;
    const uint64_t cause = ahead.tick() + (30'000ULL << 16U);
    behind.observe(cause);
    cr_assert_gt(behind.tick(), cause);
}

Test(hybridclock, a_remote_time_an_hour_ahead_is_ignored)
{
    HybridClock clock;
    const uint64_t before = clock.tick();
    clock.observe(before + (3'600'000ULL << 16U));
    cr_assert_lt(HybridClock::physicalMs(clock.tick()), HybridClock::physicalMs(before) + 60'000);
}
