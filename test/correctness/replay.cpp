/** \file
 * Tests that a replay is deterministic and that the product's policy meets its targets on one seed.
 *
 * The bounds are the targets of docs/POLICY.md. All time in a replay is virtual.
 */

#include "jujubereplay/bound.h"
#include "jujubereplay/policies.h"
#include "jujubereplay/report.h"

#include <criterion/criterion.h>

using namespace jujube::replay;

namespace {

constexpr uint64_t Seed = 1;
constexpr int Swings = 4;

std::string jsonOf(const Workload &workload, const Policy &policy)
{
    Report report;
    report.addBound(Seed, 1);
    report.addRun(Seed, simulate(workload, policy, Seed));
    return report.json();
}

// A short workload that still has requests of every profile.
Workload shortWorkload()
{
    Workload workload = generate(Scenario::Moderate, Seed);
    workload.requests.resize(2'000);
    return workload;
}

} // namespace

Test(replay, the_same_seed_gives_the_same_result)
{
    const Workload workload = shortWorkload();
    const Policy ours = namedPolicies().at("ours");
    cr_assert_eq(jsonOf(workload, ours), jsonOf(workload, ours));
    cr_assert_eq(generate(Scenario::Accra, 3).toCsv(), generate(Scenario::Accra, 3).toCsv());
    cr_assert_neq(generate(Scenario::Accra, 3).toCsv(), generate(Scenario::Accra, 4).toCsv());
}

Test(replay, a_written_workload_reads_back_the_same)
{
    const Workload workload = generate(Scenario::Amman, Seed);
    const auto read = Workload::fromCsv(workload.toCsv());
    cr_assert(read.ok());
    cr_assert_eq(read->toCsv(), workload.toCsv());
    cr_assert_not(Workload::fromCsv("request,1,2\n").ok());
}

Test(replay, no_schedule_beats_the_bound_of_an_overloaded_fleet)
{
    const Workload workload = generate(Scenario::Moderate, Seed, 20);
    const double bound = clairvoyantBound(workload);
    cr_assert_lt(bound, 1.0);
    cr_assert_gt(bound, 0.0);
}

Test(replay, goodput_through_swings_meets_its_target)
{
    const Workload workload = generate(Scenario::Accra, Seed);
    const auto policies = namedPolicies();
    const RunResult ours = simulate(workload, policies.at("ours"), Seed);
    cr_assert_geq(ours.goodput, 0.95 * clairvoyantBound(workload));
    cr_assert_leq(ours.roleChanges, 2 * Swings);
    for (const char *baseline : {"a", "b", "c"})
        cr_assert_gt(ours.goodput, simulate(workload, policies.at(baseline), Seed).goodput);
}

Test(replay, a_steady_mix_changes_no_role)
{
    const Workload workload = generate(Scenario::Steady, Seed);
    cr_assert_eq(simulate(workload, namedPolicies().at("ours"), Seed).roleChanges, 0);
}
