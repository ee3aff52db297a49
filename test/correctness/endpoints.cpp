/** \file
 * Tests of how endpoints that fail or refuse are avoided, without any network.
 */

#include "serving/endpoints.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

using State = policy::OutlierDetector::State;

const core::TimePoint Start{1'000s};

std::vector<serving::EndpointPtr> endpoints(size_t prefillEngines, size_t decodeEngines)
{
    std::vector<serving::EndpointPtr> result;
    for (size_t i = 0; i < prefillEngines + decodeEngines; ++i) {
        serving::EndpointRecord record;
        record.id = "e" + std::to_string(i);
        record.stage = i < prefillEngines ? serving::Stage::Prefill : serving::Stage::Decode;
        result.push_back(std::make_shared<serving::Endpoint>(record, 1'000'000));
    }
    return result;
}

size_t healthy(const std::vector<serving::EndpointPtr> &all, core::TimePoint now)
{
    return static_cast<size_t>(std::count_if(all.begin(), all.end(), [now](const auto &it) {
        return it->health.state(now) == State::Healthy;
    }));
}

} // namespace

// A decoder fails two requests of five at once: successes between hide that from a count of
// failures in a row, and being quick it draws requests.
Test(endpoints, one_that_answers_part_with_errors_is_ejected)
{
    const auto all = endpoints(4, 3);
    core::TimePoint now = Start;
    int answers = 0;
    while (all[4]->health.state(now) == State::Healthy && answers < 60) {
        now += 40ms;
        for (const auto &it : all) {
            serving::recordAnswer(*it, all, it == all[4] && answers % 5 < 2, now);
        }
        ++answers;
    }
    cr_assert_leq(answers, 30);
    cr_assert_eq(healthy(all, now), 6U);
}

// A reset of the network breaks a dozen connections to a healthy endpoint in the same moment.
Test(endpoints, connections_that_break_together_are_one_failure)
{
    const auto all = endpoints(2, 2);
    for (int i = 0; i < 12; ++i)
        serving::recordLostAnswer(*all[0], Start + std::chrono::milliseconds(i));
    cr_assert_eq(healthy(all, Start + 12ms), 4U);
}

// Overload: decoders that lose two answers of five after running them still serve the other three.
Test(endpoints, ones_that_lose_part_of_their_answers_are_still_used)
{
    const auto all = endpoints(4, 4);
    core::TimePoint now = Start;
    for (int i = 0; i < 100; ++i) {
        now += 40ms;
        for (size_t j = 4; j < all.size(); ++j) {
            if (i % 5 < 2)
                serving::recordLostAnswer(*all[j], now);
            else
                serving::recordAnswer(*all[j], all, false, now);
        }
        cr_assert_eq(healthy(all, now), 8U);
    }
}

// All decoders fail: leaving them all out would serve nobody.
Test(endpoints, a_fault_of_a_whole_stage_ejects_half_of_it_at_most)
{
    const auto all = endpoints(4, 4);
    core::TimePoint now = Start;
    for (int i = 0; i < 100; ++i) {
        now += 40ms;
        for (size_t j = 4; j < all.size(); ++j)
            serving::recordAnswer(*all[j], all, true, now);
        cr_assert_geq(healthy(all, now), 6U);
    }
}

// An engine whose stage is being changed refuses for seconds: 34 sends in 2 s went to one.
Test(endpoints, one_that_goes_on_refusing_is_asked_less_often)
{
    const auto all = endpoints(1, 1);
    core::TimePoint now = Start;
    int sendCount = 0;
    while (now < Start + 5s) {
        if (now >= all[0]->pausedUntil) {
            serving::recordRefusal(*all[0], now);
            ++sendCount;
        }
        now += 10ms;
    }
    cr_assert_leq(sendCount, 7);
    serving::recordAnswer(*all[0], all, false, now);
    serving::recordRefusal(*all[0], now + 5s);
    cr_assert(all[0]->pausedUntil <= now + 5s + 200ms, "an answer ends the row");
}
