/** \file
 * Tests of the relay of departed gateways' usage counts.
 */

#include "serving/countrelay.h"
#include "policy/linkpace.h"

#include <criterion/criterion.h>

#include <set>

using namespace jujube;
using namespace std::chrono_literals;
using serving::CountRelay;

namespace {

constexpr uint64_t Window = 100;

std::vector<serving::UsageWindowId> departed(uint64_t runs)
{
    std::vector<serving::UsageWindowId> ids;
    for (uint64_t run = 1; run <= runs; ++run)
        ids.push_back({run, Window});
    return ids;
}

// Number of windows that each peer receives until nothing is due.
std::map<std::string, size_t> drain(CountRelay &relay, size_t teams)
{
    std::map<std::string, size_t> received;
    for (;;) {
        const auto message = relay.next([teams](const auto &) { return teams; });
        if (message.peers.empty())
            return received;
        cr_assert_leq(message.windows.size() * teams, std::max<size_t>(teams, 400));
        cr_assert_leq(message.peers.size(), 10U);
        for (const std::string &it : message.peers)
            received[it] += message.windows.size();
    }
}

} // namespace

// Guards against the traffic of the DRAIN incident on a link of 20 Mbit/s: the same counts were
// sent to each peer every second.
Test(countrelay, every_peer_receives_every_window_once)
{
    CountRelay relay;
    for (int i = 0; i < 25; ++i)
        relay.restart("vm-" + std::to_string(i));
    relay.update(departed(50), Window - 2);
    for (const auto &[peer, n] : drain(relay, 60))
        cr_assert_eq(n, 50U, "%s", peer.c_str());
    relay.update(departed(51), Window - 2);
    const auto more = drain(relay, 60);
    cr_assert_eq(more.size(), 25U);
    cr_assert_eq(more.begin()->second, 1U);
    relay.update(departed(51), Window - 2);
    cr_assert(drain(relay, 60).empty());
}

// Guards against wrong usage reports: a gateway that has started lacks all counts, and may lead
// before the others have received theirs.
Test(countrelay, gateways_that_have_started_last_come_first)
{
    CountRelay relay;
    for (int i = 0; i < 30; ++i)
        relay.restart("vm-" + std::to_string(i));
    relay.update(departed(3), Window - 2);
    relay.restart("started");
    const auto first = relay.next([](const auto &) { return size_t(400); });
    cr_assert(first.peers.front() == "started");
    drain(relay, 60);
    relay.restart("vm-7");
    const auto again = drain(relay, 60);
    cr_assert_eq(again.size(), 1U);
    cr_assert_eq(again.at("vm-7"), 3U);
}

// Guards against a crash if counts are discarded before they were relayed, and against windows that
// are relayed for ever.
Test(countrelay, windows_that_are_too_old_are_skipped)
{
    CountRelay relay;
    relay.restart("vm");
    relay.update(departed(10), Window - 2);
    cr_assert(relay.next([](const auto &) { return size_t(0); }).windows.empty());
    relay.update({}, Window + 1);
    cr_assert_eq(relay.windowCount(), 0U);
    relay.update({{1, Window + 1}}, Window + 1);
    cr_assert_eq(drain(relay, 60).at("vm"), 1U);
}

// Guards against requests that wait behind background messages: messages follow each other at less
// than half of the link's capacity.
Test(countrelay, background_messages_leave_half_of_the_link)
{
    constexpr double link = 2'500'000;
    policy::LinkPace pace(link);
    const core::TimePoint start{1h};
    core::TimePoint now = start;
    size_t bytes = 0;
    while (now < start + 10s) {
        pace.noteSent(46'000, now);
        bytes += 46'000;
        now += std::max(pace.backlog(now), 1ms);
    }
    cr_assert_leq(static_cast<double>(bytes), link / 2 * 10);
    cr_assert_geq(static_cast<double>(bytes), link / 3 * 10);
    cr_assert(policy::LinkPace(0).backlog(now) == 0ms);
}
