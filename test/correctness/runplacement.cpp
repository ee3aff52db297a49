/** \file
 * Tests of the placement of runs by the work that engines have left and by their memory.
 */

#include "policy/placement.h"
#include "policy/promptqueue.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

constexpr double EventTokens = 12;
constexpr uint64_t CacheTokens = 520'000;

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
    policy::RunInfo run{290, {}};
    std::mt19937_64 random{1};

    Bench() { settings.domain = "a"; }

    policy::RunChoice place(const std::vector<policy::PlacementCandidate> &engines)
    {
        return policy::chooseRunner(engines, run, "a", steps, settings, random);
    }
    std::map<size_t, int> choices(const std::vector<policy::PlacementCandidate> &engines)
    {
        std::map<size_t, int> counts;
        for (int i = 0; i < 200; ++i)
            ++counts[*place(engines).index];
        return counts;
    }
};

/** One of several gateways, which knows the requests of the others as of their last message. */
struct Gateway
{
    Bench bench;
    std::vector<policy::PlacementCandidate> view;
    std::vector<policy::UnseenTokens> unseen{8};
    std::multimap<core::Milliseconds, std::pair<size_t, uint32_t>> running; ///< By their end.
    std::vector<uint32_t> waiting;

    static void add(policy::PlacementCandidate &engine, double tokens, int count)
    {
        engine.running += count;
        engine.heldTokens += count * tokens;
    }

