/** \file
 * Tests of the choice of the engine that decodes a request: expected decode time, stale load
 * figures, KV cache and peers that state no decode load.
 */

#include "policy/decodeplacement.h"
#include "serving/endpoints.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace jujube;

namespace {

constexpr uint32_t Slots = 64;

// An engine whose streams have the given number of tokens left each.
policy::PlacementCandidate engine(double running, double remainingEach, double heldTokens = 0)
{
    policy::PlacementCandidate it;
    it.domain = "a";
    it.slots = Slots;
    it.running = running;
    it.remainingTokens = running * remainingEach;
    it.heldTokens = heldTokens;
    return it;
}

struct Bench
{
    policy::PlacementSettings settings;
    policy::DecodeStepEstimator steps;
    std::mt19937_64 random{1};

    // How often each engine is chosen in 100 choices.
    std::vector<int> choose(const std::vector<policy::PlacementCandidate> &engines,
                            const policy::DecodeDemand &demand, std::string_view domain = "a")
    {
        std::vector<int> counts(engines.size());
        for (int i = 0; i < 100; ++i) {
            const auto choice =
                policy::chooseDecodeEngine(engines, demand, domain, settings, steps, random);
            cr_assert(choice);
            ++counts[choice->index];
        }
        return counts;
    }
};

} // namespace

// Guards against counting a stream that ends at once like one that has just started.
Test(decodeplacement, streams_that_end_soon_count_less_than_long_ones)
{
    Bench bench;
    cr_assert_eq(bench.choose({engine(40, 2), engine(24, 90)}, {90, {}})[0], 100);
    cr_assert_eq(bench.choose({engine(24, 90), engine(40, 90)}, {90, {}})[0], 100);
}

// Guards against queues at full engines while others have free slots.
Test(decodeplacement, a_full_engine_gets_a_run_only_if_its_streams_end_at_once)
{
    Bench bench;
    cr_assert_eq(bench.choose({engine(Slots, 90), engine(32, 90), engine(32, 90)}, {90, {}})[0], 0);
    cr_assert_eq(bench.choose({engine(2 * Slots, 90), engine(Slots, 90)}, {90, {}})[1], 100);
    cr_assert_eq(bench.choose({engine(Slots, 4), engine(40, 90)}, {90, {}})[0], 100);
}

// Guards against needless hand-overs between failure domains, at the strength that the choice by
// slots had: 0.15 of the slots.
Test(decodeplacement, another_failure_domain_costs_as_much_as_a_share_of_the_slots)
{
    Bench bench;
    auto far = engine(8, 90);
    far.domain = "b";
    for (const double tokens : {20.0, 90.0, 400.0}) {
        cr_assert_eq(bench.choose({engine(14, 90), far}, {tokens, {}})[0], 100);
        cr_assert_eq(bench.choose({engine(24, 90), far}, {tokens, {}})[1], 100);
    }
}

