/** \file
 * Tests of the order of teams while prompts wait, with several simulated gateways that share the
 * engines. Guards against a team that gets more than its share by asking more.
 */

#include "policy/teamshares.h"
#include "policy/promptqueue.h"
#include "policy/requestcost.h"

#include <criterion/criterion.h>

#include <cmath>
#include <utility>

using namespace jujube;
using namespace std::chrono_literals;
using core::TimePoint;
using policy::TeamShares;
using policy::TeamUse;

namespace {

const TimePoint Start{1h};
constexpr double PromptMs = 50; ///< Engine time of each prompt.
constexpr uint32_t PromptTokens = 3'000;

policy::WaitingPrompt promptOf(const std::string &team, TimePoint at, uint64_t id = 0)
{
    policy::WaitingPrompt it;
    it.id = id;
    it.routeName = "chat";
    it.team = team;
    it.info.tokens = PromptTokens;
    it.arrivedAt = at;
    it.firstTokenDueAt = at + 300ms;
    it.deadlineAt = at + 2s;
    return it;
}

policy::PromptQueue queueByTeam(bool shares = true)
{
    policy::PromptQueueSettings settings;
    settings.sharesByTeam = shares;
    return policy::PromptQueue(settings);
}

std::optional<policy::PromptDispatch> takeFrom(policy::PromptQueue &queue, TimePoint now)
{
    std::mt19937_64 random{1};
    policy::PlacementCandidate engine;
    engine.id = "r1";
    engine.slots = 64;
    engine.isPrefillEngine = true;
    std::vector<policy::PlacementCandidate> engines{engine};
    return queue.takeNext(
        engines, [](const policy::WaitingPrompt &) { return std::vector<uint32_t>{0}; }, {}, now,
        random);
}

struct TeamLoad
{
    double perSecond = 0;
    int retries = 0;       ///< Times that a refused or expired prompt is sent again at once.
    size_t gateways = 100; ///< The first gateways that it asks.
    size_t sent = 0;
    size_t served = 0;
    size_t refused = 0;              ///< On arrival.
    core::Milliseconds longestGap{}; ///< Between two dispatches.
    TimePoint servedAt = Start;
};

// Gateways that send prompts to engines with a common capacity and exchange their lists each
// second, except those that are cut off.
struct Fleet
{
    // Nine teams whose usual load is 0.72 of the capacity, and one that asks ten times as much.
    explicit Fleet(bool shares = true)
    {
        for (size_t i = 0; i < connected; ++i)
            queues.push_back(queueByTeam(shares));
        for (const char *name : {"a", "b", "c", "d", "e", "f", "g", "h", "i"})
            teams[name].perSecond = 8;
        teams["greedy"].perSecond = 80;
    }

    void send(const std::string &team, size_t gateway, TimePoint now, int retries)
    {
        TeamLoad &load = teams[team];
        ++load.sent;
        policy::WaitingPrompt prompt = promptOf(team, now, ++lastId);
        // The gateways share the capacity equally.
        const double rate = capacity / PromptMs * PromptTokens / static_cast<double>(queues.size());
        if (now + queues[gateway].expectedWait(prompt, rate, now) > prompt.deadlineAt) {
            ++load.refused;
            if (retries > 0)
                send(team, (gateway + 1) % queues.size(), now, retries - 1);
            return;
        }
        senders[lastId] = {team, retries};
        queues[gateway].add(std::move(prompt));
    }

    bool serveOne(size_t gateway, TimePoint now)
    {
        const auto dispatch = takeFrom(queues[gateway], now);
        if (!dispatch)
            return false;
        TeamLoad &load = teams[dispatch->prompt.team];
        ++load.served;
        load.longestGap =
            std::max(load.longestGap, std::chrono::floor<core::Milliseconds>(now - load.servedAt));
        load.servedAt = now;
        if (TeamShares *shares = queues[gateway].teamShares())
            shares->charge(dispatch->prompt.team, PromptMs, now);
        budget -= PromptMs;
        return true;
    }

    void exchange(TimePoint now)
    {
        for (size_t i = 0; i < connected; ++i) {
            for (size_t j = 0; j < connected; ++j) {
                if (j != i)
                    queues[j].teamShares()->merge(i, queues[i].teamShares()->ownUse(now), now);
            }
        }
    }

    void step(TimePoint now)
    {
        for (auto &[team, load] : teams) {
            const double due = load.perSecond / 100; // More than one: a burst.
            for (double i = std::floor(due); i >= 0; --i) {
                if (i > 0 || draw(random) < due - std::floor(due))
                    send(team, random() % std::min(queues.size(), load.gateways), now,
                         load.retries);
            }
        }
        budget = std::min(budget + capacity / 100, 2 * PromptMs);
        for (size_t i = 0; i < queues.size(); ++i) {
            for (const uint64_t id : queues[i].takeExpired(now)) {
                const auto [team, retries] = senders[id];
                if (retries > 0)
                    send(team, i, now, retries - 1);
            }
        }
        for (size_t idle = 0; budget > 0 && idle < queues.size();)
            idle = serveOne(++lastServed % queues.size(), now) ? 0 : idle + 1;
        for (policy::PromptQueue &it : queues)
            it.endRound();
        if (queues.front().teamShares() && now >= exchangeAt) {
            exchange(now);
            exchangeAt = now + 1s;
        }
    }

