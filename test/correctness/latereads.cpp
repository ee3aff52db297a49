/** \file
 * Tests of requests that a gateway reads late, as its event loop stood still when they came.
 */

#include "support/deployment.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

namespace {

// Opens a connection to the worker that is kept, so that the next request can be sent at once.
void warmUp(Deployment &it, const std::string &method, const std::string &target)
{
    cr_assert_eq(it.sendRequest(method, target, "warm").status(), 200U);
    it.runFor(20ms);
}

void expectNotSent(const std::string &method, const std::string &target)
{
    Deployment it;
    const auto &worker = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    warmUp(it, method, target);
    it.sendAndDisconnect(method, target, "left");
    it.runFor(200ms);
    cr_assert_eq(worker.receivedRequests().size(), 1U, "%s %s was sent on", method.c_str(),
                 target.c_str());
}

} // namespace

// Guards against work for callers that have left (GONE): request and close arrive together.
Test(latereads, a_read_whose_client_has_left_is_not_sent)
{
    expectNotSent("GET", "/read/1");
}

// The same for work that may run once, which is never broken off after it was sent.
Test(latereads, an_order_whose_client_has_left_is_not_sent)
{
    expectNotSent("POST", "/order/1");
}

// The same for streams.
Test(latereads, a_stream_whose_client_has_left_is_not_sent)
{
    expectNotSent("POST", "/stream/once/1");
}

// The same for prompts, which are given to an engine in a later turn of the loop.
Test(latereads, a_prompt_whose_client_has_left_is_not_sent)
{
    Deployment it;
    const auto &reader = it.addEndpoint("model", serving::Stage::Prefill);
    const auto &decoder = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    const std::vector<http::Field> prompt{{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a1:9000"}};
    cr_assert_eq(it.sendRequest("POST", "/stream/prompt/1", "warm", prompt).status(), 200U);
    it.runFor(20ms);
    it.sendAndDisconnect("POST", "/stream/prompt/1", "left", prompt);
    it.runFor(200ms);
    cr_assert_eq(reader.receivedRequests().size() + decoder.receivedRequests().size(), 2U);
}

// A client that only sent ahead is still there and gets its answer.
Test(latereads, a_client_that_waits_is_served_however_late_it_is_read)
{
    Deployment it;
    const auto &worker = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    warmUp(it, "GET", "/read/1");
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/read/1", "stays", answer);
    cr_assert(it.runUntil([&]() { return answer->complete; }));
    cr_assert_eq(worker.receivedRequests().size(), 2U);
}
