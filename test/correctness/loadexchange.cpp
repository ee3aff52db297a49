/** \file
 * Tests of the exchange of load in large deployments and of prompts that wait for an engine.
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

serving::News load(const std::string &name, uint64_t sequence, uint32_t running)
{
    serving::News news;
    news.kind = serving::NewsKind::Load;
    news.name = name;
    news.run = 1;
    news.sequence = sequence;
    news.rates = {100, 10};
    if (running > 0)
        news.shares.push_back({17, {running, running * 10}, false, false});
    return news;
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

Test(loadexchange, a_gateway_is_told_the_load_of_all_others)
{
    serving::LoadBooks books;
    books.note(load("a", 1, 3), Start);
    books.note(load("b", 1, 4), Start);
    books.note(load("b", 2, 6), Start);
    books.note(load("b", 1, 9), Start); // Overtaken by the one before.
    cr_assert_eq(books.othersOf("a").front().load.running, 6U);
    cr_assert_eq(books.othersOf("b").front().load.running, 3U);
    cr_assert_eq(books.othersOf("c").front().load.running, 9U);
    cr_assert_float_eq(books.ratesOfOthers("c").prompt, 200, 0.1);
    cr_assert_float_eq(books.ratesOfOthers("c").output, 20, 0.1);
}

// A gateway is killed: its load goes from the books, though it never said so.
Test(loadexchange, a_silent_gateway_leaves_the_books)
{
    serving::LoadBooks books;
    books.note(load("a", 1, 3), Start);
    books.note(load("b", 1, 4), Start + 2s);
    books.prune(Start + 2s);
    cr_assert_eq(books.othersOf("c").front().load.running, 4U);
    books.note(load("b", 2, 0), Start + 2s);
    cr_assert(books.othersOf("c").empty());
}

Test(loadexchange, the_best_equipped_live_gateway_is_the_hub)
{
    serving::HubChoice choice;
    std::vector<serving::HubCandidate> all{
        {"small", 0.09, true}, {"big-b", 0.5, true}, {"big-a", 0.5, true}, {"dead", 1, false}};
    cr_assert(choice.choose(all, Start) == "big-a");
}

// The hub freezes: the others pass it over after a moment and come back to it later.
Test(loadexchange, a_silent_hub_is_passed_over_for_a_while)
{
    serving::HubChoice choice;
    const std::vector<serving::HubCandidate> all{{"a", 0.5, true}, {"b", 0.3, true}};
    cr_assert(choice.choose(all, Start) == "a");
    cr_assert(choice.choose(all, Start + 300ms) == "a");
    cr_assert(choice.choose(all, Start + 500ms) == "b");
    choice.noteAnswer("b", Start + 1s);
    cr_assert(choice.choose(all, Start + 1'200ms) == "b");
    choice.noteAnswer("b", Start + 4s);
    cr_assert(choice.choose(all, Start + 4s) == "a");
}

// An engine was expected to hold a shared part when the prompt was queued and has forgotten it when
// the prompt is given away: that ended a gateway.
Test(promptscheduler, a_holder_that_forgot_its_parts_is_not_fetched_from)
{
    boost::asio::io_context io;
    serving::EndpointTable endpoints;
    endpoints.update(engine("holder"), 100'000);
    endpoints.update(engine("free"), 100'000);
    const auto holder = endpoints.find("holder");
    const auto other = endpoints.find("free");
    std::vector<policy::PrefixBlock> chain;
    policy::appendPrefixBlock(chain, 1, 5'000);
    policy::appendPrefixBlock(chain, 2, 1'000);
    holder->parts.record(chain);
    holder->own.backlogTokens = other->own.backlogTokens = 60'000;
    // An engine with room that is too slow to be chosen: the others are looked at meanwhile.
    endpoints.update(engine("slow"), 100'000);
    endpoints.find("slow")->slowness = 100;
    endpoints.find("slow")->own.backlogTokens = 5'000;
    const policy::PlacementSettings placement;
    std::mt19937_64 random(1);
    serving::PromptScheduler scheduler(io, endpoints, placement, random, []() { return 1U; });
    policy::WaitingPrompt prompt;
    prompt.routeName = "long";
    prompt.info.tokens = 6'000;
    prompt.firstTokenDueAt = core::BootClock::now() + 10s;
    prompt.deadlineAt = core::BootClock::now() + 20s;
    std::optional<serving::ReadPlan> plan;
    scheduler.add("model", prompt, chain,
                  {[&](const serving::ReadPlan &it) { plan = it; }, []() {}, []() {}});
    io.run_for(10ms);
    cr_assert_not(plan);
    holder->parts.clear();
    other->own.backlogTokens = 0;
    scheduler.wake();
    io.restart();
    io.run_for(40ms);
    cr_assert(plan);
    cr_assert(plan->engine == other);
    cr_assert(plan->fetchFrom.empty());
}

// Thirty gateways on links of 10 Mbit/s: no burst of datagrams, and everybody is told in a round.
Test(newsround, news_for_many_peers_are_spread_over_the_round)
{
    constexpr size_t peers = 29;
    std::vector<std::string> names(peers);
    for (size_t i = 0; i < peers; ++i)
        names[i] = "gateway-" + std::to_string(100 + i);
    serving::NewsRound round;
    std::multiset<std::string> told;
    int begun = 0;
    for (int i = 0; i < serving::NewsRound::Slices; ++i) {
        const auto slice = round.next(names);
        begun += slice.begins ? 1 : 0;
        cr_assert_leq(slice.peers.size(), 3U);
        told.insert(slice.peers.begin(), slice.peers.end());
    }
    cr_assert_eq(begun, 1);
    for (const std::string &it : names)
        cr_assert_eq(told.count(it), 1U);
    cr_assert(round.next(names).begins);
}

Test(newsround, peers_that_come_and_go_are_told_all_the_same)
{
    serving::NewsRound round;
    cr_assert(round.next({}).peers.empty());
    cr_assert(round.next({"b"}).peers == std::vector<std::string>{"b"});
    cr_assert(round.next({"a", "b"}).begins);
    cr_assert(round.next({"a", "b"}).peers == std::vector<std::string>{"b"});
    cr_assert(round.next({"c"}).peers == std::vector<std::string>{"c"});
}

// Some gateways fall silent under load: the news of the others must not grow by all their counts.
Test(newsround, few_tell_what_gone_gateways_had_counted)
{
    const std::vector<std::string> names{"a", "b", "c", "d", "e", "f"};
    int tell = 0;
    for (const std::string &name : names) {
        std::vector<std::string> peers = names;
        std::erase(peers, name);
        tell += serving::succeedsGone(name, peers) ? 1 : 0;
    }
    cr_assert_eq(tell, 2);
    cr_assert(serving::succeedsGone("x", {}));
}

// All engines are gone: what waits is not held back, it is run or refused without a reader.
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
                  {[](const serving::ReadPlan &) {}, [&]() { released = true; }, []() {}});
    io.run_for(10ms);
    cr_assert(released);
}
