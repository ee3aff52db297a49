/** \file
 * Tests of the choice of engines: disaggregated or colocated prefill, cached prefixes, slow and
 * failed engines.
 */

#include "policy/placement.h"
#include "policy/prefilltimeestimator.h"
#include "policy/prefixcachemodel.h"

#include <criterion/criterion.h>

#include <set>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

policy::PlacementCandidate engine(std::string_view id, bool isPrefillEngine)
{
    policy::PlacementCandidate it;
    it.id = id;
    it.domain = "a";
    it.slots = 64;
    it.isPrefillEngine = isPrefillEngine;
    return it;
}

struct Bench
{
    policy::PlacementSettings settings;
    std::mt19937_64 random{1};

    policy::PrefillChoice choose(const std::vector<policy::PlacementCandidate> &engines,
                                 policy::PromptInfo prompt)
    {
        const auto choice = policy::choosePrefillEngine(engines, prompt, settings, random);
        cr_assert(choice);
        return *choice;
    }
};

} // namespace

Test(placement, long_prompts_use_disaggregated_prefill_and_short_ones_colocated)
{
    Bench bench;
    const std::vector engines{engine("reader", true), engine("decoder", false)};
    cr_assert_eq(bench.choose(engines, {12'000, 0, 0}).index, 0U);
    cr_assert_eq(bench.choose(engines, {300, 0, 0}).index, 1U);
}

// Guards against needless traffic between failure domains: work stays in the client's domain while
// engines there are about as free as others, and leaves it otherwise.
Test(placement, work_stays_in_its_failure_domain_while_it_is_served_there)
{
    Bench bench;
    bench.settings.domain = "b";
    std::vector prefillEngines{engine("near", true), engine("far", true)};
    prefillEngines[0].domain = "b";
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(bench.choose(prefillEngines, {4'000, 0, 0}).index, 0U);
    prefillEngines[0].backlogTokens = 6'000;
    cr_assert_eq(bench.choose(prefillEngines, {4'000, 0, 0}).index, 1U);

    std::vector decodeEngines{engine("near", false), engine("far", false)};
    decodeEngines[0].domain = "b";
    decodeEngines[0].running = 14;
    decodeEngines[1].running = 8;
    for (int i = 0; i < 20; ++i)
        cr_assert(
            policy::chooseLeastLoadedEndpoint(decodeEngines, "b", bench.settings, bench.random)
            == 0U);
    decodeEngines[0].running = 24;
    cr_assert(policy::chooseLeastLoadedEndpoint(decodeEngines, "b", bench.settings, bench.random)
              == 1U);
}

// Long answers fill the decode engines: colocated prefill would slow all their streams.
Test(placement, busy_decode_engines_do_not_prefill)
{
    Bench bench;
    std::vector engines{engine("reader", true), engine("decoder", false)};
    engines[1].running = 40;
    cr_assert_eq(bench.choose(engines, {300, 0, 0}).index, 0U);
}

// Gateways without knowledge of each other choose the same engine for the first prefill of a
// prefix, so that it is computed once.
Test(placement, gateways_agree_on_the_preferred_engine_of_an_uncached_prefix)
{
    std::vector engines{engine("r1", true), engine("r2", true), engine("r3", true)};
    std::set<size_t> chosen;
    for (uint32_t seed = 0; seed < 20; ++seed) {
        policy::PlacementSettings settings;
        std::mt19937_64 random(seed);
        chosen.insert(
            policy::choosePrefillEngine(engines, {12'000, 77, 0}, settings, random)->index);
    }
    cr_assert_eq(chosen.size(), 1U);
}

// The holder of a cached prefix is busy: another engine fetches the prefix instead of computing it.
Test(placement, cached_prefixes_are_fetched_when_their_holder_is_busy)
{
    Bench bench;
    std::vector engines{engine("holder", true), engine("free", true)};
    engines[0].cachedTokens = 5'000;
    engines[0].backlogTokens = 30'000;
    const auto choice = bench.choose(engines, {8'000, 77, 5'000});
    cr_assert_eq(choice.index, 1U);
    cr_assert(choice.fetch);
    cr_assert_eq(choice.uncachedTokens, 3'000U);
}

Test(placement, an_idle_holder_is_preferred_to_a_fetch)
{
    Bench bench;
    std::vector engines{engine("holder", true), engine("free", true)};
    engines[0].cachedTokens = 5'000;
    const auto choice = bench.choose(engines, {8'000, 77, 5'000});
    cr_assert_eq(choice.index, 0U);
    cr_assert_not(choice.fetch);
}

// An endpoint is slow while its health checks succeed: it gets less work in proportion.
Test(placement, slow_engines_are_avoided)
{
    Bench bench;
    std::vector engines{engine("slow", true), engine("sound", true)};
    engines[0].slowness = 4;
    engines[1].backlogTokens = 5'000;
    bench.settings.predictsByPace = false;
    cr_assert_eq(bench.choose(engines, {8'000, 0, 0}).index, 1U);
    // Where endpoints state their pace, the learned slowdown takes the place of the smoothed ratio.
    engines[0].slowdown = 4;
    bench.settings.predictsByPace = true;
    cr_assert_eq(bench.choose(engines, {8'000, 0, 0}).index, 1U);
}

Test(placement, unusable_engines_are_never_chosen)
{
    Bench bench;
    std::vector engines{engine("gone", true)};
    engines[0].usable = false;
    cr_assert_not(policy::choosePrefillEngine(engines, {100, 0, 0}, bench.settings, bench.random));
    cr_assert_not(policy::chooseLeastLoadedEndpoint(engines, "a", bench.settings, bench.random));
}

Test(placement, the_least_loaded_endpoint_has_the_smallest_share_of_slots_in_use)
{
    Bench bench;
    std::vector endpoints{engine("big", false), engine("small", false)};
    endpoints[0].running = 20;
    endpoints[1].slots = 6;
    endpoints[1].running = 4;
    cr_assert_eq(*policy::chooseLeastLoadedEndpoint(endpoints, "a", bench.settings, bench.random),
                 0U);
}

Test(placement, estimator_finds_rate_and_fixed_time)
{
    policy::PrefillTimeEstimator estimator({60, 75});
    for (int i = 0; i < 2'000; ++i) {
        const double tokens = 500 + (i * 37) % 9'000;
        estimator.note(tokens, 40 + tokens / 90);
    }
    cr_assert_float_eq(estimator.model().tokensPerMs, 90, 3);
    cr_assert_float_eq(estimator.model().fixedMs, 40, 5);
}

Test(partcache, counts_only_blocks_whose_predecessors_are_held)
{
    std::vector<policy::PrefixLink> first;
    policy::appendPrefixLink(first, 1, 500);
    policy::appendPrefixLink(first, 2, 4'000);
    std::vector<policy::PrefixLink> second;
    policy::appendPrefixLink(second, 9, 500);
    policy::appendPrefixLink(second, 2, 4'000);
    policy::PrefixCacheModel cache(100'000);
    cache.record(first);
    cr_assert_eq(cache.cachedTokens(first), 4'500U);
    cr_assert_eq(cache.cachedTokens(second), 0U);
}

Test(partcache, forgets_the_least_recently_used)
{
    policy::PrefixCacheModel cache(1'000);
    std::vector<policy::PrefixLink> a;
    policy::appendPrefixLink(a, 1, 600);
    std::vector<policy::PrefixLink> b;
    policy::appendPrefixLink(b, 2, 600);
    cr_assert_eq(cache.record(a).size(), 1U);
    cr_assert_eq(cache.record(a).size(), 0U);
    cache.record(b);
    cr_assert_eq(cache.cachedTokens(a), 0U);
    cr_assert_eq(cache.cachedTokens(b), 600U);
}
