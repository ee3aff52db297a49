/** \file
 * Tests that the queue shares an endpoint between teams and refuses only requests of a team that
 * floods it.
 */

#include "policy/fairqueue.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{std::chrono::seconds(1'000)};

policy::QueuedWork work(const std::string &id, const std::string &team, double cost,
                        core::Milliseconds startWithin = 60s)
{
    policy::QueuedWork it;
    it.id = id;
    it.team = team;
    it.cost = cost;
    it.queuedAt = Start;
    it.startBy = Start + startWithin;
    return it;
}

} // namespace

Test(fairqueue, teams_are_served_by_cost_not_by_count)
{
    policy::FairQueue queue({});
    for (int i = 0; i < 40; ++i) {
        queue.offer(work("big" + std::to_string(i), "big", 10), Start, 1e9);
        queue.offer(work("small" + std::to_string(i), "small", 1), Start, 1e9);
    }
    double big = 0;
    double small = 0;
    for (int i = 0; i < 44; ++i) {
        const auto next = queue.take();
        (next->team == "big" ? big : small) += next->cost;
    }
    cr_assert_float_eq(big, small, 10.0, "big %f small %f", big, small);
}

Test(fairqueue, weights_scale_the_share)
{
    policy::FairQueue queue({});
    for (int i = 0; i < 60; ++i) {
        auto heavy = work("h" + std::to_string(i), "heavy", 1);
        heavy.weight = 3;
        queue.offer(heavy, Start, 1e9);
        queue.offer(work("l" + std::to_string(i), "light", 1), Start, 1e9);
    }
    int heavy = 0;
    for (int i = 0; i < 40; ++i)
        heavy += queue.take()->team == "heavy" ? 1 : 0;
    cr_assert(heavy >= 29 && heavy <= 31, "heavy got %d of 40", heavy);
}

Test(fairqueue, idle_time_earns_no_credit)
{
    policy::FairQueue queue({});
    for (int i = 0; i < 100; ++i)
        queue.offer(work("a" + std::to_string(i), "busy", 1), Start, 1e9);
    for (int i = 0; i < 50; ++i)
        queue.take();
    for (int i = 0; i < 50; ++i)
        queue.offer(work("b" + std::to_string(i), "late", 1), Start, 1e9);
    int late = 0;
    for (int i = 0; i < 20; ++i)
        late += queue.take()->team == "late" ? 1 : 0;
    cr_assert(late >= 9 && late <= 11, "the returning team got %d of 20", late);
}

Test(fairqueue, a_flood_is_refused_to_its_own_team_alone)
{
    policy::FairQueue queue({});
    // At one cost unit per second, the backlog of the flooding team soon exceeds its deadline.
    int refused = 0;
    for (int i = 0; i < 30; ++i)
        refused +=
            queue.offer(work("f" + std::to_string(i), "flood", 1, 5s), Start, 1.0).accepted ? 0 : 1;
    cr_assert_gt(refused, 20);
    const auto other = queue.offer(work("x", "other", 1, 5s), Start, 1.0);
    cr_assert(other.accepted);
    cr_assert_eq(queue.take()->team, "flood");
    cr_assert_eq(queue.take()->team, "other");
}

Test(fairqueue, a_refusal_says_when_to_retry)
{
    policy::FairQueue queue({});
    for (int i = 0; i < 5; ++i)
        queue.offer(work("f" + std::to_string(i), "flood", 1, 10s), Start, 1.0);
    const auto refused = queue.offer(work("late", "flood", 1, 2s), Start, 1.0);
    cr_assert(queue.remove("f0"));
    cr_assert_not(queue.remove("f0"));
    // Work with an earlier latest start goes first, so this request does not wait.
    cr_assert(refused.accepted);
    auto patient = work("patient", "flood", 1, 11s);
    for (int i = 0; i < 20; ++i) {
        patient.id = "p" + std::to_string(i);
        const auto admission = queue.offer(patient, Start, 1.0);
        if (!admission.accepted) {
            cr_assert_gt(admission.retryAfter.count(), 0);
            return;
        }
    }
    cr_assert_fail("nothing was refused");
}

Test(fairqueue, work_that_cannot_start_in_time_is_removed)
{
    policy::FairQueue queue({});
    queue.offer(work("soon", "a", 1, 1s), Start, 1e9);
    queue.offer(work("later", "a", 1, 9s), Start, 1e9);
    const auto expired = queue.takeExpired(Start + 2s);
    cr_assert_eq(expired.size(), 1U);
    cr_assert_eq(expired[0].id, "soon");
    cr_assert_eq(queue.size(), 1U);
}
