/** \file
 * Tests that retries are a bounded share of first tries and that failing endpoints are ejected.
 */

#include "policy/outlierdetector.h"
#include "policy/retrybudget.h"

#include <criterion/criterion.h>

#include <random>

using namespace jujube;
using namespace std::chrono_literals;

Test(retrybudget, overload_is_not_multiplied)
{
    policy::RetrySettings settings;
    settings.retriesPerFirstTry = 0.2;
    settings.maxSaved = 5;
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

Test(outlierdetector, a_lost_probe_does_not_eject_the_endpoint_for_ever)
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

// An endpoint that reports to be healthy and answers every request with an error is fast and looks
// idle, so it would attract requests.
Test(errorevidence, an_endpoint_that_fails_everything_is_found_after_a_few_answers)
{
    policy::ErrorRateTest evidence;
    int answers = 1;
    while (!evidence.note(true, 0.01))
        ++answers;
    cr_assert_leq(answers, 2);
}

// A service that fails a seventh of its requests on every endpoint has no broken endpoint.
Test(errorevidence, errors_that_are_usual_for_a_service_are_no_proof)
{
    std::mt19937_64 random(7);
    std::bernoulli_distribution fails(0.14);
    int found = 0;
    for (int i = 0; i < 100; ++i) {
        policy::ErrorRateTest evidence;
        for (int answer = 0; answer < 200; ++answer)
            found += evidence.note(fails(random), 0.14) ? 1 : 0;
    }
    cr_assert_leq(found, 100, "%d suspicions in 20,000 answers", found);
}

Test(errorevidence, an_endpoint_that_fails_half_of_its_requests_is_found)
{
    std::mt19937_64 random(7);
    std::bernoulli_distribution fails(0.45);
    policy::ErrorRateTest evidence;
    int answers = 1;
    while (!evidence.note(fails(random), 0.02) && answers < 100)
        ++answers;
    cr_assert_leq(answers, 10);
}

// An endpoint may fail the requests of one failure domain alone, so the suspicion of another
// process has to be confirmed here.
Test(errorevidence, a_remote_suspicion_needs_confirmation_by_an_own_error)
{
    policy::ErrorRateTest evidence;
    for (int i = 0; i < 10; ++i) {
        evidence.noteRemoteSuspicion();
        cr_assert_not(evidence.note(false, 0.01));
    }
    evidence.noteRemoteSuspicion();
    cr_assert(evidence.note(true, 0.01));
}
