/** \file
 * Tests that retries are a bounded share of first tries and that sick endpoints are left alone.
 */

#include "policy/outlierdetector.h"
#include "policy/retrybudget.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

Test(retrybudget, overload_is_not_multiplied)
{
    policy::RetrySettings settings;
    settings.share = 0.2;
    settings.burst = 5;
    policy::RetryBudget budget(settings);
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        budget.noteFirstTry("team");
        while (budget.trySpend("team"))
            ++retries;
    }
    cr_assert(retries >= 200 && retries <= 206, "%d retries for 1000 first tries", retries);
    cr_assert(budget.trySpend("another"), "one team's retries must not use up another's");
}

Test(retrybudget, backoff_grows_and_stays_under_its_cap)
{
    const policy::RetryBudget budget({});
    std::mt19937_64 random(3);
    core::Milliseconds longestFirst{};
    for (int i = 0; i < 500; ++i) {
        longestFirst = std::max(longestFirst, budget.backoff(1, random));
        cr_assert_leq(budget.backoff(40, random).count(), 1'000);
        cr_assert_gt(budget.backoff(3, random).count(), 0);
    }
    cr_assert_leq(longestFirst.count(), 20);
}

Test(outlierdetector, ejects_after_repeated_failures_and_probes_back)
{
    using State = policy::OutlierDetector::State;
    policy::OutlierDetector detector;
    const core::TimePoint now{1'000s};
    detector.noteFailure(now);
    detector.noteFailure(now);
    cr_assert(detector.state(now) == State::Healthy);
    detector.noteFailure(now);
    cr_assert(detector.state(now) == State::Ejected);
    cr_assert(detector.state(now + 1s) == State::ProbeDue);
    detector.startProbe(now + 1s);
    cr_assert(detector.state(now + 1s) == State::Probing);
    detector.noteFailure(now + 1s);
    cr_assert(detector.state(now + 2s) == State::Ejected, "the second ejection lasts longer");
    cr_assert(detector.state(now + 3s) == State::ProbeDue);
    detector.noteSuccess();
    cr_assert(detector.state(now + 3s) == State::Healthy);
}

Test(outlierdetector, a_lost_probe_does_not_bar_the_endpoint_for_good)
{
    using State = policy::OutlierDetector::State;
    policy::OutlierDetector detector;
    const core::TimePoint now{1'000s};
    for (int i = 0; i < 3; ++i)
        detector.noteFailure(now);
    detector.startProbe(now + 1s);
    cr_assert(detector.state(now + 2s) == State::Probing);
    cr_assert(detector.state(now + 60s) == State::ProbeDue);
}
