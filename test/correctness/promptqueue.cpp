/** \file
 * Tests of the order in which prompts are dispatched for prefill under load.
 */

#include "policy/promptqueue.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};

policy::WaitingPrompt prompt(uint64_t id, const std::string &routeName, uint32_t tokens,
                             uint32_t rank, core::TimePoint at = Start)
{
    policy::WaitingPrompt it;
    it.id = id;
    it.routeName = routeName;
    it.rank = rank;
    it.info.tokens = tokens;
    it.arrivedAt = at;
    it.firstTokenDueAt = at + 600ms;
    it.deadlineAt = at + 2s;
    return it;
}

policy::PlacementCandidate prefillEngine(std::string_view id, double backlog = 0)
{
    policy::PlacementCandidate it;
    it.id = id;
    it.slots = 64;
    it.backlogTokens = backlog;
    it.isPrefillEngine = true;
    return it;
}

policy::PlacementCandidate decodeEngine(std::string_view id, double running)
{
    policy::PlacementCandidate it;
    it.id = id;
    it.slots = 64;
    it.running = running;
    return it;
}

struct Bench
{
    policy::PromptQueue queue{policy::PromptQueueSettings()};
    policy::PlacementSettings placement;
    std::mt19937_64 random{1};
    std::vector<policy::PlacementCandidate> engines{prefillEngine("r1"), decodeEngine("d1", 40)};

    std::optional<policy::PromptDispatch> take(core::TimePoint now = Start)
    {
        const size_t n = engines.size();
        return queue.takeNext(
            engines, [n](const policy::WaitingPrompt &) { return std::vector<uint32_t>(n, 0); },
            placement, now, random);
    }
};

} // namespace

// A burst of long prompts must not delay short ones that arrive after it.
Test(promptqueue, short_prompts_overtake_a_burst_of_long_ones)
{
    Bench bench;
    for (uint64_t i = 1; i <= 20; ++i)
        bench.queue.add(prompt(i, "long", 12'000, 2));
    bench.queue.add(prompt(21, "short", 600, 1));
    const auto first = bench.take();
    cr_assert(first);
    cr_assert_eq(first->prompt.id, 21U);
}

// Within one route a burst is served in order of arrival, so that no prompt starves.
Test(promptqueue, prompts_of_one_route_go_by_arrival)
{
    Bench bench;
    bench.queue.add(prompt(1, "long", 30'000, 2));
    bench.queue.add(prompt(2, "long", 3'000, 2));
    cr_assert_eq(bench.take()->prompt.id, 1U);
}

// Under overload, prompts that have missed their objective must not make later ones miss theirs.
Test(promptqueue, late_prompts_go_behind_those_that_can_be_in_time)
{
    Bench bench;
    bench.queue.add(prompt(1, "short", 600, 1, Start - 1s));
    bench.queue.add(prompt(2, "short", 600, 1, Start));
    cr_assert_eq(bench.take()->prompt.id, 2U);
    cr_assert_eq(bench.take()->prompt.id, 1U);
}

// Under overload, a prompt that cannot be answered before its deadline must not use engine time.
Test(promptqueue, prompts_that_cannot_meet_their_deadline_are_removed)
{
    Bench bench;
    bench.queue.add(prompt(1, "short", 600, 1, Start - 1'950ms));
    bench.queue.add(prompt(2, "short", 600, 1, Start));
    const auto ids = bench.queue.takeExpired(Start);
    cr_assert_eq(ids.size(), 1U);
    cr_assert_eq(ids.front(), 1U);
    cr_assert_eq(bench.queue.size(), 1U);
}

// Decode engines are full: a prompt dispatched now would wait there after its prefill.
Test(promptqueue, dispatches_nothing_while_decode_engines_are_full)
{
    Bench bench;
    bench.engines = {prefillEngine("r1"), decodeEngine("d1", 64)};
    bench.queue.add(prompt(1, "short", 600, 1));
    cr_assert_not(bench.take());
    bench.engines[1].running = 30;
    cr_assert(bench.take());
}

// All engines are busy: the prompt stays queued, where a more urgent one can still overtake it.
Test(promptqueue, keeps_prompts_while_every_engine_has_enough_backlog)
{
    Bench bench;
    bench.engines = {prefillEngine("r1", 50'000), decodeEngine("d1", 40)};
    bench.queue.add(prompt(1, "long", 12'000, 2));
    cr_assert_not(bench.take());
    bench.engines[0].backlogTokens = 0;
    cr_assert(bench.take());
}

// The expected wait allows refusing a request on arrival if it would miss its deadline.
Test(promptqueue, expected_wait_counts_the_prompts_ahead)
{
    Bench bench;
    for (uint64_t i = 1; i <= 10; ++i)
        bench.queue.add(prompt(i, "long", 10'000, 2));
    cr_assert_eq(bench.queue.expectedWait(prompt(11, "long", 10'000, 2), 50'000, Start), 2s);
    cr_assert_eq(bench.queue.expectedWait(prompt(12, "short", 500, 1), 50'000, Start), 0ms);
}

// Under overload several gateways send to one engine at the same time, so prompts wait there too.
// The engine's queue has to follow the same order as the gateways' queues.
Test(promptqueue, late_and_long_prompts_get_a_lower_priority_at_the_engine)
{
    const auto priority = [](const policy::WaitingPrompt &prompt, core::TimePoint now) {
        Bench bench;
        bench.queue.add(prompt);
        const auto dispatch = bench.take(now);
        cr_assert(dispatch);
        return dispatch->priority;
    };
    const uint32_t inTime = priority(prompt(1, "check", 2'000, 0), Start);
    const uint32_t late = priority(prompt(2, "check", 2'000, 0), Start + 590ms);
    const uint32_t document = priority(prompt(3, "document", 12'000, 2), Start);
    const uint32_t lateDocument = priority(prompt(4, "document", 12'000, 2), Start + 590ms);
    cr_assert_lt(inTime, late);
    cr_assert_lt(late, document);
    cr_assert_lt(document, lateDocument);
    cr_assert_leq(lateDocument, policy::LowestEnginePriority);
}

// An engine that has just stopped looks idle to every gateway. A prompt that it failed goes to a
// busier engine, and back to it only if there is no other.
Test(promptqueue, an_engine_that_failed_a_prompt_is_not_given_it_again)
{
    Bench it;
    it.engines = {prefillEngine("gone"), prefillEngine("busy", 5'000)};
    auto failed = prompt(1, "chat", 4'000, 1);
    failed.failedEngines = {"gone"};
    it.queue.add(failed);
    const auto other = it.take();
    cr_assert(other && other->choice.index == 1);
    it.engines[1].usable = false;
    it.queue.add(failed);
    const auto last = it.take();
    cr_assert(last && last->choice.index == 0);
}