    // Ends requests and places those that wait. \a engines: as they are.
    void step(std::vector<policy::PlacementCandidate> &engines, core::Milliseconds now)
    {
        for (; !running.empty() && running.begin()->first <= now; running.erase(running.begin())) {
            const auto [index, tokens] = running.begin()->second;
            add(engines[index], tokens, -1);
            add(view[index], tokens, -1);
        }
        std::erase_if(waiting, [&](uint32_t tokens) {
            for (size_t i = 0; i < view.size(); ++i)
                view[i].unseenTokens = static_cast<double>(unseen[i].sum(core::TimePoint(now)));
            bench.run = {300, policy::MemoryNeed::of(tokens, CacheTokens), now};
            const auto index = bench.place(view).index;
            if (!index)
                return false;
            add(engines[*index], tokens, 1);
            add(view[*index], tokens, 1);
            unseen[*index].note(tokens, core::TimePoint(now));
            running.emplace(now + 1'500ms, std::pair(*index, tokens));
            return true;
        });
    }
};

std::vector<std::string> gatewayNames()
{
    std::vector<std::string> names(22);
    for (size_t i = 0; i < names.size(); ++i)
        names[i] = "gateway-" + std::to_string(i);
    return names;
}

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
    absurd.heldTokens = 4e9;
    bench.run.memory = policy::MemoryNeed::of(7'000, CacheTokens);
    const auto choice = bench.place({absurd});
    cr_assert(choice.index == 0U);
    cr_assert(std::isfinite(choice.workLeftTokens) && choice.expectedTime < 48h);
    // Contradictory: no streams, but tokens left.
    auto idle = engine("idle", 0, 0);
    idle.remainingTokens = 1e6;
    cr_assert_eq(bench.choices({idle, engine("busy", 30, 150)})[0], 200);
    cr_assert(bench.place({engine("full", 64, 150)}).index == 0U);
    cr_assert(!bench.place({}).index && !bench.place({}).waitsForMemory);
}

// Guards against crashes by requests that exceed an engine's memory, under both rules of placement.
Test(runplacement, engines_without_memory_get_no_run)
{
    for (const bool byPace : {true, false}) {
        Bench bench;
        bench.settings.predictsByPace = byPace;
        bench.run.memory = policy::MemoryNeed::of(55'000, CacheTokens);
        std::vector engines{engine("full", 5, 100), engine("free", 50, 300)};
        engines[0].heldTokens = 450'000;
        cr_assert_eq(bench.choices(engines)[1], 200);
        engines[1].heldTokens = 450'000;
        cr_assert_not(bench.place(engines).index.has_value());
        cr_assert(bench.place(engines).waitsForMemory);
        bench.run.memory.limit = 0; // The size is not configured.
        cr_assert(bench.place(engines).index.has_value());
    }
    cr_assert(policy::MemoryNeed::of(494'001, CacheTokens).exceedsEngines()
              && !policy::MemoryNeed::of(494'000, CacheTokens).exceedsEngines());
}

// Guards against prefills of prompts that no engine can take over, and against small prompts that
// wait behind them.
Test(runplacement, prompts_wait_in_the_queue_while_no_engine_has_memory_for_them)
{
    policy::PromptQueue queue{policy::PromptQueueSettings()};
    std::mt19937_64 random(1);
    std::vector engines{engine("p", 0, 0), engine("d", 20, 100)};
    engines[0].isPrefillEngine = true;
    engines[1].heldTokens = 450'000;
    for (const uint32_t tokens : {1'000U, 55'000U}) {
        policy::WaitingPrompt prompt;
        prompt.id = tokens;
        prompt.info.tokens = tokens;
        prompt.info.memory = policy::MemoryNeed::of(tokens, CacheTokens);
        prompt.routeName = std::to_string(tokens);
        prompt.firstTokenDueAt = prompt.deadlineAt = core::TimePoint(2h);
        queue.add(prompt);
    }
    const auto take = [&]() {
        return queue.takeNext(
            engines, [](const auto &) { return std::vector<uint32_t>(2, 0); }, {},
            core::TimePoint(1h), random);
    };
    const auto first = take();
    cr_assert(first && first->prompt.id == 1'000U);
    cr_assert_not(take());
    engines[1].heldTokens = 400'000;
    engines[0].running = 1; // A prompt in prefill needs the memory soon.
    engines[0].heldTokens = 60'000;
    cr_assert_not(take());
    engines[0].running = 0;
    cr_assert(take());
}

// Guards against two gateways that use the last memory of an engine at the same time, and against a
// gateway that never has a turn.
Test(runplacement, gateways_take_turns_at_scarce_memory)
{
    const auto names = gatewayNames();
    std::vector<policy::MemoryTurns> gateways(names.size());
    for (size_t i = 0; i < names.size(); ++i)
        gateways[i].setMembers(names[i], names);
    std::vector<int> turns(names.size());
    size_t last = names.size();
    auto lastAt = -1'000ms;
    for (auto at = 1'000'000ms; at < 1'060'000ms; at += 10ms) {
        size_t holders = 0;
        for (size_t i = 0; i < gateways.size(); ++i) {
            if (!gateways[i].hasTurn("engine", at))
                continue;
            ++holders;
            ++turns[i];
            cr_assert(i == last || at - lastAt >= 200ms);
            last = i;
            lastAt = at;
        }
        cr_assert_leq(holders, 1U);
    }
    for (const int count : turns)
        cr_assert_gt(count, 0);
}

// Load pattern of Riga with documents of up to 55,000 tokens at all gateways at once. Guards
// against crashes of engines whose memory several gateways fill by figures that are 200 ms old, and
// against requests that wait forever.
Test(runplacement, many_large_requests_never_exceed_an_engines_memory)
{
    for (const bool byPace : {true, false}) {
        const auto names = gatewayNames();
        std::vector<Gateway> gateways(names.size());
        for (size_t i = 0; i < names.size(); ++i) {
            gateways[i].bench.settings.predictsByPace = byPace;
            gateways[i].bench.settings.memoryTurns.setMembers(names[i], names);
            gateways[i].bench.random.seed(i);
        }
        std::vector engines(8, engine("", 0, 0));
        for (size_t i = 0; i < engines.size(); ++i)
            engines[i].id = names[i];
        std::mt19937_64 random(7);
        double most = 0;
        size_t waited = 0;
        for (auto at = 0ms; at < 30'000ms; at += 20ms) {
            const auto message = engines;
            for (Gateway &it : gateways) {
                if (at % 200ms == 0ms)
                    it.view = message;
                if (at < 15'000ms && random() % 16 == 0)
                    it.waiting.push_back(random() % 3 == 0 ? 55'008 : 6'976);
                it.step(engines, at + 1h);
                waited += it.waiting.size();
            }
            for (const auto &it : engines)
                most = std::max(most, it.heldTokens);
        }
        cr_assert_leq(most, CacheTokens, "by pace %d: %.0f tokens", byPace, most);
        cr_assert(most > 0.5 * CacheTokens && waited > 0);
        for (const Gateway &it : gateways)
            cr_assert(it.waiting.empty() && it.running.empty());
    }
}
