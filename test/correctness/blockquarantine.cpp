/** \file
 * Tests of which prompt blocks are put in quarantine.
 */

#include "policy/blockquarantine.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using policy::BlockQuarantine;

namespace {

constexpr uint64_t Bad = 1;
constexpr uint64_t First = 2; ///< Shared by all prompts.
const core::TimePoint Begin = core::BootClock::now();

/** Records crashes of engines with a prompt, one per second. \return the time of the last one. */
core::TimePoint crash(BlockQuarantine &quarantine, const std::vector<uint64_t> &blocks,
                      size_t engines, core::TimePoint from = Begin)
{
    static uint64_t engine = 1'000;
    core::TimePoint at = from;
    for (uint64_t i = 0; i < engines; ++i) {
        at = from + i * 1s;
        quarantine.recordCrash(blocks, ++engine, at);
        quarantine.update(at);
    }
    return at;
}

bool held(BlockQuarantine &quarantine, uint64_t block, core::TimePoint now)
{
    quarantine.update(now);
    return quarantine.timeLeft({block}, now).has_value();
}

} // namespace

// Guards against engines that end one after the other (BUDGET).
Test(blockquarantine, a_block_is_held_after_three_engines_without_an_answer)
{
    BlockQuarantine quarantine;
    const auto second = crash(quarantine, {Bad}, 2);
    cr_assert_not(held(quarantine, Bad, second + 5s));
    cr_assert(quarantine.suspects({Bad}, second), "a lost prompt is not tried on a third engine");
    quarantine.recordCrash({Bad}, 102, second + 6s);
    cr_assert(held(quarantine, Bad, second + 6s));
    cr_assert(quarantine.timeLeft({First, Bad}, second + 6s).has_value());
    cr_assert_not(quarantine.timeLeft({First}, second + 6s).has_value());
    cr_assert_not(held(quarantine, Bad, second + 11min), "engines may have new software by then");
}

// Guards against sound requests that are refused (LOST) as they share a block with crashing ones.
Test(blockquarantine, a_block_that_is_answered_in_between_is_not_held)
{
    BlockQuarantine quarantine;
    core::TimePoint now = Begin;
    for (uint64_t i = 0; i < 20; ++i) {
        quarantine.recordCrash({First, Bad}, 100 + i, now);
        now += 400ms;
        quarantine.recordSuccess({First, 77}, now);
        now += 100ms;
        cr_assert_not(held(quarantine, First, now));
    }
    cr_assert(held(quarantine, Bad, now));
}

// Guards against the same fault while so many engines are down that nothing is answered for a time.
Test(blockquarantine, a_block_that_was_answered_lately_needs_more_engines)
{
    BlockQuarantine quarantine;
    quarantine.recordSuccess({First}, Begin - 1s);
    const auto last = crash(quarantine, {First, Bad}, 5);
    cr_assert(held(quarantine, Bad, last + 1s));
    cr_assert_not(held(quarantine, First, last + 1s));
    // A block that has begun to crash engines by itself is held in the end, and tried again soon.
    core::TimePoint end = last + 10s;
    for (uint64_t i = 0; i < 6; ++i)
        end = crash(quarantine, {First, 50 + i}, 1, end + 1s);
    cr_assert(held(quarantine, First, end + 1s));
    cr_assert_not(held(quarantine, First, end + 31s));
}

// Guards against the same fault when gateways have just started (soak --crashes --seed 3): nothing
// was answered yet, so the shared block and the crashing one have the same crashes.
Test(blockquarantine, of_two_unproven_blocks_the_one_that_fewer_prompts_share_is_held)
{
    BlockQuarantine quarantine;
    const auto last = crash(quarantine, {First, Bad}, 4);
    cr_assert(held(quarantine, Bad, last + 1s));
    cr_assert_not(held(quarantine, First, last + 1s));
    cr_assert_not(held(quarantine, First, last + 30s));
    // If engines go on ending under the shared block, it is the cause of those.
    const auto end = crash(quarantine, {First, 55}, 2, last + 31s);
    cr_assert_not(held(quarantine, First, end + 1s));
    quarantine.recordCrash({First, 66}, 300, end + 2s);
    cr_assert(held(quarantine, First, end + 3s));
}

// Guards against a route that is refused for minutes after a failure of many engines at once.
Test(blockquarantine, engines_that_are_lost_together_count_once)
{
    BlockQuarantine quarantine;
    for (uint64_t outage = 0; outage < 2; ++outage) {
        for (uint64_t i = 0; i < 50; ++i)
            quarantine.recordCrash({First}, 100 * outage + i, Begin + outage * 10s + i * 2ms);
    }
    cr_assert_not(held(quarantine, First, Begin + 11s));
}

