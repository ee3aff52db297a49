/** \file
 * Tests of load probes between gateways and fake engines.
 */

#include "core/metrics.h"
#include "platform/requestcodec.h"
#include "support/deployment.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;
using test::FakeEndpoint;

namespace {

constexpr const char *HealthPath = "/health";
constexpr auto DiscoveryTime = 2'200ms; // Of a gateway that starts.

FakeEndpoint &addEngine(Deployment &deployment, const std::string &load,
                        serving::Stage stage = serving::Stage::Prefill)
{
    FakeEndpoint &engine = deployment.addEndpoint("model", stage);
    engine.setHealthPath(HealthPath);
    if (!load.empty())
        engine.setResponseFields({{"Server-Load", load}});
    return engine;
}

bool hasMetric(const std::string &line)
{
    return core::renderMetrics().find(line) != std::string::npos;
}

} // namespace

// Guards against every gateway probing for itself, and against a pace that the others do not hear
// of: the first prompt of each goes to the fast engine.
Test(loadprober, one_of_three_gateways_learns_the_usual_pace_for_all)
{
    Deployment it;
    FakeEndpoint &slow = addEngine(it, "0,0,64,170");
    FakeEndpoint &fast = addEngine(it, "0,0,64,70");
    const FakeEndpoint &decodeEngine = addEngine(it, "0,0,64,100", serving::Stage::Decode);
    it.publishConfigWithHealthPath(1, HealthPath);
    for (int i = 0; i < 3; ++i)
        it.startGateway();
    it.runFor(DiscoveryTime + 2s);
    cr_assert_eq(slow.healthChecks(), 4U);
    cr_assert_eq(fast.healthChecks(), 4U);
    cr_assert_eq(decodeEngine.healthChecks(), 4U);
    cr_assert(hasMetric(R"(jujube_load_probes_total{result="pace"} 12)"));
    for (size_t i = 0; i < 3; ++i) {
        const std::string id = "r" + std::to_string(i);
        const auto answer = it.sendRequest(
            "POST", "/stream/prompt/1", id,
            {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a" + std::to_string(i) + ":9000"}}, {},
            i);
        cr_assert_eq(answer.status(), 200U);
    }
    cr_assert(slow.receivedRequests().empty());
    cr_assert_eq(fast.receivedRequests().size(), 3U);
}

// Guards against charges on deployments whose engines state no pace.
Test(loadprober, a_deployment_without_pace_gets_one_probe)
{
    Deployment it;
    const FakeEndpoint &one = addEngine(it, "0,0,64");
    const FakeEndpoint &two = addEngine(it, "");
    it.publishConfigWithHealthPath(1, HealthPath);
    it.startGateway();
    it.startGateway();
    it.runFor(DiscoveryTime + 2s);
    cr_assert_eq(one.healthChecks() + two.healthChecks(), 1U);
}

// Guards against an ejection of an engine that serves requests but does not answer its health path.
Test(loadprober, probes_without_answers_are_no_evidence_against_an_engine)
{
    Deployment it;
    FakeEndpoint &engine = addEngine(it, "0,0,64,70");
    addEngine(it, "0,0,64,70", serving::Stage::Decode);
    engine.setSilentHealth(true);
    it.publishConfigWithHealthPath(1, HealthPath);
    it.startGateway();
    it.runFor(DiscoveryTime + 3s);
    cr_assert_geq(engine.healthChecks(), 1U);
    const auto answer = it.sendRequest("POST", "/stream/prompt/1", "r1",
                                       {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a1:9000"}});
    cr_assert_eq(answer.status(), 200U);
    cr_assert_eq(engine.receivedRequests().size(), 1U);
}

// Guards against probes of a process that is about to end, which its successor would repeat.
Test(loadprober, a_gateway_that_drains_does_not_probe)
{
    Deployment it;
    const FakeEndpoint &engine = addEngine(it, "0,0,64,70");
    it.publishConfigWithHealthPath(1, HealthPath);
    it.startGateway();
    it.gateway().drain([]() {});
    it.runFor(DiscoveryTime + 300ms);
    cr_assert_eq(engine.healthChecks(), 0U);
}

// Guards against the pace of an engine's successor, or of a stranger at its address.
Test(loadprober, an_answer_of_another_instance_is_not_applied)
{
    http::Head head;
    head.status = 200;
    head.fields.add("Server-Load", "0,0,64,170");
    cr_assert(platform::decodeLoadProbe(head, "e-1").ok());
    cr_assert_eq(platform::decodeLoadProbe(head, "e-1")->load->pacePercent.value_or(0), 170U);
    head.fields.add("Instance-Id", "e-2");
    cr_assert_not(platform::decodeLoadProbe(head, "e-1").ok());
    head.status = 421;
    cr_assert_not(platform::decodeLoadProbe(head, "e-2").ok());
    cr_assert_not(platform::decodeResponseHead(head).load.has_value());
    const http::Request request = platform::encodeLoadProbe("/health", "e-1");
    cr_assert(request.head.method == "GET" && request.head.target == "/health");
    cr_assert(request.head.fields.find("Expect-Instance") == "e-1");
}
