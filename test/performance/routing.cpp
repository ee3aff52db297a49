/** \file
 * Benchmark of a routing decision with 12 and with 10,000 registered agents, in one run.
 *
 * Prints both times and their ratio; the target is a ratio of at most 1.5.
 */

#include "core/text.h"
#include "entry/fleetview.h"
#include "support/loop.h"

#include <algorithm>
#include <cstdio>
#include <vector>

using namespace jujube;

namespace {

constexpr int Rounds = 9;
constexpr int DecisionsPerRound = 20'000;
constexpr size_t MaxCandidates = 16; // Default of the setting max_candidates of an entry.

std::vector<state::AgentRecord> agentRecords(size_t count)
{
    std::vector<state::AgentRecord> result;
    for (size_t i = 0; i < count; ++i) {
        state::AgentRecord record;
        record.vm = core::concat("vm-", i);
        record.address = "127.0.0.1:9";
        record.domain = core::concat("domain-", i % 3);
        record.model = "m";
        record.incarnation = i + 1;
        result.push_back(record);
    }
    return result;
}

// Time of one decision in microseconds, with the steps of the request path: find the candidates,
// build their views, choose one.
double decisionUs(entry::FleetView &fleet)
{
    const policy::Router router({});
    policy::PrefixIndex prefixes(10'000);
    std::mt19937_64 random(1);
    policy::RouteRequest request;
    request.promptTokens = 4'000;
    request.outputTokens = 100;
    request.firstTokenObjective = std::chrono::seconds(1);
    request.prefixBlocks = policy::prefixBlocks(std::string(16'000, 'p'));
    size_t chosen = 0;
    const core::TimePoint startedAt = core::BootClock::now();
    for (int i = 0; i < DecisionsPerRound; ++i) {
        std::vector<policy::EndpointView> views;
        for (const auto &link : fleet.candidates(core::WorkKind::Language, "m")) {
            views.push_back(link->view(startedAt));
            views.back().usable = true;
        }
        chosen += router.choose(views, request, prefixes, random)->index;
    }
    const std::chrono::duration<double, std::micro> elapsed = core::BootClock::now() - startedAt;
    return chosen == 0 ? 0 : elapsed.count() / DecisionsPerRound;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

} // namespace

int main()
{
    test::Loop loop;
    const auto ping = [] { return wire::PingMessage(); };
    const auto onEvidence = [](const core::FreshnessToken &) {};
    entry::FleetView few(loop.io(), {"entry1", "s"}, MaxCandidates, ping, onEvidence);
    entry::FleetView many(loop.io(), {"entry1", "s"}, MaxCandidates, ping, onEvidence);
    few.setAgents(agentRecords(12));
    many.setAgents(agentRecords(10'000));
    std::vector<double> fewCostsUs;
    std::vector<double> manyCostsUs;
    std::vector<double> ratios;
    for (int i = 0; i < Rounds; ++i) {
        fewCostsUs.push_back(decisionUs(few));
        manyCostsUs.push_back(decisionUs(many));
        ratios.push_back(manyCostsUs.back() / fewCostsUs.back());
    }
    std::printf("12 agents: %.2f us, 10000 agents: %.2f us, ratio %.2f (medians of %d)\n",
                median(fewCostsUs), median(manyCostsUs), median(ratios), Rounds);
    return 0;
}
