/** \file
 * Tests that usage counted by both entry and agent is summed up once, whichever of them fails.
 */

#include "control/usagereporter.h"

#include <criterion/criterion.h>

using namespace jujube;
using state::UsageFigures;
using state::UsagePage;
using state::UsageSide;

namespace {

UsageFigures figures(uint64_t requests, uint64_t output)
{
    UsageFigures it;
    it.requests = requests;
    it.usage.outputTokens = output;
    return it;
}

UsagePage page(UsageSide side, uint64_t incarnation, uint64_t peer, UsageFigures counted)
{
    UsagePage it;
    it.side = side;
    it.incarnation = incarnation;
    it.rows.push_back({peer, "team", counted});
    return it;
}

constexpr uint64_t Entry = 11;
constexpr uint64_t Agent = 22;

} // namespace

Test(usage, a_request_counted_by_entry_and_agent_is_summed_once)
{
    const auto total = control::sumUsage({page(UsageSide::Entry, Entry, Agent, figures(3, 90)),
                                          page(UsageSide::Agent, Agent, Entry, figures(3, 90))},
                                         [](uint64_t) { return true; });
    cr_assert_eq(total.at("team").requests, 3U);
    cr_assert_eq(total.at("team").usage.outputTokens, 90U);
}

Test(usage, the_agents_count_is_used_for_a_failed_entry)
{
    const auto total = control::sumUsage({page(UsageSide::Entry, Entry, Agent, figures(2, 60)),
                                          page(UsageSide::Agent, Agent, Entry, figures(3, 90))},
                                         [](uint64_t) { return false; });
    cr_assert_eq(total.at("team").requests, 3U);
}

Test(usage, a_failed_agent_loses_nothing_that_its_entry_counted)
{
    const auto total = control::sumUsage({page(UsageSide::Entry, Entry, Agent, figures(5, 150))},
                                         [](uint64_t) { return true; });
    cr_assert_eq(total.at("team").usage.outputTokens, 150U);
}

Test(usage, a_live_entry_decides_what_reached_the_caller)
{
    // The agent finished an answer that did not reach the entry, which repeated the request on
    // another endpoint.
    const auto total = control::sumUsage({page(UsageSide::Entry, Entry, Agent, figures(0, 10)),
                                          page(UsageSide::Agent, Agent, Entry, figures(1, 30)),
                                          page(UsageSide::Entry, Entry, Agent + 1, figures(1, 20))},
                                         [](uint64_t) { return true; });
    cr_assert_eq(total.at("team").requests, 1U);
    cr_assert_eq(total.at("team").usage.outputTokens, 30U);
}

Test(usage, pages_and_sealed_windows_round_trip_through_storage)
{
    const UsagePage counted = page(UsageSide::Agent, ~0ULL, 1ULL << 63U, figures(1, 2));
    const auto read = UsagePage::parse(counted.serialize());
    cr_assert(read.ok());
    cr_assert_eq(read->incarnation, ~0ULL);
    cr_assert_eq(read->rows.at(0).peerIncarnation, 1ULL << 63U);

    control::SealedWindow sealed;
    sealed.window = 1'700'000'000;
    sealed.reported["team"] = figures(4, 5);
    sealed.adjustments[1'699'999'940]["team"] = figures(1, 1);
    const auto again = control::SealedWindow::parse(sealed.serialize());
    cr_assert(again.ok());
    cr_assert_eq(again->serialize(), sealed.serialize());
}

Test(usage, windows_start_at_multiples_of_their_length)
{
    using namespace std::chrono_literals;
    cr_assert_eq(state::windowStartSeconds(119'999ms, 60s), 60U);
    cr_assert_eq(state::windowStartSeconds(120'000ms, 60s), 120U);
}
