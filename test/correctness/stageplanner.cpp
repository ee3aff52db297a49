/** \file
 * Tests of the split of engines between reading prompts and decoding.
 */

#include "policy/stageplanner.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};

std::vector<policy::StageView> fleet(size_t n, size_t prefill)
{
    std::vector<policy::StageView> engines;
    for (size_t i = 0; i < n; ++i) {
        policy::StageView it;
        it.id = "e" + std::to_string(10 + i);
        it.domain = std::string(1, static_cast<char>('a' + i % 3));
        it.prefill = i < prefill;
        engines.push_back(it);
    }
    return engines;
}

// Engines of 64 slots before traffic.
policy::StageDemand idle()
{
    policy::StageDemand demand;
    demand.slots = 64;
    return demand;
}

// Plans over a time with one load; carries the changes out at once.
size_t simulate(policy::StagePlanner &planner, std::vector<policy::StageView> &engines,
                const policy::StageDemand &demand, core::TimePoint &now, core::Milliseconds time)
{
    size_t changes = 0;
    for (const core::TimePoint end = now + time; now < end; now += 200ms) {
        for (const auto &change : planner.plan(engines, demand, now)) {
            ++changes;
            for (auto &it : engines) {
                if (it.id == change.id)
                    it.prefill = change.prefill;
            }
        }
    }
    return changes;
}

size_t prefillCount(const std::vector<policy::StageView> &engines)
{
    return static_cast<size_t>(
        std::count_if(engines.begin(), engines.end(), [](const auto &it) { return it.prefill; }));
}

} // namespace

// Before traffic nothing is lost by a change: the whole split is ordered at once.
Test(stageplanner, sets_the_initial_split_at_once)
{
    policy::StagePlanner planner({});
    const auto changes = planner.plan(fleet(12, 4), idle(), Start);
    cr_assert_geq(changes.size(), 2U);
    for (const auto &it : changes)
        cr_assert(it.prefill);
}

Test(stageplanner, spreads_the_split_over_failure_domains)
{
    policy::StagePlanner planner({});
    auto engines = fleet(12, 0);
    core::TimePoint now = Start;
    simulate(planner, engines, idle(), now, 1s);
    for (const char domain : {'a', 'b', 'c'}) {
        const auto n = std::count_if(engines.begin(), engines.end(), [domain](const auto &it) {
            return it.prefill && it.domain == std::string(1, domain);
        });
        cr_assert_geq(n, 1);
    }
}

