/** \file
 * Tests of the load exchange in large deployments and of prompts that wait for an engine.
 */

#include "serving/loadexchange.h"
#include "serving/promptscheduler.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <set>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};

serving::GossipMessage load(const std::string &name, uint64_t sequence, uint32_t running)
{
    serving::GossipMessage gossip;
    gossip.kind = serving::GossipKind::Load;
    gossip.name = name;
    gossip.run = 1;
    gossip.sequence = sequence;
    gossip.rates = {100, 10};
    if (running > 0)
        gossip.shares.push_back({17, {running, running * 10}, false, false});
    return gossip;
}

serving::EndpointRecord engine(const std::string &id)
{
    serving::EndpointRecord record;
    record.id = id;
    record.service = "model";
    record.address = id + ":80";
    record.slots = 64;
    record.stage = serving::Stage::Prefill;
    record.version.revision = 1;
    return record;
}

} // namespace

Test(loadexchange, a_gateway_receives_the_load_of_all_others)
{
    serving::LoadAggregator loads;
    loads.apply(load("a", 1, 3), Start);
    loads.apply(load("b", 1, 4), Start);
    loads.apply(load("b", 2, 6), Start);
    loads.apply(load("b", 1, 9), Start); // Out of order.
    cr_assert_eq(loads.loadExcept("a").front().load.running, 6U);
    cr_assert_eq(loads.loadExcept("b").front().load.running, 3U);
    cr_assert_eq(loads.loadExcept("c").front().load.running, 9U);
    cr_assert_float_eq(loads.ratesExcept("c").promptPerSecond, 200, 0.1);
    cr_assert_float_eq(loads.ratesExcept("c").outputPerSecond, 20, 0.1);
}

// Guards against counting the load of a gateway that was killed without notice.
Test(loadexchange, the_load_of_a_silent_gateway_expires)
{
    serving::LoadAggregator loads;
    loads.apply(load("a", 1, 3), Start);
    loads.apply(load("b", 1, 4), Start + 2s);
    loads.prune(Start + 2s);
    cr_assert_eq(loads.loadExcept("c").front().load.running, 4U);
    loads.apply(load("b", 2, 0), Start + 2s);
    cr_assert(loads.loadExcept("c").empty());
}

Test(loadexchange, the_best_equipped_live_gateway_is_the_hub)
{
    serving::HubSelector choice;
    std::vector<serving::HubCandidate> all{
        {"small", 0.09, true}, {"big-b", 0.5, true}, {"big-a", 0.5, true}, {"dead", 1, false}};
    cr_assert(choice.choose(all, Start) == "big-a");
}

