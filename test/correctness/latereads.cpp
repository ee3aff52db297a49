/** \file
 * Tests of requests that a gateway reads late because its event loop was blocked when they arrived.
 */

#include "support/deployment.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

namespace {

// Opens a connection to the endpoint that stays in the pool, so that the next send needs no
// connect.
void warmUp(Deployment &it, const std::string &method, const std::string &target)
{
    cr_assert_eq(it.sendRequest(method, target, "warm").status(), 200U);
    it.runFor(20ms);
}

void expectNotSent(const std::string &method, const std::string &target)
{
    Deployment it;
    const auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    warmUp(it, method, target);
    it.sendAndDisconnect(method, target, "left");
    it.runFor(200ms);
    cr_assert_eq(endpoint.receivedRequests().size(), 1U, "%s %s was sent to the endpoint",
                 method.c_str(), target.c_str());
}

} // namespace

// Guards against work for clients that have disconnected (GONE): the gateway reads the request and
// the close of the connection in the same turn of the loop.
Test(latereads, a_read_whose_client_has_left_is_not_sent)
{
    expectNotSent("GET", "/read/1");
}

// The same for a request that may run only once, which is never cancelled after it was sent.
Test(latereads, an_order_whose_client_has_left_is_not_sent)
{
    expectNotSent("POST", "/order/1");
}

// The same for streams.
Test(latereads, a_stream_whose_client_has_left_is_not_sent)
{
    expectNotSent("POST", "/stream/once/1");
}

// The same for prompts, which are dispatched to an engine in a later turn of the loop.
Test(latereads, a_prompt_whose_client_has_left_is_not_sent)
{
    Deployment it;
    const auto &prefillEngine = it.addEndpoint("model", serving::Stage::Prefill);
    const auto &decodeEngine = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    const std::vector<http::Field> prompt{{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a1:9000"}};
    cr_assert_eq(it.sendRequest("POST", "/stream/prompt/1", "warm", prompt).status(), 200U);
    it.runFor(20ms);
    it.sendAndDisconnect("POST", "/stream/prompt/1", "left", prompt);
    it.runFor(200ms);
    cr_assert_eq(prefillEngine.receivedRequests().size() + decodeEngine.receivedRequests().size(),
                 2U);
}

// A client that is still connected gets its answer although its request was read late.
Test(latereads, a_client_that_waits_is_served_however_late_it_is_read)
{
    Deployment it;
    const auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    warmUp(it, "GET", "/read/1");
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/read/1", "stays", answer);
    cr_assert(it.runUntil([&]() { return answer->complete; }));
    cr_assert_eq(endpoint.receivedRequests().size(), 2U);
}
