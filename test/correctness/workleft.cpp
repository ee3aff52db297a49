/** \file
 * Tests of the figures of work left between gateways, and of requests that no engine can hold.
 */

#include "core/metrics.h"
#include "serving/loadexchange.h"
#include "support/deployment.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

namespace {

const core::TimePoint Start{1h};
constexpr uint64_t CacheTokens = 520'000;

serving::EndpointRecord record(const std::string &id)
{
    serving::EndpointRecord it;
    it.id = id;
    it.service = "model";
    it.address = id + ":80";
    it.domain = "a";
    it.slots = 64;
    it.stage = serving::Stage::Decode;
    it.version.revision = 1;
    return it;
}

serving::GossipMessage load(const std::string &name, serving::OutstandingLoad load)
{
    serving::GossipMessage gossip;
    gossip.kind = serving::GossipKind::Load;
    gossip.name = name;
    gossip.sequence = 1;
    gossip.shares.push_back({17, load});
    return *serving::decodeGossip(serving::encodeGossip(gossip));
}

} // namespace

// Guards against work that stays counted after its gateway is gone, and against figures that wrap
// around if one gateway states absurd ones.
Test(workleft, the_hub_sums_figures_and_drops_those_of_gateways_that_are_gone)
{
    serving::LoadAggregator hub;
    hub.apply(load("a", {2, 0, 500}), Start);
    hub.apply(load("b", {1, 0, 100}), Start + 1s);
    const auto sum = hub.loadExcept("c").front().load;
    cr_assert(sum.running == 3 && sum.remainingTokens == 600);
    cr_assert_eq(hub.loadExcept("b").front().load.remainingTokens, 500U);
    hub.prune(Start + 2s);
    cr_assert_eq(hub.loadExcept("c").front().load.remainingTokens, 100U);
    hub.apply(load("d", {1, 0, UINT32_MAX}), Start + 2s);
    hub.apply(load("e", {1, 0, UINT32_MAX}), Start + 2s);
    cr_assert_eq(hub.loadExcept("c").front().load.remainingTokens, UINT32_MAX);
    serving::OutstandingLoad total{1, 0, UINT32_MAX};
    total += {1, 0, 9};
    cr_assert(total.running == 2 && total.remainingTokens == UINT32_MAX);
}

// Guards against old reports that make an engine seem full, and against figures of an engine that
// has left the table.
Test(workleft, reports_fade_with_their_age)
{
    serving::EndpointTable endpoints;
    endpoints.update(record("e"), CacheTokens);
    const auto endpoint = endpoints.find("e");
    endpoint->ownLoad = {4, 0, 400};
    endpoint->peerLoad = {6, 0, 600};
    endpoint->noteReport({50, 0, 70, {}}, Start, true);
    const auto viewAt = [&](core::Milliseconds age) {
        return serving::placementViewOf(*endpoint, {}, Start + age);
    };
    cr_assert_float_eq(viewAt(0ms).reported, 50, 1e-9);
    cr_assert_float_eq(viewAt(200ms).reported, 30, 1e-9);
    cr_assert_eq(viewAt(400ms).reported, 0);
    cr_assert(viewAt(0ms).running == 10 && viewAt(0ms).remainingTokens == 1'000);
    endpoint->noteReport({3, 2, 70, {}}, Start + 1s, true);
    cr_assert_eq(viewAt(1'100ms).reported, 0);
    cr_assert(viewAt(1'100ms).reportsWaiting);
    cr_assert_not(viewAt(1'400ms).reportsWaiting);
    endpoints.remove("e");
    endpoints.setPeerLoads({{endpoint->hash, {9, 0, 900}}});
    cr_assert_not(serving::placementViewOf(*endpoint, {}, Start).usable);
    cr_assert_eq(endpoint->peerLoad.running, 6U);
}

// Guards against a wait for engines that can never hold a request, against the refusal of requests
// that exceed an engine's memory only together, and against an expected time that is not recorded.
Test(workleft, only_requests_that_no_engine_can_hold_are_refused)
{
    Deployment it;
    auto &engine = it.addEndpoint("model", serving::Stage::Decode);
    engine.setHealthPath("/health");
    engine.setResponseFields({{"Server-Load", "0,0,64,70"}});
    engine.setEventCount(25);
    engine.setEventGap(20ms);
    it.publishConfigWithHealthPath(1, "/health");
    it.startGateway();
    it.runFor(3s);
    const auto tokens = [](const std::string &count) {
        return std::vector<http::Field>{{"Token-Count", count},
                                        {"Prompt-Prefix", "a1:" + count.substr(0, 6)}};
    };
    const auto refused = it.sendRequest("POST", "/stream/prompt/1", "big", tokens("480000,50"));
    cr_assert_eq(refused.status(), 503U);
    cr_assert_not(refused.field("Retry-After").empty());
    cr_assert(engine.receivedRequests().empty());
    std::vector<std::shared_ptr<test::ClientResponse>> answers;
    std::vector<std::shared_ptr<http::ClientConnection>> clients;
    for (const char *id : {"one", "two"}) {
        answers.push_back(std::make_shared<test::ClientResponse>());
        clients.push_back(
            it.startRequest("/stream/prompt/1", id, answers.back(), tokens("300000,50")));
    }
    cr_assert(it.runUntil([&]() { return engine.runningCount() == 2; }));
    cr_assert(it.runUntil([&]() { return answers[0]->complete && answers[1]->complete; }));
    cr_assert(answers[0]->status() == 200 && answers[1]->status() == 200);
    cr_assert_neq(core::renderMetrics().find("jujube_run_time_ratio_count 2"), std::string::npos);
}
