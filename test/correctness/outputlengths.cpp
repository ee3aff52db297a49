/** \file
 * Tests of the expected output of requests and of their cost.
 */

#include "policy/outputlengthestimator.h"
#include "policy/requestcost.h"

#include <criterion/criterion.h>

#include <cmath>
#include <random>
#include <string>

using namespace jujube;

namespace {

policy::OutputRequest request(std::string_view team, std::optional<uint32_t> hint = {},
                              std::string_view route = "chat")
{
    return {"model", route, team, hint, 4'000};
}

} // namespace

// A team or route that has just begun is estimated by what is known of the next wider group.
Test(outputlengths, unknown_teams_fall_back_to_route_service_and_limit)
{
    policy::OutputLengthEstimator lengths;
    cr_assert_float_eq(lengths.estimate(request("a")).expected, 2'000, 1);
    cr_assert_float_eq(lengths.estimate(request("a", 300)).expected, 300 * std::exp(0.5), 1);
    for (int i = 0; i < 50; ++i) {
        lengths.note(request("a"), 100);
        lengths.note(request("b", {}, "report"), 1'000);
    }
    cr_assert_float_eq(lengths.estimate(request("a")).expected, 100, 5);
    cr_assert_float_eq(lengths.estimate(request("new")).expected, 100, 5);
    const double other = lengths.estimate(request("new", {}, "other")).expected;
    cr_assert(other > 150 && other < 2'000);
}

// Clients of a route that state twice the output, with a wide spread: the estimate is closer to the
// output than the hint, and the high figure is exceeded by about a tenth of the requests.
Test(outputlengths, hints_are_corrected_by_their_observed_error)
{
    policy::OutputLengthEstimator lengths;
    std::mt19937_64 random(5);
    std::normal_distribution<double> usual(std::log(300), 0.8);
    std::normal_distribution<double> error(std::log(2), 0.5);
    double estimateErrors = 0;
    double hintErrors = 0;
    int above = 0;
    constexpr int count = 2'000;
    for (int i = 0; i < count; ++i) {
        const double output = std::exp(usual(random));
        const auto hint = static_cast<uint32_t>(output * std::exp(error(random))) + 1;
        policy::OutputRequest it = request("a", hint);
        it.maxOutputTokens = 100'000;
        const policy::OutputLength length = lengths.estimate(it);
        estimateErrors += std::abs(std::log(length.expected / output));
        hintErrors += std::abs(std::log(hint / output));
        above += output > length.high ? 1 : 0;
        lengths.note(it, output);
    }
    cr_assert_lt(estimateErrors, 0.7 * hintErrors);
    cr_assert(above > count * 0.04 && above < count * 0.2, "%d", above);
}

// Absurd hints and outputs stay within the limit of the request, and teams do not use up memory.
Test(outputlengths, figures_and_state_are_bounded)
{
    policy::OutputLengthEstimator lengths;
    cr_assert_eq(lengths.estimate(request("a", 4'000'000'000U)).expected, 4'000);
    cr_assert_eq(lengths.estimate(request("a", 0)).expected, 2'000);
    lengths.note(request("a"), 0);
    lengths.note(request("a"), std::nan(""));
    lengths.note(request("a"), INFINITY);
    cr_assert_eq(lengths.keyCount(), 0U);
    for (int i = 0; i < 5'000; ++i)
        lengths.note(request("team-" + std::to_string(i), 10), 100);
    cr_assert_eq(lengths.keyCount(), 512U);
    cr_assert_float_eq(lengths.estimate(request("team-1")).expected, 100, 5);
}

// A route whose answers change, for example by a new model version, is followed.
Test(outputlengths, old_observations_decay)
{
    policy::OutputLengthEstimator lengths;
    for (int i = 0; i < 2'000; ++i)
        lengths.note(request("a"), 1'000);
    for (int i = 0; i < 800; ++i)
        lengths.note(request("a"), 100);
    cr_assert_lt(lengths.estimate(request("a")).expected, 150);
}

// Engines allocate memory in blocks: a sum of exact tokens would overfill an engine.
Test(requestcost, memory_is_counted_in_whole_blocks)
{
    const auto cost = policy::RequestCost::of(1'000, 400, 100.5);
    cr_assert_eq(cost.prefillTokens, 600U);
    cr_assert_eq(cost.memoryTokens, 1'104U);
    cr_assert_eq(policy::RequestCost::of(100, 400, -1).prefillTokens, 0U);
    cr_assert_eq(policy::RequestCost::of(96, 0, std::nan("")).memoryTokens, 96U);
}
