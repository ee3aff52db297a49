/** \file
 * Tests of the scheduler's shares of engine time: order of teams, charge, gossip, log and gauges.
 */

#include "core/metrics.h"
#include "serving/promptscheduler.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using policy::TeamShares;

namespace {

// A prefill engine that is busy until release().
struct Bench
{
    Bench()
    {
        serving::EndpointRecord record;
        record.id = record.address = "r1";
        record.service = "model";
        record.stage = serving::Stage::Prefill;
        record.state = serving::EndpointState::Ready;
        record.slots = 64;
        endpoints.update(record, 100'000);
        endpoints.find("r1")->ownLoad.backlogTokens = 60'000;
        placement.predictsByPace = false;
    }

    void add(const std::string &team)
    {
        policy::WaitingPrompt prompt;
        prompt.routeName = "chat";
        prompt.team = team;
        prompt.expectedOutputTokens = 64;
        prompt.info.tokens = 600;
        prompt.firstTokenDueAt = core::BootClock::now() + 10s;
        prompt.deadlineAt = core::BootClock::now() + 20s;
        scheduler.add("model", prompt, {},
                      {[this, team](const serving::PrefillPlan &plan) {
                           order.push_back(team);
                           delays.push_back(plan.teamDelay);
                       },
                       []() {}, []() {}});
    }

    void run(core::Milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    void release()
    {
        endpoints.find("r1")->ownLoad.backlogTokens = 0;
        scheduler.scheduleDispatch();
        run(40ms);
    }

    boost::asio::io_context io;
    serving::EndpointTable endpoints;
    policy::PlacementSettings placement;
    std::mt19937_64 random{1};
    serving::PromptScheduler scheduler{io, endpoints, placement, random, []() { return 1U; }};
    std::vector<std::string> order;
    std::vector<std::optional<serving::TeamDelay>> delays;
};

} // namespace

// A team that peers have served far beyond its share goes last here. Its delays are logged, at most
// ten a second, and what it gets is charged, stated to peers and shown to operators.
Test(promptshares, a_team_beyond_its_share_at_peers_goes_last)
{
    Bench bench;
    bench.scheduler.shareByTeam([](const std::string &, uint32_t slots) { return slots / 16.0; });
    for (int i = 0; i < 15; ++i)
        bench.add("greedy");
    bench.add("other");
    const uint64_t service = TeamShares::hashOf("model");
    const std::vector<serving::GossipTeamUse> uses{
        {service, {TeamShares::hashOf("greedy"), 9'000}},
        {service, {TeamShares::hashOf("third"), 50}},
        {TeamShares::hashOf("another service"), {TeamShares::hashOf("other"), 90'000}}};
    bench.scheduler.mergeTeamUse(1, uses);
    bench.run(260ms);
    cr_assert(bench.order.empty());
    cr_assert(bench.scheduler.overuses("model", "greedy"));
    cr_assert_not(bench.scheduler.overuses("model", "other"));
    bench.release();
    cr_assert_eq(bench.order.size(), 16U);
    cr_assert(bench.order.front() == "other");
    cr_assert_not(bench.delays.front());
    const auto logged = std::count_if(bench.delays.begin(), bench.delays.end(),
                                      [](const auto &it) { return it.has_value(); });
    cr_assert_eq(logged, 10);
    cr_assert_geq(bench.delays[1]->waited, 250ms);
    cr_assert_float_eq(bench.delays[1]->overuse, 3, 0.05, "of three teams");
    // 10 ms of prefill at 60 tokens a millisecond, and 64 steps of 4 ms by 64.
    const auto stated = bench.scheduler.teamUse();
    cr_assert_eq(stated.size(), 2U);
    cr_assert_eq(stated[0].service, service);
    cr_assert_eq(stated[0].use.team, TeamShares::hashOf("greedy"));
    cr_assert_float_eq(stated[0].use.engineMs, 15 * 14.0, 5);
    bench.scheduler.updateTeamGauges();
    const std::string metrics = core::renderMetrics();
    cr_assert(metrics.find("jujube_team_overuse{team=\"greedy\"} 2.9") != std::string::npos, "%s",
              metrics.c_str());
    cr_assert(metrics.find("jujube_team_overuse{team=\"other\"} 1\n") != std::string::npos);
}

// Without shares of teams, lists of peers and the teams of prompts change nothing.
Test(promptshares, without_contention_prompts_go_by_arrival)
{
    Bench bench;
    bench.add("greedy");
    bench.add("other");
    const std::vector<serving::GossipTeamUse> uses{
        {TeamShares::hashOf("model"), {TeamShares::hashOf("greedy"), 9'000}}};
    bench.scheduler.mergeTeamUse(1, uses);
    bench.run(260ms);
    bench.release();
    cr_assert(bench.order == std::vector<std::string>({"greedy", "other"}));
    cr_assert(!bench.delays[0] && bench.scheduler.teamUse().empty());
}
