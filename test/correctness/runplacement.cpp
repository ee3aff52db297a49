/** \file
 * Tests of the placement of runs by the work that engines have left.
 */

#include "policy/placement.h"
#include "policy/requestcost.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <map>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

constexpr double EventTokens = 12;

policy::PlacementCandidate engine(std::string_view id, double running, double restOfEach,
                                  double pace = 1)
{
    policy::PlacementCandidate it;
    it.id = id;
    it.domain = "a";
    it.slots = 64;
    it.running = running;
    it.remainingTokens = running * restOfEach;
    it.pace = it.usualPace = pace;
    return it;
}

struct Bench
{
    policy::DecodeStepEstimator steps;
    policy::PlacementSettings settings;
    double outputTokens = 290;
    std::mt19937_64 random{1};

    Bench() { settings.domain = "a"; }

    policy::RunChoice place(const std::vector<policy::PlacementCandidate> &engines)
    {
        return policy::chooseRunner(engines, outputTokens, "a", steps, settings, random);
    }
    std::map<size_t, int> choices(const std::vector<policy::PlacementCandidate> &engines)
    {
        std::map<size_t, int> counts;
        for (int i = 0; i < 200; ++i)
            ++counts[*place(engines).index];
        return counts;
    }
};

} // namespace

// Load pattern of Archive: plain streams of 24 tokens beside answers of 1,080. Guards against equal
// weights of streams that end in two events and of those that go on for 90.
Test(runplacement, streams_with_little_left_weigh_less_than_long_ones)
{
    Bench bench;
    const std::vector engines{engine("long", 40, 90 * EventTokens),
                              engine("short", 40, 2 * EventTokens)};
    cr_assert_eq(bench.choices(engines)[1], 200);
    const policy::DecodeBacklog longer({40, 40 * 1'080, 0, false, 64}, bench.steps, 0, 1);
    const policy::DecodeBacklog shorter({40, 40 * 24, 0, false, 64}, bench.steps, 0, 1);
    cr_assert_gt(longer.finishMs(290), 1.3 * shorter.finishMs(290));
    // More short streams than long ones are still less work.
    cr_assert_eq(bench.choices({engine("long", 20, 1'080), engine("short", 40, 24)})[1], 200);
    cr_assert_float_eq(policy::expectedRemainingTokens(300, 120), 180, 1e-9);
    cr_assert_float_eq(policy::expectedRemainingTokens(300, 900), 75, 1e-9);
}

// Load pattern of Archive: a third of the engines takes 1.7 times as long. Guards against runs at
// slow engines while fast ones have slots, and against waits at fast ones while slow ones have.
Test(runplacement, fast_engines_are_used_up_to_their_slots_and_then_slow_ones)
{
    Bench bench;
    cr_assert_eq(bench.choices({engine("fast", 40, 150, 0.7), engine("slow", 10, 150, 1.7)})[0],
                 200);
    cr_assert_eq(bench.choices({engine("fast", 64, 150, 0.7), engine("slow", 40, 150, 1.7)})[1],
                 200);
    // Both are full: the wait at the fast one is shorter.
    cr_assert_eq(bench.choices({engine("fast", 70, 150, 0.7), engine("slow", 66, 150, 1.7)})[0],
                 200);
    std::vector near{engine("near", 40, 150), engine("far", 34, 150)};
    near[1].domain = "b";
    cr_assert_eq(bench.choices(near)[0], 200);
}

// Guards against bursts at one engine: gateways that have the same figures choose for themselves.
Test(runplacement, gateways_with_equal_figures_spread_their_runs)
{
    std::map<size_t, int> counts;
    const std::vector engines{engine("e0", 40, 150), engine("e1", 41, 148), engine("e2", 40, 152),
                              engine("e3", 39, 150)};
    for (uint32_t seed = 0; seed < 200; ++seed) {
        Bench gateway;
        gateway.settings.gateways = 20;
        gateway.random.seed(seed);
        ++counts[*gateway.place(engines).index];
    }
    for (size_t i = 0; i < 4; ++i)
        cr_assert(counts[i] > 20 && counts[i] < 100, "engine %zu: %d", i, counts[i]);
}

// The engine's report contains the requests of the gateways. Guards against counting them twice,
// and against ignoring those of other callers.
Test(runplacement, an_engines_report_is_a_lower_bound)
{
    const policy::DecodeStepEstimator steps;
    const auto streams = [&](double reported) {
        return policy::DecodeBacklog({20, 2'000, reported, false, 64}, steps, 0, 1);
    };
    cr_assert_float_eq(streams(30).streams(), 30, 1e-9);
    cr_assert_float_eq(streams(30).remainingTokens(), 3'000, 1e-9);
    cr_assert_float_eq(streams(5).streams(), 20, 1e-9);
    Bench bench;
    std::vector engines{engine("reports", 20, 150, 0.7), engine("other", 30, 150)};
    engines[0].reportsWaiting = true;
    cr_assert_eq(bench.choices(engines)[1], 200);
}

// Guards against engines that a single wrong figure takes out of use, or makes seem free.
Test(runplacement, missing_and_absurd_figures_keep_engines_in_use)
{
    Bench bench;
    // The peers do not state the rest of their streams: it counts as usual.
    auto silent = engine("silent", 45, 0);
    cr_assert_eq(bench.choices({silent, engine("stated", 30, 150)})[1], 200);
    cr_assert_eq(bench.choices({silent, engine("slow", 30, 0, 1.7)})[0], 200);
    auto absurd = engine("absurd", 10, 1e12, 1e9);
    absurd.reported = 65'535;
    absurd.reportsWaiting = true;
    const auto choice = bench.place({absurd});
    cr_assert(choice.index == 0U);
    cr_assert(std::isfinite(choice.workLeftTokens) && choice.expectedTime < 48h);
    // Contradictory: no streams, but tokens left.
    auto idle = engine("idle", 0, 0);
    idle.remainingTokens = 1e6;
    cr_assert_eq(bench.choices({idle, engine("busy", 30, 150)})[0], 200);
    cr_assert(bench.place({engine("full", 64, 150)}).index == 0U);
    cr_assert_not(bench.place({}).index.has_value());
}

// Deployments without stated paces are placed as before. Guards against another choice there, and
// against further draws, which would change all later choices of the gateway.
Test(runplacement, without_stated_paces_the_least_loaded_endpoint_is_chosen)
{
    Bench bench;
    bench.settings.predictsByPace = false;
    std::mt19937_64 random = bench.random;
    const std::vector engines{engine("long", 30, 1'080, 0.7), engine("short", 30.5, 24, 0.7),
                              engine("slow", 10, 150, 1.7), engine("full", 64, 150)};
    for (int i = 0; i < 200; ++i) {
        const auto choice = bench.place(engines);
        cr_assert(choice.index
                  == policy::chooseLeastLoadedEndpoint(engines, "a", bench.settings, random));
        cr_assert_eq(choice.expectedTime.count(), 0);
        cr_assert(bench.random == random);
    }
}

// Guards against a refusal of a request that an engine could hold, and against an attempt with one
// that it cannot.
Test(runplacement, only_requests_beyond_an_engines_memory_are_too_large)
{
    const auto exceeds = [](uint32_t prompt, double output, uint64_t cache) {
        return policy::exceedsEngineMemory(policy::RequestCost::of(prompt, 0, output), cache);
    };
    cr_assert_not(exceeds(493'000, 992, 520'000)); // 493,992 tokens in blocks: 494,000 of 494,000.
    cr_assert(exceeds(493'000, 1'001, 520'000));
    cr_assert_not(exceeds(4'000'000, 1'000, 0)); // The size is not configured.
}
