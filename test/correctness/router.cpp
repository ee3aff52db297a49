/** \file
 * Tests that the router corrects outdated load reports and gives up prefix affinity under load.
 */

#include "policy/router.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

policy::EndpointView endpoint(const std::string &vm)
{
    policy::EndpointView it;
    it.vm = vm;
    it.usable = true;
    it.load.slots = 8;
    it.load.prefillTokensPerSecond = 1'000;
    it.load.decodeTokensPerSecond = 50;
    it.load.freeKvPieces = 100;
    return it;
}

policy::RouteRequest request(uint32_t prompt)
{
    policy::RouteRequest it;
    it.promptTokens = prompt;
    it.outputTokens = 10;
    it.firstTokenObjective = 1s;
    it.timeLeft = 30s;
    return it;
}

} // namespace

Test(router, prefers_the_shorter_queue)
{
    const policy::Router router({});
    const policy::PrefixIndex prefixes(100);
    std::mt19937_64 random(1);
    auto busy = endpoint("busy");
    busy.load.queuedPrefillTokens = 5'000;
    const auto decision = router.choose({busy, endpoint("free")}, request(500), prefixes, random);
    cr_assert(decision);
    cr_assert_eq(decision->index, 1U);
}

Test(router, counts_what_was_sent_since_the_report)
{
    const policy::Router router({});
    const policy::PrefixIndex prefixes(100);
    std::mt19937_64 random(1);
    auto justUsed = endpoint("just-used");
    justUsed.sentPrefillTokens = 3'000;
    for (int i = 0; i < 20; ++i) {
        const auto decision =
            router.choose({justUsed, endpoint("other")}, request(500), prefixes, random);
        cr_assert_eq(decision->index, 1U);
    }
}

Test(router, a_cached_prefix_attracts_until_the_queue_costs_more)
{
    const policy::Router router({});
    policy::PrefixIndex prefixes(1'000);
    std::mt19937_64 random(1);
    const std::string prompt(64UL * 4 * 10, 'x');
    auto wanted = request(640);
    wanted.prefixBlocks = policy::prefixBlocks(prompt);
    prefixes.record("warm", wanted.prefixBlocks);
    auto warm = endpoint("warm");
    cr_assert_eq(router.choose({endpoint("cold"), warm}, wanted, prefixes, random)->index, 1U);
    warm.load.queuedPrefillTokens = 4'000;
    cr_assert_eq(router.choose({endpoint("cold"), warm}, wanted, prefixes, random)->index, 0U);
}

Test(router, a_full_batch_and_full_memory_cost_time)
{
    const policy::Router router({});
    auto full = endpoint("full");
    full.load.running = 8;
    full.load.outstandingOutputTokens = 4'000;
    auto noMemory = endpoint("no-memory");
    noMemory.load.running = 2;
    noMemory.load.freeKvPieces = 0;
    const auto free = router.predict(endpoint("free"), request(500), 0);
    cr_assert_gt(router.predict(full, request(500), 0).predictedFirstToken.count(),
                 free.predictedFirstToken.count());
    cr_assert_gt(router.predict(noMemory, request(500), 0).predictedFirstToken.count(),
                 free.predictedFirstToken.count());
}

Test(router, unusable_endpoints_are_never_chosen_and_a_probe_goes_first)
{
    const policy::Router router({});
    const policy::PrefixIndex prefixes(100);
    std::mt19937_64 random(1);
    auto down = endpoint("down");
    down.usable = false;
    cr_assert_not(router.choose({down}, request(10), prefixes, random));
    auto probe = endpoint("probe");
    probe.usable = false;
    probe.probeDue = true;
    cr_assert_eq(router.choose({endpoint("fine"), probe}, request(10), prefixes, random)->index,
                 1U);
}

Test(router, equal_endpoints_share_the_work)
{
    const policy::Router router({});
    const policy::PrefixIndex prefixes(100);
    std::mt19937_64 random(7);
    int first = 0;
    for (int i = 0; i < 200; ++i) {
        const auto decision =
            router.choose({endpoint("a"), endpoint("b")}, request(100), prefixes, random);
        first += decision->index == 0 ? 1 : 0;
    }
    cr_assert(first > 70 && first < 130, "the first of two equals got %d of 200", first);
}

Test(prefixindex, later_blocks_are_evicted_first)
{
    policy::PrefixIndex prefixes(4);
    const auto blocks = policy::prefixBlocks(std::string(64UL * 4 * 6, 'y'));
    cr_assert_eq(blocks.size(), 6U);
    prefixes.record("vm", blocks);
    cr_assert_eq(prefixes.cachedTokens("vm", blocks), 4 * core::PrefixBlockTokens);
    prefixes.forget("vm");
    cr_assert_eq(prefixes.cachedTokens("vm", blocks), 0U);
}
