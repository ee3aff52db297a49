/** \file
 * Tests of the whole serving path against a fake store and fake endpoints.
 */

#include "support/deployment.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;
using test::EndpointFault;

Test(gateway, relays_an_answer_byte_for_byte)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    const auto answer =
        it.sendRequest("POST", "/order/7?x=1", "r1", {{"X-Mine", "kept"}}, "two crates");
    cr_assert_eq(answer.status(), 200U);
    cr_assert(answer.complete);
    cr_assert(answer.response->body == "answer to r1");
    cr_assert(answer.field("Server-Seal") == "i-1.seal");
    cr_assert_eq(endpoint.receivedRequests().size(), 1U);
    const auto &seen = endpoint.receivedRequests().front();
    cr_assert(seen.target == "/order/7?x=1");
    cr_assert(seen.body == "two crates");
    cr_assert(seen.team == "team-a");
    cr_assert_not(seen.hasApiKey);
    cr_assert_leq(seen.timeLeftMs, 2'000);
}

Test(gateway, internal_headers_from_clients_are_dropped)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    it.sendRequest("POST", "/order/1", "r1",
                   {{"Tenant", "somebody"},
                    {"Stage", "prefill"},
                    {"Kv-Source", "1.2.3.4:5/h"},
                    {"Kv-Fetch", "1.2.3.4:5"},
                    {"Expect-Instance", "other"},
                    {"Deadline-Ms", "500"}});
    cr_assert_eq(endpoint.receivedRequests().size(), 1U);
    const auto &seen = endpoint.receivedRequests().front();
    cr_assert(seen.team == "team-a");
    cr_assert_not(seen.prefill);
    cr_assert(seen.cacheSource.empty());
    cr_assert(seen.fetchFrom.empty());
    cr_assert_leq(seen.timeLeftMs, 500);
}

Test(gateway, unknown_routes_and_keys_are_refused)
{
    Deployment it;
    it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    cr_assert_eq(it.sendRequest("GET", "/nothing/1", "r1").status(), 404U);
    cr_assert_eq(it.sendRequest("GET", "/read/1", "r2", {{"X-Api-Key", "wrong"}}).status(), 401U);
    cr_assert_eq(it.sendRequest("GET", "/open/1", "r3", {{"X-Api-Key", ""}}).status(), 200U);
}

// Guards against running a non-idempotent request twice: after a lost answer it is unknown whether
// the request ran, so the client gets 502 and nothing is sent again.
Test(gateway, work_that_may_run_once_is_never_repeated_after_a_lost_answer)
{
    Deployment it;
    auto &one = it.addEndpoint("app");
    auto &two = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    one.setFault(EndpointFault::LoseResponse);
    two.setFault(EndpointFault::LoseResponse);
    const auto answer = it.sendRequest("POST", "/order/1", "r1");
    cr_assert_eq(answer.status(), 502U);
    cr_assert_eq(one.runCount("r1") + two.runCount("r1"), 1U);
}

Test(gateway, a_refusal_without_proof_is_not_passed_on)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    endpoint.setFault(EndpointFault::UnavailableAfterRun);
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r1").status(), 502U);
    cr_assert_eq(endpoint.runCount("r1"), 1U);
}

Test(gateway, work_that_a_worker_refused_goes_to_another)
{
    Deployment it;
    auto &one = it.addEndpoint("app");
    auto &two = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    one.setFault(EndpointFault::Refuse);
    two.setFault(EndpointFault::Refuse);
    const auto refused = it.sendRequest("POST", "/order/1", "r1");
    cr_assert_eq(refused.status(), 503U);
    cr_assert_not(refused.field("Retry-After").empty());
    one.setFault(EndpointFault::None);
    it.runFor(300ms);
    cr_assert_eq(it.sendRequest("POST", "/order/2", "r2").status(), 200U);
    cr_assert_eq(one.runCount("r2"), 1U);
}

Test(gateway, reads_are_repeated_after_a_lost_answer_or_an_error)
{
    Deployment it;
    auto &one = it.addEndpoint("app");
    auto &two = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    for (const EndpointFault fault : {EndpointFault::LoseResponse, EndpointFault::ServerError}) {
        one.setFault(fault, 1);
        two.setFault(fault, 1);
        cr_assert_eq(it.sendRequest("GET", "/read/1", "a").status(),
                     fault == EndpointFault::ServerError ? 500U : 502U);
        one.setFault(fault, 1);
        two.setFault(EndpointFault::None);
        cr_assert_eq(it.sendRequest("GET", "/read/1", "b").status(), 200U);
        one.setFault(EndpointFault::None);
    }
}