// The mix swings every few seconds, faster than an engine changes: orders do not follow it.
Test(stageplanner, swings_within_seconds_cause_few_orders)
{
    policy::StagePlanner planner({});
    auto engines = fleet(12, 7);
    core::TimePoint now = Start;
    policy::StageDemand demand;
    demand.slots = 64;
    size_t changes = 0;
    for (int i = 0; i < 10; ++i) {
        demand.promptTokensPerSecond = i % 2 == 0 ? 330'000 : 250'000;
        demand.busyDecodeSlots = i % 2 == 0 ? 120 : 220;
        changes += simulate(planner, engines, demand, now, 2'800ms);
    }
    cr_assert_leq(changes, 4U);
}

// Long prompts stay: engines move, one at a time, and decoding always keeps some.
Test(stageplanner, lasting_shift_to_prompts_moves_engines)
{
    policy::StagePlanner planner({});
    auto engines = fleet(12, 5);
    core::TimePoint now = Start;
    policy::StageDemand demand;
    demand.slots = 64;
    demand.promptTokensPerSecond = 500'000;
    demand.busyDecodeSlots = 60;
    simulate(planner, engines, demand, now, 40s);
    cr_assert_geq(prefillCount(engines), 8U);
    cr_assert_leq(prefillCount(engines), 11U);
}

Test(stageplanner, one_engine_alone_is_left_as_it_is)
{
    policy::StagePlanner planner({});
    cr_assert(planner.plan(fleet(1, 0), {}, Start).empty());
}

// All readers of prompts are lost at once: one is made anew without waiting for a trend.
Test(stageplanner, a_stage_without_engines_gets_one_at_once)
{
    policy::StagePlanner planner({});
    auto engines = fleet(6, 3);
    policy::StageDemand demand;
    demand.slots = 64;
    demand.promptTokensPerSecond = 200'000;
    demand.busyDecodeSlots = 50;
    core::TimePoint now = Start;
    simulate(planner, engines, demand, now, 500ms);
    for (auto &it : engines)
        it.available = !it.prefill;
    const auto changes = planner.plan(engines, demand, now);
    cr_assert_geq(changes.size(), 1U);
    cr_assert(changes.front().prefill);
}

// Decoders were lost: the readers, who are more than the rest of them can follow, help out at once.
Test(stageplanner, a_stage_that_lost_engines_gets_one_of_the_other)
{
    policy::StagePlanner planner({});
    auto engines = fleet(9, 6);
    policy::StageDemand demand;
    demand.slots = 128;
    demand.promptTokensPerSecond = 170'000;
    demand.prefillTokensPerSecond = 95'000;
    demand.busyDecodeSlots = 240;
    core::TimePoint now = Start;
    simulate(planner, engines, demand, now, 2s);
    cr_assert_eq(prefillCount(engines), 6U);
    engines.erase(engines.end() - 2, engines.end());
    simulate(planner, engines, demand, now, 2s);
    cr_assert_eq(prefillCount(engines), 5U);
}

// The decoders are full for long and hold back prompts that idle readers could take.
Test(stageplanner, full_decoders_get_an_engine_from_idle_readers)
{
    policy::StagePlanner planner({});
    auto engines = fleet(7, 5);
    policy::StageDemand demand;
    demand.slots = 128;
    demand.promptTokensPerSecond = 170'000;
    demand.prefillTokensPerSecond = 95'000;
    demand.busyDecodeSlots = 243;
    core::TimePoint now = Start;
    simulate(planner, engines, demand, now, 14s);
    cr_assert_eq(prefillCount(engines), 4U);
}

// A burst of chats of 12 s, then one of long prompts, as on the sites' quiet days: an engine that
// follows arrives when the burst is over.
Test(stageplanner, bursts_of_some_seconds_move_no_engine)
{
    policy::StagePlanner planner({});
    auto engines = fleet(9, 6);
    core::TimePoint now = Start;
    policy::StageDemand demand;
    demand.slots = 128;
    demand.prefillTokensPerSecond = 85'000;
    demand.promptTokensPerSecond = 200'000;
    demand.busyDecodeSlots = 365;
    size_t changes = simulate(planner, engines, demand, now, 11s);
    demand.promptTokensPerSecond = 480'000;
    demand.busyDecodeSlots = 200;
    changes += simulate(planner, engines, demand, now, 11s);
    cr_assert_eq(changes, 0U);
}

// Long prompts and few answers: the split was fitted to them, then the leader's process is killed.
Test(stageplanner, a_successor_keeps_the_split_that_was_fitted)
{
    policy::StageDemand demand = idle();
    demand.promptTokensPerSecond = 400'000;
    demand.prefillTokensPerSecond = 48'000;
    demand.busyDecodeSlots = 50;
    demand.decodeRateKnown = true;
    auto engines = fleet(12, 6);
    core::TimePoint now = Start;
    policy::StagePlanner first({});
    simulate(first, engines, idle(), now, 1s);
    simulate(first, engines, demand, now, 6s);
    const size_t fitted = prefillCount(engines);
    cr_assert_geq(fitted, 9U);
    policy::StagePlanner successor({});
    for (const core::TimePoint end = now + 3s; now < end; now += 200ms)
        successor.observeAsFollower(engines, demand, now);
    cr_assert_eq(simulate(successor, engines, demand, now, 10s), 0U);
    // One that has just started has nothing to go by but the engines.
    policy::StagePlanner newcomer({});
    simulate(newcomer, engines, demand, now, 3s);
    cr_assert_eq(prefillCount(engines), fitted);
}

// Readers are lost while another gateway leads: the heir knows how many there were.
Test(stageplanner, a_successor_makes_good_a_loss_before_its_time)
{
    policy::StageDemand demand = idle();
    demand.promptTokensPerSecond = 150'000;
    demand.prefillTokensPerSecond = 48'000;
    demand.busyDecodeSlots = 60;
    demand.decodeRateKnown = true;
    auto engines = fleet(9, 6);
    core::TimePoint now = Start;
    policy::StagePlanner successor({});
    for (const core::TimePoint end = now + 8s; now < end; now += 200ms)
        successor.observeAsFollower(engines, demand, now);
    engines.erase(engines.begin(), engines.begin() + 4);
    successor.observeAsFollower(engines, demand, now);
    simulate(successor, engines, demand, now, 8s);
    cr_assert_geq(prefillCount(engines), 3U, "two readers of five are too few");
}
