/** \file
 * Tests that repeated sends stay within the budget of the deployment under a retry storm.
 */

#include "policy/sendbudget.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

// Every send fails and every gateway repeats it: over any window the sum must stay within the
// budget of the deployment.
Test(sendbudget, sum_of_all_gateways_stays_within_the_budget)
{
    constexpr int gateways = 6;
    const policy::SendBudgetSettings settings{0.2, 10'000ms, 58, 0.6};
    std::vector<policy::SendBudget> budgets(gateways, policy::SendBudget(settings));
    std::vector<int> requests(600);
    std::vector<int> extra(600);
    for (int slice = 0; slice < 600; ++slice) {
        const core::TimePoint now{std::chrono::hours(1) + slice * 100ms};
        for (int g = 0; g < gateways; ++g) {
            for (int n = 0; n < 3 + g; ++n) {
                budgets[g].noteRequest(now);
                ++requests[slice];
                extra[slice] += budgets[g].trySpend(now, gateways) ? 1 : 0;
            }
        }
    }
    for (int end = 100; end <= 600; ++end) {
        int r = 0;
        int e = 0;
        for (int i = end - 100; i < end; ++i) {
            r += requests[i];
            e += extra[i];
        }
        cr_assert_leq(e, settings.ratio * r + settings.slack);
    }
}

Test(sendbudget, a_quiet_service_may_still_repeat_a_few_sends)
{
    policy::SendBudget budget({0.2, 10'000ms, 58, 0.6});
    const core::TimePoint now{1h};
    budget.noteRequest(now);
    int granted = 0;
    while (budget.trySpend(now, 6))
        ++granted;
    cr_assert_geq(granted, 3);
    cr_assert_leq(granted, 10);
}

Test(sendbudget, the_budget_recovers_after_the_window)
{
    policy::SendBudget budget({0.2, 10'000ms, 6, 1});
    core::TimePoint now{1h};
    while (budget.trySpend(now, 1)) { }
    cr_assert_not(budget.trySpend(now + 9s, 1));
    cr_assert(budget.trySpend(now + 11s, 1));
}
