/** \file
 * Tests of the split of engines between prefill and decode.
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

// Plans repeatedly with a constant load and applies the changes at once. Returns their number.
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

// Before traffic no request is running that a change could harm: the whole split is ordered at
// once.
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

// The load mix swings every few seconds, faster than an engine changes: following it would only
// cost engine time.
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

// A lasting load of long prompts moves engines to prefill one at a time, and decode keeps some.
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

Test(stageplanner, a_single_engine_is_not_changed)
{
    policy::StagePlanner planner({});
    cr_assert(planner.plan(fleet(1, 0), {}, Start).empty());
}

// All prefill engines are lost at once: one is replaced without waiting for a lasting shift.
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

// Decode engines are lost: the remaining ones cannot keep up with the prefill engines, so one of
// these is changed soon.
Test(stageplanner, a_stage_that_lost_engines_gets_one_of_the_other_stage)
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

// Decode engines are full for a long time and hold back prompts while prefill engines are idle.
Test(stageplanner, full_decode_engines_get_one_from_idle_prefill_engines)
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

// A burst of chats of 12 s is followed by one of long prompts, as happens under low load: an engine
// that changes would be ready only when the burst is over.
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

// The split was fitted to long prompts with short answers, then the leader's process is killed: the
// successor must not undo the fit.
Test(stageplanner, a_successor_keeps_the_split_that_was_fitted)
{
    policy::StageDemand demand = idle();
    demand.promptTokensPerSecond = 400'000;
    demand.prefillTokensPerSecond = 48'000;
    demand.busyDecodeSlots = 50;
    demand.decodeStepsKnown = true;
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
    // A gateway that has just started knows only the stages of the engines.
    policy::StagePlanner newcomer({});
    simulate(newcomer, engines, demand, now, 3s);
    cr_assert_eq(prefillCount(engines), fitted);
}

// Prefill engines are lost before the change of leader: the successor has to know how many there
// were.
Test(stageplanner, a_successor_replaces_engines_lost_under_its_predecessor)
{
    policy::StageDemand demand = idle();
    demand.promptTokensPerSecond = 150'000;
    demand.prefillTokensPerSecond = 48'000;
    demand.busyDecodeSlots = 60;
    demand.decodeStepsKnown = true;
    auto engines = fleet(9, 6);
    core::TimePoint now = Start;
    policy::StagePlanner successor({});
    for (const core::TimePoint end = now + 8s; now < end; now += 200ms)
        successor.observeAsFollower(engines, demand, now);
    engines.erase(engines.begin(), engines.begin() + 4);
    successor.observeAsFollower(engines, demand, now);
    simulate(successor, engines, demand, now, 8s);
    cr_assert_geq(prefillCount(engines), 3U, "two prefill engines of five are too few");
}
