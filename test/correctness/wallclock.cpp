/** \file
 * Tests of the clock that usage windows follow while the system's time of day jumps.
 */

#include "serving/wallclock.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};
constexpr core::Milliseconds Day{1'800'000'000'000};

// Adjusts the clock for a while to a system time that is off by the given time.
void followSystemTime(serving::WallClock &clock, core::TimePoint from, core::Milliseconds time,
                      core::Milliseconds offset)
{
    for (core::Milliseconds it(0); it < time; it += 200ms)
        clock.adjust(Day + std::chrono::duration_cast<core::Milliseconds>(from - Start) + it
                         + offset,
                     from + it);
}

} // namespace

Test(wallclock, goes_on_with_elapsed_time)
{
    serving::WallClock clock(Start, Day);
    cr_assert(clock.at(Start + 90s) == Day + 90s);
}

// The system's time of day jumps by 3 s on some machines and returns after 6 s.
Test(wallclock, does_not_follow_a_jump_that_goes_back)
{
    serving::WallClock clock(Start, Day);
    followSystemTime(clock, Start, 6s, 3s);
    cr_assert(clock.at(Start + 6s) == Day + 6s);
    followSystemTime(clock, Start + 6s, 6s, 0s);
    followSystemTime(clock, Start + 12s, 6s, -3s);
    cr_assert(clock.at(Start + 18s) == Day + 18s);
}

Test(wallclock, takes_a_lasting_correction_of_the_systems_time)
{
    serving::WallClock clock(Start, Day);
    followSystemTime(clock, Start, 70s, 5s);
    cr_assert(clock.at(Start + 70s) == Day + 75s);
}

// A gateway that starts while its system's time is wrong takes its peers' time.
Test(wallclock, a_wrong_time_at_the_start_is_corrected_by_peers)
{
    serving::WallClock clock(Start, Day + 4s);
    for (const char *peer : {"a", "b", "c"})
        clock.recordPeerTime(peer, Day + 30ms, Start);
    clock.adjust(Day + 4s, Start);
    cr_assert_leq(std::chrono::abs(clock.at(Start) - Day).count(), 100);
}

Test(wallclock, one_wrong_peer_among_several_is_outvoted)
{
    serving::WallClock clock(Start, Day);
    clock.recordPeerTime("a", Day + 4s, Start);
    clock.recordPeerTime("b", Day - 20ms, Start);
    clock.adjust(Day, Start);
    cr_assert(clock.at(Start) == Day);
    clock.recordPeerTime("a", Day + 4s, Start);
    cr_assert(clock.adjust(Day + 10s, Start + 10s) == 0ms, "offsets of peers expire");
}