Test(gateway, answers_of_other_requests_are_never_delivered)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    endpoint.setFault(EndpointFault::ForeignResponse, 1);
    const auto first = it.sendRequest("GET", "/read/1", "r1");
    cr_assert_eq(first.status(), 200U);
    cr_assert(first.response->body == "answer to r1");
    endpoint.setFault(EndpointFault::ExtraResponse, 1);
    cr_assert(it.sendRequest("GET", "/read/1", "r2").response->body == "answer to r2");
    cr_assert(it.sendRequest("GET", "/read/1", "r3").response->body == "answer to r3");
}

Test(gateway, a_success_without_signature_is_not_delivered)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    endpoint.setFault(EndpointFault::NoSeal);
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r1").status(), 502U);
}

Test(gateway, a_stream_that_may_be_resumed_goes_on_at_another_worker)
{
    Deployment it;
    auto &one = it.addEndpoint("app");
    auto &two = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    one.setFault(EndpointFault::BreakStream);
    two.setFault(EndpointFault::BreakStream);
    // Both work again by the time of the second send.
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/stream/resume/1", "r1", answer);
    it.runUntil([&]() { return one.runCount("r1") + two.runCount("r1") == 1; });
    one.setFault(EndpointFault::None);
    two.setFault(EndpointFault::None);
    cr_assert(it.runUntil([&]() { return answer->complete || !answer->error.empty(); }));
    cr_assert(answer->complete, "%s", answer->error.c_str());
    std::string expected;
    for (uint32_t i = 1; i <= 3; ++i)
        expected += test::eventText("r1", i);
    cr_assert_str_eq(answer->response->body.c_str(), expected.c_str());
}

Test(gateway, a_stream_that_may_not_be_resumed_never_looks_complete_when_it_broke)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    endpoint.setFault(EndpointFault::BreakStream);
    const auto answer = it.sendRequest("POST", "/stream/once/1", "r1");
    cr_assert_eq(answer.status(), 200U);
    cr_assert_not(answer.complete);
    cr_assert_eq(endpoint.runCount("r1"), 1U);
}

Test(gateway, a_client_that_leaves_stops_its_stream_at_the_worker)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    endpoint.setEventCount(1'000);
    it.publishConfig(1);
    it.startGateway();
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/stream/once/1", "r1", answer);
    cr_assert(it.runUntil([&]() { return endpoint.runningCount() == 1; }));
    client->close();
    cr_assert(it.runUntil([&]() { return endpoint.runningCount() == 0; }, 500ms));
}

Test(gateway, a_request_ends_at_its_routes_time_limit)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1, R"(["key-a"])", 300);
    it.startGateway();
    endpoint.setFault(EndpointFault::Silent);
    const auto begin = core::BootClock::now();
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r1").status(), 504U);
    cr_assert_leq(core::BootClock::now() - begin, 600ms);
    cr_assert(it.runUntil([&]() { return endpoint.runningCount() == 0; }, 500ms));
}

Test(gateway, without_workers_a_request_is_refused_at_once)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    it.store().put("servers/" + endpoint.id(), endpoint.makeEntry("app", "a", "draining"));
    it.runFor(500ms);
    const auto begin = core::BootClock::now();
    const auto answer = it.sendRequest("POST", "/order/1", "r1");
    cr_assert_eq(answer.status(), 503U);
    cr_assert_not(answer.field("Retry-After").empty());
    cr_assert_leq(core::BootClock::now() - begin, 200ms);
    cr_assert_eq(endpoint.receivedRequests().size(), 0U);
}

// Guards against a reused address: the address of a removed endpoint now belongs to another one.
Test(gateway, a_worker_under_another_id_never_runs_the_request)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    std::string entry = endpoint.makeEntry("app", "a");
    it.store().erase("servers/" + endpoint.id());
    it.store().put("servers/i-gone", entry);
    it.startGateway();
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r1").status(), 503U);
    cr_assert_eq(endpoint.runCount("r1"), 0U);
}