// A hub that does not respond is skipped after 400 ms and becomes eligible again after some
// seconds.
Test(loadexchange, a_silent_hub_is_skipped_for_some_seconds)
{
    serving::HubSelector choice;
    const std::vector<serving::HubCandidate> all{{"a", 0.5, true}, {"b", 0.3, true}};
    cr_assert(choice.choose(all, Start) == "a");
    cr_assert(choice.choose(all, Start + 300ms) == "a");
    cr_assert(choice.choose(all, Start + 500ms) == "b");
    choice.noteResponse("b", Start + 1s);
    cr_assert(choice.choose(all, Start + 1'200ms) == "b");
    choice.noteResponse("b", Start + 4s);
    cr_assert(choice.choose(all, Start + 4s) == "a");
}

// Guards against a crash of the gateway if an engine that held a prefix block when the prompt was
// queued has evicted it when the prompt is dispatched.
Test(promptscheduler, an_engine_that_evicted_its_blocks_is_not_fetched_from)
{
    boost::asio::io_context io;
    serving::EndpointTable endpoints;
    endpoints.update(engine("holder"), 100'000);
    endpoints.update(engine("free"), 100'000);
    const auto holder = endpoints.find("holder");
    const auto other = endpoints.find("free");
    std::vector<policy::PrefixLink> chain;
    policy::appendPrefixLink(chain, 1, 5'000);
    policy::appendPrefixLink(chain, 2, 1'000);
    holder->prefixCache.record(chain);
    holder->ownLoad.backlogTokens = other->ownLoad.backlogTokens = 60'000;
    // A free engine that is too slow to be selected, so that the scheduler examines the others.
    endpoints.update(engine("slow"), 100'000);
    endpoints.find("slow")->slowness = 100;
    endpoints.find("slow")->ownLoad.backlogTokens = 5'000;
    policy::PlacementSettings placement;
    placement.predictsByPace = false; // No engine states a pace.
    std::mt19937_64 random(1);
    serving::PromptScheduler scheduler(io, endpoints, placement, random, []() { return 1U; });
    policy::WaitingPrompt prompt;
    prompt.routeName = "long";
    prompt.info.tokens = 6'000;
    prompt.firstTokenDueAt = core::BootClock::now() + 10s;
    prompt.deadlineAt = core::BootClock::now() + 20s;
    std::optional<serving::PrefillPlan> plan;
    scheduler.add("model", prompt, chain,
                  {[&](const serving::PrefillPlan &it) { plan = it; }, []() {}, []() {}});
    io.run_for(10ms);
    cr_assert_not(plan);
    holder->prefixCache.clear();
    other->ownLoad.backlogTokens = 0;
    scheduler.scheduleDispatch();
    io.restart();
    io.run_for(40ms);
    cr_assert(plan);
    cr_assert(plan->engine == other);
    cr_assert(plan->fetchAddress.empty());
}

// Guards against datagrams lost in bursts: 30 gateways on links of 10 Mbit/s send to a few peers at
// a time, and to each peer once per round.
Test(newsround, messages_to_many_peers_are_spread_over_the_round)
{
    constexpr size_t peers = 29;
    std::vector<std::string> names(peers);
    for (size_t i = 0; i < peers; ++i)
        names[i] = "gateway-" + std::to_string(100 + i);
    serving::BroadcastRound round;
    std::multiset<std::string> reached;
    int started = 0;
    for (int i = 0; i < serving::BroadcastRound::GroupsPerRound; ++i) {
        const auto group = round.next(names);
        started += group.startsRound ? 1 : 0;
        cr_assert_leq(group.peers.size(), 3U);
        reached.insert(group.peers.begin(), group.peers.end());
    }
    cr_assert_eq(started, 1);
    for (const std::string &it : names)
        cr_assert_eq(reached.count(it), 1U);
    cr_assert(round.next(names).startsRound);
}

Test(newsround, peers_that_come_and_go_are_included)
{
    serving::BroadcastRound round;
    cr_assert(round.next({}).peers.empty());
    cr_assert(round.next({"b"}).peers == std::vector<std::string>{"b"});
    cr_assert(round.next({"a", "b"}).startsRound);
    cr_assert(round.next({"a", "b"}).peers == std::vector<std::string>{"b"});
    cr_assert(round.next({"c"}).peers == std::vector<std::string>{"c"});
}

// Guards against messages that grow by the counts of all gateways that fall silent under load, and
// against relays with a small link: two of the best equipped gateways relay, and not the hub.
Test(newsround, two_of_the_best_equipped_gateways_relay_the_counts_of_departed_ones)
{
    std::vector<serving::HubCandidate> candidates;
    for (const char *name : {"a", "b", "c", "d", "e", "f"})
        candidates.push_back({name, 0.5, true});
    for (const char *name : {"a-small", "g-small"})
        candidates.push_back({name, 0.09, true});
    std::set<std::string> relays;
    for (const auto &it : candidates) {
        if (serving::relaysForDeparted(it.name, "a", candidates))
            relays.insert(it.name);
    }
    cr_assert_eq(relays.size(), 2U);
    cr_assert_not(relays.contains("a") || relays.contains("a-small") || relays.contains("g-small"));
    // The next in order takes over from a relay that is gone.
    for (auto &it : candidates)
        it.alive = it.name != *relays.begin();
    int remaining = 0;
    for (const auto &it : candidates)
        remaining += it.alive && serving::relaysForDeparted(it.name, "a", candidates) ? 1 : 0;
    cr_assert_eq(remaining, 2);
    cr_assert(serving::relaysForDeparted("x", "", {{"x", 0, true}}));
}

// Without any engine, waiting prompts are released at once, to be run or refused without a prefill
// engine.
Test(promptscheduler, without_engines_nothing_waits)
{
    boost::asio::io_context io;
    serving::EndpointTable endpoints;
    const policy::PlacementSettings placement;
    std::mt19937_64 random(1);
    serving::PromptScheduler scheduler(io, endpoints, placement, random, []() { return 1U; });
    policy::WaitingPrompt prompt;
    prompt.deadlineAt = core::BootClock::now() + 20s;
    bool released = false;
    scheduler.add("model", prompt, {},
                  {[](const serving::PrefillPlan &) {}, [&]() { released = true; }, []() {}});
    io.run_for(10ms);
    cr_assert(released);
}