    // Runs until the shares have settled, then counts over some time.
    void run(std::chrono::seconds warmUp, std::chrono::seconds counted)
    {
        const TimePoint from = clock;
        for (; clock < from + warmUp + counted; clock += 10ms) {
            if (clock == from + warmUp) {
                for (auto &[team, load] : teams) {
                    load.sent = load.served = load.refused = 0;
                    load.longestGap = {};
                }
            }
            step(clock);
        }
    }

    double capacity = 100 * PromptMs; ///< Engine time in ms for each second.
    double budget = 0;
    std::vector<policy::PromptQueue> queues;
    std::map<std::string, TeamLoad> teams;
    std::map<uint64_t, std::pair<std::string, int>> senders;
    size_t connected = 4; ///< Gateways that exchange lists, the first ones.
    std::mt19937_64 random{3};
    std::uniform_real_distribution<double> draw{0, 1};
    size_t lastServed = 0;
    uint64_t lastId = 0;
    TimePoint clock = Start;
    TimePoint exchangeAt = Start;
};

double servedShare(const TeamLoad &load)
{
    return static_cast<double>(load.served) / static_cast<double>(load.sent);
}

void assertOthersUnharmed(const Fleet &fleet, double minServed)
{
    for (const auto &[name, load] : fleet.teams)
        cr_assert(name == "greedy" || (servedShare(load) >= minServed && load.refused == 0),
                  "%s: %zu of %zu, %zu refused", name.c_str(), load.served, load.sent,
                  load.refused);
}

} // namespace

// A team with ten times its usual load delays only itself, gets what is left of the capacity and is
// refused first, wherever it asks and however often it repeats.
Test(teamshares, a_greedy_team_delays_only_itself)
{
    for (const auto &[gateways, retries] : {std::pair(4U, 0), std::pair(1U, 0), std::pair(4U, 3)}) {
        Fleet fleet;
        TeamLoad &greedy = fleet.teams["greedy"];
        greedy.gateways = gateways;
        greedy.retries = retries;
        fleet.run(10s, 20s);
        assertOthersUnharmed(fleet, 0.95);
        cr_assert_geq(greedy.served, 150U, "%zu", greedy.served);
        cr_assert_gt(greedy.refused, 0U);
    }
}

// Without shares the same load harms the others.
Test(teamshares, without_shares_a_greedy_team_harms_the_others)
{
    Fleet fleet(false);
    fleet.run(10s, 20s);
    cr_assert_leq(servedShare(fleet.teams["a"]), 0.7);
}

// Less capacity than the others ask for alone: the greedy team gets about an equal share and waits
// at most as long as a prompt may.
Test(teamshares, no_team_is_starved)
{
    Fleet fleet;
    fleet.capacity /= 2;
    fleet.run(10s, 20s);
    const auto equalShare = static_cast<double>(50 * 20) / 10;
    for (const auto &[name, load] : fleet.teams) {
        cr_assert_geq(static_cast<double>(load.served), 0.5 * equalShare, "%s: %zu", name.c_str(),
                      load.served);
        cr_assert_leq(load.longestGap, 2'000ms, "%s: %lld ms", name.c_str(),
                      static_cast<long long>(load.longestGap.count()));
    }
    cr_assert_leq(static_cast<double>(fleet.teams["greedy"].served), 1.5 * equalShare);
}