// Guards against sound requests that are refused for good (LOST) after a wrong decision.
Test(blockquarantine, an_answer_ends_a_quarantine)
{
    BlockQuarantine quarantine;
    const auto last = crash(quarantine, {Bad}, 3);
    cr_assert(held(quarantine, Bad, last + 1s));
    quarantine.setStored(Bad, true, last + 1s);
    cr_assert_not(quarantine.refuted(Bad));
    quarantine.recordSuccess({Bad}, last + 2s);
    cr_assert_not(held(quarantine, Bad, last + 2s));
    cr_assert(quarantine.refuted(Bad), "the entry in the store has to go");
}

// Guards against losses of the gateway's own network, which look like crashes of many engines.
Test(blockquarantine, losses_at_the_same_moment_count_once)
{
    BlockQuarantine quarantine;
    for (uint64_t i = 0; i < 10; ++i)
        quarantine.recordCrash({Bad}, 100 + i, Begin + i * 1ms);
    cr_assert_not(held(quarantine, Bad, Begin + 1s));
}

// Guards against a quarantine for losses of a single engine that is bad itself.
Test(blockquarantine, one_engine_counts_once)
{
    BlockQuarantine quarantine;
    for (int i = 0; i < 10; ++i)
        quarantine.recordCrash({Bad}, 100, Begin + i * 1s);
    cr_assert_not(held(quarantine, Bad, Begin + 10s));
}

// Guards against crashes that no single gateway sees often enough (BUDGET): requests with the block
// come at any gateway.
Test(blockquarantine, evidence_of_all_gateways_counts)
{
    std::vector<BlockQuarantine> gateways(4);
    core::TimePoint now = Begin;
    const auto exchange = [&]() {
        for (BlockQuarantine &from : gateways) {
            const auto report = from.report(now);
            for (BlockQuarantine &to : gateways) {
                if (&to != &from)
                    to.merge(report, now);
            }
        }
    };
    for (uint64_t i = 0; i < 3; ++i) {
        gateways[i].recordCrash({First, Bad}, 100 + i, now);
        gateways[3].recordSuccess({First}, now + 100ms);
        now += 500ms;
        exchange();
        exchange();
    }
    for (BlockQuarantine &it : gateways) {
        cr_assert(held(it, Bad, now));
        cr_assert_not(held(it, First, now), "the fourth gateway has answers with it");
    }
    // A gateway that starts now learns it from any of them.
    BlockQuarantine late;
    late.merge(gateways[2].report(now), now);
    cr_assert(late.timeLeft({Bad}, now).has_value());
    // What it has only heard ends soon after the others are silent.
    cr_assert_not(late.report(now).quarantined.size() == 1);
}

// Guards against a quarantine that peers renew with the evidence that it was based on.
Test(blockquarantine, old_evidence_of_peers_does_not_renew_a_quarantine)
{
    BlockQuarantine a;
    BlockQuarantine b;
    core::TimePoint now = Begin;
    a.recordSuccess({First}, now);
    for (uint64_t i = 0; i < 6; ++i) {
        now += 1s;
        a.recordCrash({First, 50 + i}, 100 + i, now);
    }
    bool wasHeld = false;
    size_t heldSeconds = 0;
    for (int i = 0; i < 120; ++i) {
        now += 1s;
        b.merge(a.report(now), now);
        a.merge(b.report(now), now);
        b.update(now);
        wasHeld = held(a, First, now);
        heldSeconds += wasHeld ? 1 : 0;
    }
    cr_assert_geq(heldSeconds, 25U);
    cr_assert_leq(heldSeconds, 40U);
    cr_assert_not(wasHeld);
}

// Guards against evidence that gateways tell each other for ever.
Test(blockquarantine, evidence_expires_although_it_is_repeated)
{
    BlockQuarantine a;
    BlockQuarantine b;
    a.recordCrash({Bad}, 100, Begin);
    for (core::TimePoint now = Begin; now < Begin + 2min; now += 1s) {
        b.merge(a.report(now), now);
        a.merge(b.report(now), now);
        a.update(now);
        b.update(now);
    }
    cr_assert(a.report(Begin + 2min).crashes.empty());
    cr_assert(b.report(Begin + 2min).crashes.empty());
}

// Guards against memory and datagrams that grow with what clients send.
Test(blockquarantine, reports_and_memory_are_bounded)
{
    BlockQuarantine quarantine;
    core::TimePoint now = Begin;
    for (uint64_t i = 0; i < 100'000; ++i) {
        now += 1ms;
        quarantine.recordSuccess({1'000'000 + i}, now);
        quarantine.recordCrash({i}, i % 50, now);
    }
    quarantine.update(now);
    cr_assert_leq(quarantine.report(now).crashes.size(), 64U);
    cr_assert_leq(quarantine.report(now).successes.size(), 64U);
}

// Engines of another service may run other software.
Test(blockquarantine, blocks_are_told_apart_by_service)
{
    cr_assert_neq(policy::blockKey("a", 7), policy::blockKey("b", 7));
    cr_assert_neq(policy::blockKey("a", 7), policy::blockKey("a", 8));
    cr_assert_eq(policy::blockKey("a", 7), policy::blockKey("a", 7));
}
