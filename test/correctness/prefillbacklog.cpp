/** \file
 * Tests of what is left to prefill of the prompts that a gateway has sent to an engine.
 */

#include "policy/prefillbacklog.h"

#include <criterion/criterion.h>

#include <cmath>
#include <limits>

using namespace jujube;
using namespace std::chrono_literals;
using policy::PrefillBacklog;

namespace {

const core::TimePoint Start{1h};

} // namespace

// Guards against engines that look busy until the answers to their prompts come, although the
// tokens are read long before: a stream of short prompts, each answered 60 ms after it was read.
Test(prefillbacklog, tokens_count_until_they_are_expected_to_be_read)
{
    PrefillBacklog backlog;
    backlog.add(1'000, 0, 10, Start);
    backlog.add(2'000, 10, 20, Start);
    cr_assert_float_eq(backlog.tokens(Start), 3'000, 1);
    cr_assert_float_eq(backlog.tokens(Start + 5ms), 2'500, 1);
    cr_assert_float_eq(backlog.tokens(Start + 20ms), 1'000, 1);
    cr_assert_eq(backlog.tokens(Start + 30ms), 0);
}

// Guards against tokens of requests that have failed or left, which would count until their end.
Test(prefillbacklog, a_removed_prompt_does_not_count)
{
    PrefillBacklog backlog;
    const uint64_t first = backlog.add(50'000, 0, 5'000, Start);
    const uint64_t second = backlog.add(100, 5'000, 10, Start);
    backlog.remove(first);
    cr_assert_float_eq(backlog.tokens(Start + 100ms), 100, 1);
    backlog.remove(second);
    backlog.remove(second);
    backlog.remove(0);
    cr_assert_eq(backlog.tokens(Start), 0);
}

// Guards against predictions that are zero, negative, infinite or not a number, after which a
// prompt would count for ever or the sum would not be a number.
Test(prefillbacklog, absurd_predictions_end)
{
    PrefillBacklog backlog;
    backlog.add(1'000, std::numeric_limits<double>::quiet_NaN(), -5, Start);
    backlog.add(1'000, -1, std::numeric_limits<double>::infinity(), Start);
    backlog.add(1'000, 0, 0, Start);
    for (auto now = Start; now < Start + 3min; now += 1s)
        cr_assert(std::isfinite(backlog.tokens(now)) && backlog.tokens(now) <= 3'000);
    cr_assert_eq(backlog.tokens(Start + 3min), 0);
}