// Teams that do not ask leave their shares to the others, which use the whole capacity.
Test(teamshares, unused_shares_go_to_the_others)
{
    Fleet fleet;
    fleet.run(10s, 1s);
    for (auto &[name, load] : fleet.teams)
        load.perSecond = name == "greedy" || name == "a" ? 100 : 0;
    fleet.run(20s, 20s);
    const size_t first = fleet.teams["a"].served;
    const size_t second = fleet.teams["greedy"].served;
    cr_assert_geq(first + second, 1'980U, "%zu + %zu", first, second);
    cr_assert_geq(std::min(first, second), 900U, "%zu, %zu", first, second);
}

// A gateway without contact decides by its own use, which is less exact. The others go on without
// it.
Test(teamshares, gateways_without_contact_use_what_they_see)
{
    for (const size_t connected : {3U, 0U}) {
        Fleet fleet;
        fleet.run(5s, 5s);
        fleet.connected = connected;
        fleet.run(5s, 15s);
        assertOthersUnharmed(fleet, 0.9);
    }
}

// A list replaces the last one of its peer, decays, and is dropped after three seconds. Malformed
// figures do not count.
Test(teamshares, lists_of_peers_are_replaced_decay_and_expire)
{
    const uint64_t a = TeamShares::hashOf("a");
    TeamShares shares;
    shares.charge("b", 100, Start);
    shares.merge(1, std::vector<TeamUse>{{a, 300}}, Start);
    cr_assert_float_eq(shares.overuse(a, Start), 1.5, 1e-9);
    shares.merge(2, std::vector<TeamUse>{{a, -5}, {a, NAN}, {a, 2e7}, {a, 1e308}}, Start);
    shares.charge("b", HUGE_VAL, Start);
    cr_assert_float_eq(shares.overuse(a, Start), 1.5, 1e-9, "malformed figures are ignored");
    shares.merge(1, std::vector<TeamUse>{{a, 100}}, Start + 10ms);
    cr_assert_float_eq(shares.overuse(a, Start + 10ms), 1, 0.01);
    shares.merge(1, std::vector<TeamUse>{{a, 300}}, Start + 20ms);
    cr_assert_float_eq(shares.overuse(a, Start + 3s), 1.5, 0.01, "both uses decay alike");
    cr_assert_eq(shares.overuse(a, Start + 3'200ms), 1);
    cr_assert_eq(shares.teamCount(), 1U);
    cr_assert_float_eq(shares.ownUse(Start + 5s).front().engineMs, 100 / M_E, 1e-6);
    shares.overuse(a, Start + 60s);
    cr_assert_eq(shares.teamCount(), 0U, "a use of less than a millisecond is forgotten");
    for (const auto at : {Start + 300h, Start + 299h}) { // The figures stay finite.
        shares.charge("a", 300, at);
        shares.charge("b", 100, at);
        cr_assert_float_eq(shares.overuse(a, at), 1.5, 1e-6);
    }
}

// Teams and peers without number must not take memory without bound.
Test(teamshares, memory_is_bounded)
{
    TeamShares shares;
    for (uint64_t i = 0; i < 2'000; ++i)
        shares.charge(std::to_string(i), static_cast<double>(100 + i), Start);
    cr_assert_eq(shares.teamCount(), TeamShares::MaxOwnTeams);
    cr_assert_eq(shares.ownUse(Start).size(), TeamShares::MaxListedTeams);
    cr_assert_float_eq(shares.ownUse(Start).front().engineMs, 2'099, 1e-6);
    for (uint64_t peer = 0; peer < 300; ++peer) {
        std::vector<TeamUse> list;
        for (uint64_t i = 0; i < 1'000; ++i)
            list.push_back({1 + peer * 1'000 + i, 10});
        shares.merge(peer, list, Start);
    }
    cr_assert_eq(shares.teamCount(),
                 TeamShares::MaxOwnTeams + TeamShares::MaxListedTeams * TeamShares::MaxPeers);
    cr_assert_eq(shares.largest(20, Start).size(), 20U);
}

// While no prompts wait, the order and the priorities are those without shares. The expected wait,
// by which a request is refused on arrival, is longer for a team beyond its share.
Test(teamshares, only_waiting_prompts_are_ordered_by_team)
{
    policy::PromptQueue queue = queueByTeam();
    queue.teamShares()->charge("greedy", 1'000, Start);
    queue.add(promptOf("greedy", Start, 1));
    queue.add(promptOf("other", Start, 2));
    const auto first = takeFrom(queue, Start);
    cr_assert_eq(first->prompt.id, 1U);
    cr_assert_eq(first->overuse, 1);
    queue.add(promptOf("greedy", Start, 3));
    queue.endRound();
    const auto waitOf = [&queue](const std::string &team) {
        return queue.expectedWait(promptOf(team, Start), PromptTokens, Start);
    };
    cr_assert_eq(waitOf("greedy"), 2s);
    cr_assert_eq(waitOf("other"), 1s);
    queue.add(promptOf("other", Start, 4));
    cr_assert_eq(takeFrom(queue, Start)->prompt.id, 2U);
    cr_assert_eq(takeFrom(queue, Start)->prompt.id, 4U);
    const auto delayed = takeFrom(queue, Start);
    cr_assert_eq(delayed->overuse, 1, "the other team has neither use nor waiting prompts");
    queue.endRound();
    cr_assert_eq(queue.overuse("greedy", Start), 1);
}

// The unit of use: a prefill costs its uncached tokens, a decode its part of a full batch.
Test(teamshares, engine_time_counts_uncached_tokens_and_the_part_of_a_full_batch)
{
    const auto cost = policy::RequestCost::of(6'600, 600, 128);
    cr_assert_float_eq(cost.engineTime(60, 9, 64), 100 + 18, 1e-9);
    cr_assert_float_eq(cost.engineTime(0, 9, 0), 0, 1e-9);
}
