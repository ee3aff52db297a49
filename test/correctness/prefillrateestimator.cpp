/** \file
 * Tests of the prefill rate estimated from prompts of mixed sizes while other gateways send as
 * well.
 */

#include "policy/prefillrateestimator.h"

#include <criterion/criterion.h>

#include <random>

using namespace jujube;

namespace {

// Samples of one gateway in its first seconds: prompts of mixed sizes, of which a share queued
// behind prompts of other gateways.
policy::PrefillRateEstimator observedEngines(double tokensPerMs, double fixedMs,
                                             double disturbedShare, size_t n)
{
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> size(200, 9'000);
    std::uniform_real_distribution<double> jitter(0, 5);
    std::uniform_real_distribution<double> ahead(20, 300);
    std::bernoulli_distribution disturbed(disturbedShare);
    policy::PrefillRateEstimator estimator;
    for (size_t i = 0; i < n; ++i) {
        const double tokens = size(random);
        const double wait = disturbed(random) ? ahead(random) : 0;
        estimator.note(tokens, fixedMs + tokens / tokensPerMs + jitter(random) + wait);
    }
    return estimator;
}

void assertWithin(double value, double expected, double share)
{
    cr_assert_geq(value, expected * (1 - share), "%f is not %f", value, expected);
    cr_assert_leq(value, expected * (1 + share), "%f is not %f", value, expected);
}

} // namespace

Test(readpace, no_rate_is_known_before_prompts_of_different_sizes)
{
    policy::PrefillRateEstimator estimator;
    cr_assert_eq(estimator.tokensPerSecond(), 0);
    for (int i = 0; i < 30; ++i)
        estimator.note(1'500, 60 + i % 3);
    cr_assert_eq(estimator.tokensPerSecond(), 0);
}

// A mean of tokens per time counts the fixed part as prefill: 33 instead of 82 tokens per ms.
Test(readpace, fixed_time_and_rate_are_separated_on_fast_and_slow_engines)
{
    for (const double tokensPerMs : {48.0, 82.0, 157.0}) {
        const auto estimator = observedEngines(tokensPerMs, 45, 0, 24);
        assertWithin(estimator.tokensPerSecond(), tokensPerMs * 1'000, 0.15);
        assertWithin(estimator.fixedMs(), 47, 0.2);
    }
}

Test(readpace, queueing_of_half_of_the_prompts_changes_little)
{
    for (const double tokensPerMs : {48.0, 82.0, 157.0})
        assertWithin(observedEngines(tokensPerMs, 45, 0.5, 40).tokensPerSecond(),
                     tokensPerMs * 1'000, 0.25);
}

Test(readpace, follows_engines_that_become_slower)
{
    policy::PrefillRateEstimator estimator = observedEngines(82, 45, 0.2, 40);
    for (int i = 0; i < 40; ++i)
        estimator.note(500 + 200 * i, 45 + (500 + 200 * i) / 41.0);
    assertWithin(estimator.tokensPerSecond(), 41'000, 0.1);
}
