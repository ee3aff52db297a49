/** \file
 * Tests of the pace of reading learnt from prompts of mixed size, while other gateways send, too.
 */

#include "policy/readpace.h"

#include <criterion/criterion.h>

#include <random>

using namespace jujube;

namespace {

// What one gateway sees of engines in its first seconds: prompts of mixed size, of which a share
// had something of another gateway ahead.
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

Test(readpace, nothing_is_known_before_prompts_of_different_size_were_read)
{
    policy::PrefillRateEstimator estimator;
    cr_assert_eq(estimator.tokensPerSecond(), 0);
    for (int i = 0; i < 30; ++i)
        estimator.note(1'500, 60 + i % 3);
    cr_assert_eq(estimator.tokensPerSecond(), 0);
}

// A mean of tokens by time takes the fixed part for reading: 33 tokens a ms for 82.
Test(readpace, the_fixed_part_is_told_from_reading_on_quick_and_slow_engines)
{
    for (const double tokensPerMs : {48.0, 82.0, 157.0}) {
        const auto estimator = observedEngines(tokensPerMs, 45, 0, 24);
        assertWithin(estimator.tokensPerSecond(), tokensPerMs * 1'000, 0.15);
        assertWithin(estimator.fixedMs(), 47, 0.2);
    }
}

Test(readpace, half_of_the_prompts_with_others_ahead_change_little)
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