Test(gateway, malformed_entries_are_ignored)
{
    Deployment it;
    it.addEndpoint("app");
    it.store().put("servers/i-bad1", "not JSON");
    it.store().put("servers/i-bad2", R"({"Service":"app","Address":17,"State":"ready","Slots":1})");
    it.store().put("servers/i-bad3",
                   R"({"Service":"app","Address":"127.0.0.1:1","State":"odd","Slots":1})");
    it.publishConfig(1);
    it.startGateway();
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(it.sendRequest("POST", "/order/1", "r" + std::to_string(i)).status(), 200U);
}

Test(gateway, a_withdrawn_key_stops_working_and_an_older_configuration_changes_nothing)
{
    Deployment it;
    it.addEndpoint("app");
    it.publishConfig(5);
    it.startGateway();
    cr_assert_eq(it.sendRequest("GET", "/read/1", "r1").status(), 200U);
    it.publishConfig(6, "[]");
    cr_assert(
        it.runUntil([&]() { return it.sendRequest("GET", "/read/1", "r2").status() == 401U; }, 2s));
    it.publishConfig(5);
    it.runFor(200ms);
    cr_assert_eq(it.sendRequest("GET", "/read/1", "r3").status(), 401U);
}

Test(gateway, prompts_are_prefilled_and_handed_over)
{
    Deployment it;
    auto &prefillEngine = it.addEndpoint("model", serving::Stage::Prefill);
    auto &decodeEngine = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    const auto answer =
        it.sendRequest("POST", "/stream/prompt/1", "r1",
                       {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a1:3000,b2:6000"}});
    cr_assert_eq(answer.status(), 200U);
    cr_assert(answer.complete);
    cr_assert_eq(prefillEngine.receivedRequests().size(), 1U);
    cr_assert(prefillEngine.receivedRequests().front().prefill);
    cr_assert_eq(decodeEngine.receivedRequests().size(), 1U);
    cr_assert(decodeEngine.receivedRequests().front().cacheSource
              == prefillEngine.address() + "/h1");
}

// Guards against prompts that wait for an engine which has stopped answering: they are prefilled
// elsewhere, and later prompts do not go to that engine first.
Test(gateway, a_silent_prefill_engine_is_avoided)
{
    Deployment it;
    auto &silentEngine = it.addEndpoint("model", serving::Stage::Prefill);
    it.addEndpoint("model", serving::Stage::Decode);
    silentEngine.setFault(EndpointFault::Silent);
    it.publishConfig(1, R"(["key-a"])", 5'000);
    it.startGateway();
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/stream/prompt/1", "r1", answer,
                                        {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a1:9000"}});
    cr_assert(it.runUntil([&]() { return silentEngine.receivedRequests().size() == 1; }));
    auto &otherEngine = it.addEndpoint("model", serving::Stage::Prefill);
    it.runFor(900ms);
    const auto second = it.sendRequest("POST", "/stream/prompt/2", "r2",
                                       {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "b2:9000"}});
    cr_assert_eq(second.status(), 200U);
    cr_assert_eq(silentEngine.receivedRequests().size(), 1U);
    cr_assert_geq(otherEngine.receivedRequests().size(), 1U);
    cr_assert(it.runUntil([&]() { return answer->complete; }, 2s));
    cr_assert_eq(silentEngine.runningCount(), 0U);
}

Test(gateway, without_a_prefill_engine_the_decode_engine_prefills)
{
    Deployment it;
    auto &decodeEngine = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    const auto answer =
        it.sendRequest("POST", "/stream/prompt/1", "r1",
                       {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a1:3000,b2:6000"}});
    cr_assert_eq(answer.status(), 200U);
    cr_assert_eq(decodeEngine.runCount("r1"), 1U);
}

Test(gateway, a_lost_handle_falls_back_to_a_whole_run)
{
    Deployment it;
    it.addEndpoint("model", serving::Stage::Prefill);
    auto &decodeEngine = it.addEndpoint("model", serving::Stage::Decode);
    auto &other = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    decodeEngine.setFault(EndpointFault::Refuse, 1);
    other.setFault(EndpointFault::Refuse, 1);
    auto answer = std::make_shared<test::ClientResponse>();
    const auto reply = it.sendRequest("POST", "/stream/prompt/1", "r1",
                                      {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a1:9000"}});
    cr_assert(reply.status() == 200U || reply.status() == 503U);
    cr_assert_leq(decodeEngine.runCount("r1") + other.runCount("r1"), 1U);
}

Test(gateway, stopping_completes_requests_in_progress)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    endpoint.setEventCount(60);
    endpoint.setEventGap(20ms);
    it.publishConfig(1, R"(["key-a"])", 7'000);
    it.startGateway();
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/stream/once/1", "r1", answer);
    cr_assert(it.runUntil([&]() { return endpoint.runningCount() == 1; }));
    bool stopped = false;
    it.gateway().drain([&]() { stopped = true; });
    cr_assert_eq(it.readinessStatus(), 503U);
    // New connections still arrive until the load balancer has seen the readiness change.
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r2").status(), 200U);
    cr_assert(it.runUntil([&]() { return answer->complete || !answer->error.empty(); }));
    cr_assert(answer->complete, "%s", answer->error.c_str());
    cr_assert(it.runUntil([&]() { return stopped; }, 8s));
}

// The head of the stream has announced a persistent connection, so its client would send the next
// request on it after the gateway has stopped accepting requests.
Test(gateway, stopping_closes_the_connection_of_a_stream_that_had_begun)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    endpoint.setEventCount(20);
    endpoint.setEventGap(20ms);
    it.publishConfig(1);
    it.startGateway();
    auto running = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/stream/once/1", "r1", running);
    cr_assert(it.runUntil([&]() { return running->response.has_value(); }));
    it.gateway().drain([]() {});
    cr_assert(it.runUntil([&]() { return running->complete; }));
    it.runFor(50ms);
    cr_assert_not(client->isOpen());
}

// A request that is accepted later could not complete within the grace time.
Test(gateway, stopping_accepts_no_request_after_three_seconds)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    endpoint.setEventCount(400);
    endpoint.setEventGap(20ms);
    it.publishConfig(1, R"(["key-a"])", 7'500);
    it.startGateway();
    auto running = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/stream/once/1", "r1", running);
    cr_assert(it.runUntil([&]() { return endpoint.runningCount() == 1; }));
    it.gateway().drain([]() {});
    it.runFor(3s);
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r2").status(), 0U);
    cr_assert_eq(endpoint.runCount("r2"), 0U);
    cr_assert(running->error.empty());
}

Test(gateway, usage_is_reported_once_with_the_counts_of_all_gateways)
{
    Deployment it;
    it.addEndpoint("app");
    it.publishConfig(1);
    serving::NodeSettings settings;
    settings.usageWindow = 1'000ms;
    settings.reportsUsage = true;
    it.startGateway(settings);
    it.startGateway(settings);
    it.runFor(600ms);
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(
            it.sendRequest("POST", "/order/1", "r" + std::to_string(i), {}, {}, i % 2).status(),
            200U);
    it.runFor(5s);
    uint64_t sum = 0;
    std::map<std::string, std::string> byWindow;
    for (const auto &report : it.reports()) {
        const std::string window = report.body.substr(report.body.find("WindowId"));
        const auto [known, added] = byWindow.emplace(window, report.body);
        cr_assert_str_eq(known->second.c_str(), report.body.c_str());
        if (!added)
            continue;
        const size_t at = report.body.find("\"team-a\":");
        if (at != std::string::npos)
            sum += std::stoull(report.body.substr(at + 9));
    }
    cr_assert_eq(sum, 10U);
}

// Guards against a fast-failing endpoint: it always has the fewest requests in progress, so
// least-loaded placement would keep choosing it.
Test(gateway, a_worker_that_answers_errors_does_not_attract_requests)
{
    Deployment it;
    auto &bad = it.addEndpoint("app");
    auto &good = it.addEndpoint("app");
    it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    bad.setFault(EndpointFault::ServerError);
    int errors = 0;
    for (int i = 0; i < 60; ++i)
        errors +=
            it.sendRequest("POST", "/order/1", "r" + std::to_string(i)).status() == 500 ? 1 : 0;
    cr_assert_leq(errors, 4, "%d errors", errors);
    cr_assert_geq(good.receivedRequests().size(), 16U);
}

Test(gateway, a_stream_that_may_be_resumed_is_run_again_after_an_error)
{
    Deployment it;
    auto &bad = it.addEndpoint("app");
    it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    bad.setFault(EndpointFault::ServerError);
    // Equal endpoints are chosen at random, so the failing one may not be among the first.
    for (int i = 0; i < 6 || (i < 60 && bad.receivedRequests().empty()); ++i)
        cr_assert_eq(it.sendRequest("POST", "/stream/resume/1", "r" + std::to_string(i)).status(),
                     200U);
    cr_assert_geq(bad.receivedRequests().size(), 1U);
}
