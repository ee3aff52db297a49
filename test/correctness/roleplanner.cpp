/** \file
 * Tests that roles change for a lasting gain and not because of noise.
 */

#include "policy/roleplanner.h"

#include <criterion/criterion.h>
#include <random>
#include <set>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

std::vector<policy::RoleView> fleet(size_t count)
{
    std::vector<policy::RoleView> engines;
    for (size_t i = 0; i < count; ++i) {
        policy::RoleView it;
        it.vm = "vm" + std::to_string(i);
        it.domain = "d" + std::to_string(i % 3);
        it.model = "m";
        it.available = true;
        it.slots = 16;
        it.prefillRate = 4'000;
        it.decodeRate = 40;
        engines.push_back(it);
    }
    return engines;
}

} // namespace

Test(roleplanner, noise_changes_nothing)
{
    policy::RolePlanner planner({});
    std::mt19937_64 random(5);
    auto engines = fleet(12);
    core::TimePoint now{1'000s};
    for (int i = 0; i < 2'000; ++i, now += 250ms) {
        for (auto &it : engines) {
            it.queuedTokens = random() % 4'000;
            it.outstandingOutput = random() % 600;
        }
        cr_assert_not(planner.plan(engines, now));
    }
}

Test(roleplanner, a_lasting_swing_changes_one_engine_at_a_time)
{
    policy::RolePlanner planner({});
    auto engines = fleet(12);
    core::TimePoint now{1'000s};
    int changes = 0;
    for (int i = 0; i < 240; ++i, now += 250ms) {
        for (auto &it : engines)
            it.queuedTokens = 40'000;
        if (const auto change = planner.plan(engines, now)) {
            cr_assert(change->role == core::Role::Prefill);
            for (auto &it : engines)
                it.role = it.vm == change->vm ? change->role : it.role;
            ++changes;
        }
    }
    cr_assert_gt(changes, 0);
    cr_assert_leq(changes, 7, "%d changes in a minute", changes);
}

Test(roleplanner, mixed_engines_stay_in_two_failure_domains)
{
    policy::RolePlannerSettings settings;
    settings.changeInterval = 0ms;
    policy::RolePlanner planner(settings);
    auto engines = fleet(4);
    core::TimePoint now{1'000s};
    for (int i = 0; i < 1'000; ++i, now += 250ms) {
        for (auto &it : engines)
            it.queuedTokens = 80'000;
        if (const auto change = planner.plan(engines, now)) {
            for (auto &it : engines)
                it.role = it.vm == change->vm ? change->role : it.role;
        }
    }
    std::set<std::string> domains;
    for (const auto &it : engines) {
        if (it.role == core::Role::Mixed)
            domains.insert(it.domain);
    }
    cr_assert_geq(domains.size(), 2U);
}

Test(roleplanner, a_profile_may_ask_for_more_failure_domains)
{
    policy::RolePlannerSettings settings;
    settings.changeInterval = 0ms;
    settings.maxChanges = 100;
    policy::RolePlanner planner(settings);
    auto engines = fleet(6);
    for (auto &it : engines)
        it.minDomains = 3;
    core::TimePoint now{1'000s};
    for (int i = 0; i < 1'000; ++i, now += 250ms) {
        for (auto &it : engines)
            it.queuedTokens = 80'000;
        if (const auto change = planner.plan(engines, now)) {
            for (auto &it : engines)
                it.role = it.vm == change->vm ? change->role : it.role;
        }
    }
    std::set<std::string> domains;
    for (const auto &it : engines) {
        if (it.role == core::Role::Mixed)
            domains.insert(it.domain);
    }
    cr_assert_eq(domains.size(), 3U);
}

Test(roleplanner, nothing_changes_while_an_engine_is_away)
{
    policy::RolePlanner planner({});
    auto engines = fleet(6);
    engines[2].available = false;
    core::TimePoint now{1'000s};
    for (int i = 0; i < 400; ++i, now += 250ms) {
        for (auto &it : engines)
            it.queuedTokens = 80'000;
        cr_assert_not(planner.plan(engines, now));
    }
}
