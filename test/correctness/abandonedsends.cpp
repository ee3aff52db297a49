/** \file
 * Tests of sends to endpoints that are abandoned while their bytes wait in this host's kernel.
 */

#include "core/text.h"
#include "support/deployment.h"
#include "support/loopback.h"
#include "support/slowlink.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

// Guards against work for clients that have left (GONE): a request waits behind other traffic on
// the link to its endpoint. Closing the connection in order would deliver it in spite of that.
Test(abandonedsends, a_request_that_waits_on_a_slow_link_is_not_delivered_after_its_client_left)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    constexpr double rate = 400e3; // Bytes per second.
    test::SlowLink link(it.io(), endpoint.address(), rate);
    const std::string address = test::loopbackAddress(7031);
    cr_assert(link.listen(address));
    endpoint.setAdvertisedAddress(address);
    it.store().put("servers/" + endpoint.id(), endpoint.makeEntry("app", "a"));
    it.publishConfig(1);
    it.startGateway();
    auto answer = std::make_shared<test::ClientResponse>();
    const std::string body(600'000, 'x'); // 1.5 s of the link.
    const auto client = it.startRequest("/stream/once/1", "left", answer, {}, 0, body);
    it.runFor(200ms);
    client->close();
    it.runFor(2s);
    cr_assert_eq(endpoint.receivedRequests().size(), 0U);
    cr_assert_eq(endpoint.runCount("left"), 0U);
}
