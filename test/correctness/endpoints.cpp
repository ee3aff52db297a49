/** \file
 * Tests of the ejection and the pausing of endpoints that fail or refuse, without a network.
 */

#include "serving/endpointhealth.h"

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

// A decode engine fails two of five requests at once. Successes in between hide this from a count
// of consecutive failures, and its fast failures attract more requests.
Test(endpoints, an_endpoint_with_a_high_error_rate_is_ejected)
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

// A network reset breaks a dozen connections to a healthy endpoint at almost the same time.
Test(endpoints, connections_that_break_together_are_one_failure)
{
    const auto all = endpoints(2, 2);
    for (int i = 0; i < 12; ++i)
        serving::recordLostAnswer(*all[0], Start + std::chrono::milliseconds(i));
    cr_assert_eq(healthy(all, Start + 12ms), 4U);
}

// Under overload, decode engines that lose two answers of five still serve the other three.
Test(endpoints, endpoints_that_lose_some_answers_are_still_used)
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

// All decode engines fail: ejecting all of them would leave none to serve requests.
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

// Guards against repeated sends to an engine that changes its stage and refuses for seconds: one
// got 34 sends in 2 s.
Test(endpoints, repeated_refusals_lengthen_the_pause)
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
    cr_assert(all[0]->pausedUntil <= now + 5s + 200ms,
              "an answer resets the pause to its shortest");
}