// Guards against preemption at an engine whose KV cache is full, and against refusing requests
// while all are full.
Test(decodeplacement, an_engine_without_room_in_its_cache_is_avoided)
{
    Bench bench;
    const policy::CacheDemand cache{2'000, 100'000};
    const std::vector full{engine(2, 90, 93'500), engine(30, 90, 92'900)};
    cr_assert_eq(bench.choose(full, {90, cache})[1], 100);
    const std::vector allFull{engine(2, 90, 98'500), engine(30, 90, 94'000)};
    cr_assert_eq(bench.choose(allFull, {90, cache})[1], 100);
    const auto choice = policy::chooseDecodeEngine(allFull, {90, cache}, "a", bench.settings,
                                                   bench.steps, bench.random);
    cr_assert_not(choice->hasRoom);
    cr_assert_eq(bench.choose(full, {90, {2'000, 0}})[0], 100, "no cache size: no limit");
    auto unusable = full;
    unusable[1].usable = false;
    cr_assert_eq(bench.choose(unusable, {90, cache})[0], 100);
}

// Guards against a prompt that an engine without room would decode itself.
Test(decodeplacement, an_engine_without_room_does_not_prefill_either)
{
    Bench bench;
    std::vector engines{engine(0, 0), engine(2, 90, 94'000)};
    engines[0].isPrefillEngine = true;
    engines.push_back(engine(8, 90, 10'000));
    const auto chosen = [&](const policy::CacheDemand &cache) {
        return policy::choosePrefillEngine(engines, {300, 0, 0, cache}, bench.settings,
                                           bench.random)
            ->index;
    };
    cr_assert_eq(chosen({2'000, 100'000}), 2U);
    cr_assert_neq(chosen({2'000, 0}), 0U);
    // No engine has room, so the one with the most is used if no prefill engine is usable.
    engines[0].usable = false;
    engines[2].heldTokens = 99'000;
    cr_assert_eq(chosen({2'000, 100'000}), 1U);
}

// Guards against taking an engine for idle because an earlier release states no decode load.
Test(decodeplacement, streams_of_peers_that_state_nothing_count_by_their_number)
{
    Bench bench;
    serving::EndpointTable table;
    std::vector<policy::PlacementCandidate> views;
    const std::vector<serving::OutstandingLoad> peers{{40, 0}, {20, 0}, {24, 0, 24 * 90, 24 * 900}};
    for (size_t i = 0; i < peers.size(); ++i) {
        serving::EndpointRecord record;
        record.id = "engine-" + std::to_string(i);
        record.service = "model";
        record.slots = Slots;
        record.domain = "a";
        record.stage = serving::Stage::Decode;
        record.version.revision = 1;
        table.update(record, 100'000);
        table.find(record.id)->ownLoad = {2, 0, 180, 2'000};
        table.setPeerLoads({});
    }
    std::vector<serving::GossipLoadShare> shares;
    for (size_t i = 0; i < peers.size(); ++i)
        shares.push_back({serving::endpointHash("engine-" + std::to_string(i)), peers[i]});
    table.setPeerLoads(shares);
    for (size_t i = 0; i < peers.size(); ++i)
        views.push_back(
            serving::placementViewOf(*table.find("engine-" + std::to_string(i)), {}, {}));
    cr_assert_float_eq(views[0].unstatedRunning, 40, 0.1);
    cr_assert_float_eq(views[2].unstatedRunning, 0, 0.1);
    cr_assert_float_eq(views[2].heldTokens, 24 * 900 + 2'000, 0.1);
    cr_assert_eq(bench.choose({views[0], views[1]}, {90, {}})[1], 100);
    cr_assert_eq(bench.choose({views[0], views[2]}, {90, {}})[1], 100);
}

// Guards against a load of 0 of a stream that is longer than expected, and its growing KV cache.
Test(decodeplacement, the_load_of_a_stream_falls_with_its_output_but_not_below_the_minimum)
{
    const auto begun = policy::decodeLoadOf(1'000, 90, 0);
    cr_assert_eq(begun.remainingTokens, 90U);
    cr_assert_eq(begun.heldTokens, 1'104U); // 1,090 in blocks of 16.
    cr_assert_eq(policy::decodeLoadOf(1'000, 90, 60).remainingTokens, 30U);
    cr_assert_eq(policy::decodeLoadOf(1'000, 90, 60).heldTokens, begun.heldTokens);
    const auto longer = policy::decodeLoadOf(1'000, 90, 500);
    cr_assert_eq(longer.remainingTokens, policy::MinRemainingTokens);
    cr_assert_eq(longer.heldTokens, 1'504U);
    cr_assert(policy::exceedsCache(1'000, 1'000));
    cr_assert_not(policy::exceedsCache(999, 1'000));
    cr_assert_not(policy::exceedsCache(1'000, 0));
}

namespace {

struct Stream
{
    size_t gateway = 0;
    double remaining = 0;
    double startedMs = 0;
    double heldTokens = 0;
};

constexpr size_t Gateways = 30;
constexpr size_t Engines = 20;
constexpr int Steps = 4'000; ///< Of the simulation.

// Gateways that know their own streams at once and those of the others as of the last round of
// gossip, 100 ms apart. Engines run their first streams up to their number of slots.
struct Fleet
{
    Bench bench;
    std::vector<std::vector<Stream>> engines{Engines};
    std::vector<std::vector<Stream>> stated{Engines};
    std::vector<double> durationsMs;
    double queuedShare = 0;
    double overfullShare = 0; ///< Of engines and time: the held tokens exceed the KV cache.
    double cacheUse = 0;      ///< Mean over engines and time.
    double cacheTokens = 0;
    bool limitsCache = true;
    bool byDecodeTime = true;

    std::vector<policy::PlacementCandidate> viewOf(size_t gateway) const
    {
        std::vector<policy::PlacementCandidate> views(Engines, engine(0, 0));
        for (size_t i = 0; i < Engines; ++i) {
            const auto add = [&](const Stream &it) {
                ++views[i].running;
                views[i].remainingTokens += it.remaining;
                views[i].heldTokens += it.heldTokens;
            };
            for (const Stream &it : engines[i]) {
                if (it.gateway == gateway)
                    add(it);
            }
            for (const Stream &it : stated[i]) {
                if (it.gateway != gateway)
                    add(it);
            }
        }
        return views;
    }

    void place(double tokens, double nowMs)
    {
        const size_t gateway = bench.random() % Gateways;
        const double heldTokens = std::uniform_real_distribution<double>(500, 7'500)(bench.random);
        const auto views = viewOf(gateway);
        const size_t index = byDecodeTime
            ? policy::chooseDecodeEngine(views,
                                         {tokens, {heldTokens, limitsCache ? cacheTokens : 0}}, "a",
                                         bench.settings, bench.steps, bench.random)
                  ->index
            : *policy::chooseLeastLoadedEndpoint(views, "a", bench.settings, bench.random);
        engines[index].push_back({gateway, tokens, nowMs, heldTokens});
    }

    void advance(double ms, double nowMs)
    {
        for (auto &streams : engines) {
            const size_t active = std::min<size_t>(streams.size(), Slots);
            const double tokens = ms / bench.steps.stepMs(static_cast<double>(active));
            for (size_t i = 0; i < active; ++i) {
                streams[i].remaining -= tokens;
                if (streams[i].remaining <= 0)
                    durationsMs.push_back(nowMs - streams[i].startedMs);
            }
            std::erase_if(streams, [](const Stream &it) { return it.remaining <= 0; });
        }
    }

    // Runs for 20 s. \param perMs new streams of 10 to 500 tokens per ms.
    double meanDurationMs(double perMs)
    {
        constexpr double stepMs = 5;
        constexpr int roundSteps = 20;
        std::lognormal_distribution<double> lengths(std::log(90), 0.8);
        std::poisson_distribution<int> arrivals(perMs * stepMs);
        size_t queued = 0;
        size_t sum = 0;
        for (int step = 0; step < Steps; ++step) {
            const double now = step * stepMs;
            if (step % roundSteps == 0)
                stated = engines;
            for (int n = arrivals(bench.random); n > 0; --n)
                place(std::clamp(lengths(bench.random), 10.0, 500.0), now);
            advance(stepMs, now);
            for (const auto &streams : engines) {
                queued += streams.size() > Slots ? streams.size() - Slots : 0;
                sum += streams.size();
                double held = 0;
                for (const Stream &it : streams)
                    held += it.heldTokens;
                cacheUse += held / std::max(1.0, cacheTokens) / (Steps * Engines);
                overfullShare += held > cacheTokens ? 1.0 / (Steps * Engines) : 0;
            }
        }
        queuedShare = static_cast<double>(queued) / static_cast<double>(sum);
        return std::accumulate(durationsMs.begin(), durationsMs.end(), 0.0)
            / static_cast<double>(durationsMs.size());
    }
};

} // namespace

// Guards against gateways that all send to the engine that had the most free slots 100 ms ago.
Test(decodeplacement, many_gateways_with_equal_stale_figures_spread_their_runs)
{
    for (const double perMs : {0.7, 1.05}) { // About half and nine tenths of the slots in use.
        Fleet byTime;
        const double ms = byTime.meanDurationMs(perMs);
        Fleet byCount;
        byCount.byDecodeTime = false;
        const double msByCount = byCount.meanDurationMs(perMs);
        cr_log_info("%.2f per ms: %.0f ms, %.4f queued; by count %.0f ms, %.4f queued", perMs, ms,
                    byTime.queuedShare, msByCount, byCount.queuedShare);
        cr_assert_leq(ms, 1.02 * msByCount);
        cr_assert_leq(byTime.queuedShare, 0.02);
    }
}

// Guards against gateways that all fill the room that one engine's KV cache had 100 ms ago.
Test(decodeplacement, many_gateways_with_equal_stale_figures_keep_to_the_cache)
{
    // The cache size of the engines without limit only serves to count.
    for (const double cacheTokens : {270e3, 300e3}) {
        Fleet limited;
        limited.cacheTokens = cacheTokens;
        limited.meanDurationMs(1.05);
        Fleet unlimited;
        unlimited.cacheTokens = cacheTokens;
        unlimited.limitsCache = false;
        unlimited.meanDurationMs(1.05);
        cr_log_info("cache %.0f: use %.2f, overfull %.4f; without limit use %.2f, overfull %.4f",
                    cacheTokens, limited.cacheUse, limited.overfullShare, unlimited.cacheUse,
                    unlimited.overfullShare);
        cr_assert_leq(limited.overfullShare, 0.01);
    }
}
